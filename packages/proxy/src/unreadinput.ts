/** Input that may have waited unread: a request in it may be one whose caller has disconnected since. */

/** How long a request may have waited in this process's sockets before it was read, in milliseconds. */
export interface InputDelay {
    /** Event loop lag when the request was read. */
    readonly lagMs: number;
    /** Wait of its connection to be accepted; 0 for a request that arrived later. */
    readonly acceptMs: number;
}

/** Returns whether the caller's disconnect may have waited as long as the request, so that it is yet to be read. */
export const mayHideDisconnect = ({ lagMs, acceptMs }: InputDelay): boolean => lagMs + acceptMs > maxUnreadMs;

/** Resolves when the input is read that has already reached connections that this process has accepted or opened. */
export const readPendingInput = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Resolves when all input that has already reached this process's sockets is read, connection ends included. */
export const drainPendingInput = async (): Promise<void> => {
    for (let i = 0; i < loopTurns; i++) {
        await readPendingInput();
    }
};

/** Event loop turns from reading a request's bytes to reading the connection end that directly follows them. */
const loopTurns = 4;
/** A tenth of the time within which a backend server must learn that the caller has disconnected. */
const maxUnreadMs = 50;
