/** Wait in the accept queue: how long a caller's connection may have waited before this process accepted it. */

import type { Socket } from "node:net";

/**
 * Bounds the wait of accepted connections. Node accepts one connection per turn of its event loop, so a turn that
 * accepts none shows that the queue is empty, and the next connections can't have waited since before that turn.
 */
export class AcceptQueue {
    readonly #waitMs = new WeakMap<Socket, number>();
    /** Start of the present run of turns that each accepted a connection; undefined if the last turn accepted none. */
    #nonEmptySince: number | undefined = undefined;
    #acceptedInTurn = false;

    /**
     * Records that a connection was accepted, and returns for how long at most it waited, in milliseconds.
     *
     * @param now monotonic milliseconds
     */
    recordAccepted(socket: Socket, now: number): number {
        this.#acceptedInTurn = true;
        if (this.#nonEmptySince === undefined) {
            this.#nonEmptySince = now;
            setImmediate(() => this.#endTurn());
        }
        const waitMs = now - this.#nonEmptySince;
        this.#waitMs.set(socket, waitMs);
        return waitMs;
    }

    /** Returns how long a connection waited, for its first request; 0 afterwards. */
    takeWaitMs(socket: Socket): number {
        const waitMs = this.#waitMs.get(socket) ?? 0;
        this.#waitMs.delete(socket);
        return waitMs;
    }

    #endTurn(): void {
        if (!this.#acceptedInTurn) {
            this.#nonEmptySince = undefined;
            return;
        }
        this.#acceptedInTurn = false;
        setImmediate(() => this.#endTurn());
    }
}
