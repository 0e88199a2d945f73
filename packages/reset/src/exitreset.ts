/** Has the end of the process reset connections, so that it isn't taken for the end of their response. */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { loadSetLinger, type SetLinger } from "./linger.js";

/** Decides how the operating system closes a connection when this process ends. */
export interface ExitReset {
    /**
     * From now on the connection is reset when it is closed without having been ended, also by the end of the process. Returns
     * false if that can't be had.
     */
    arm(socket: Socket): boolean;
    /** Undoes `arm`; to be called when the operating system has the whole response, before the connection is ended. */
    disarm(socket: Socket): void;
}

/**
 * Ends a response whose connection is armed and ends with it. The operating system first has to have all of the response, as from
 * then on the end of this process looks like the end of the response.
 */
export const endArmed = (
    res: ServerResponse,
    exitReset: ExitReset,
    onEnd: () => void = () => undefined,
): void => {
    const { socket } = res;
    socket?.write("", err => {
        if (!err) {
            exitReset.disarm(socket);
        }
        res.end(onEnd);
    });
};

/** Uses the socket option SO_LINGER with a time of 0. */
export class LingerReset implements ExitReset {
    readonly #load: () => SetLinger;
    readonly #onFailure: (reason: string) => void;
    /** undefined before the first use, and if the system call isn't available. */
    #setLinger: SetLinger | undefined = undefined;
    #isLoaded = false;
    readonly #reported = new Set<string>();

    /**
     * @param onFailure called with why a connection isn't set, once for each reason
     * @param load loads the system call at the first use
     */
    constructor(onFailure: (reason: string) => void, load: () => SetLinger = loadSetLinger) {
        this.#onFailure = onFailure;
        this.#load = load;
    }

    arm(socket: Socket): boolean {
        return this.#set(socket, true);
    }

    disarm(socket: Socket): void {
        this.#set(socket, false);
    }

    #set(socket: Socket, resets: boolean): boolean {
        const fd = fdOf(socket);
        if (socket.destroyed) {
            return false;
        }
        try {
            if (fd === undefined) {
                throw new TypeError("the connection's descriptor isn't known");
            }
            const setLinger = this.#loadOnce();
            setLinger?.(fd, resets);
            return setLinger !== undefined;
        } catch (err) {
            this.#report(String(err));
            return false;
        }
    }

    #loadOnce(): SetLinger | undefined {
        if (!this.#isLoaded) {
            this.#isLoaded = true;
            this.#setLinger = this.#load();
        }
        return this.#setLinger;
    }

    #report(reason: string): void {
        if (!this.#reported.has(reason)) {
            this.#reported.add(reason);
            this.#onFailure(reason);
        }
    }
}

/** Returns the descriptor of an open socket, which Node keeps on the socket's handle. */
const fdOf = (socket: Socket): number | undefined => {
    const { _handle: handle } = socket as unknown as { readonly _handle?: { readonly fd?: unknown } };
    return typeof handle?.fd === "number" && handle.fd >= 0 ? handle.fd : undefined;
};
