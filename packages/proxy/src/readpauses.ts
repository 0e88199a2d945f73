/** Wait of input on connections that Node stopped reading because their caller reads a response slowly. */

import type { Socket } from "node:net";
import { drainPendingInput } from "./unreadinput.js";

/** Measures for how long input of each connection may have waited since the connection was last read to its end. */
export class ReadPauses {
    readonly #unreadSince = new WeakMap<Socket, number>();
    readonly #clock: () => number;

    /** @param clock returns monotonic milliseconds */
    constructor(clock: () => number) {
        this.#clock = clock;
    }

    /** Measures the pauses of a connection. */
    track(socket: Socket): void {
        socket.on("pause", () => {
            if (!this.#unreadSince.has(socket)) {
                this.#unreadSince.set(socket, this.#clock());
            }
        });
        socket.on("resume", () => void this.#endPause(socket));
    }

    /** Returns for how long at most input that is read now has waited for its connection to be read, in milliseconds. */
    waitMs(socket: Socket): number {
        const since = this.#unreadSince.get(socket);
        return since === undefined ? 0 : this.#clock() - since;
    }

    async #endPause(socket: Socket): Promise<void> {
        if (!this.#unreadSince.has(socket)) {
            return;
        }
        await drainPendingInput();
        if (!socket.isPaused()) {
            this.#unreadSince.delete(socket);
        }
    }
}
