/** Wait in the accept queue: how long a caller's connection may have waited before this process accepted it. */

import type { Socket } from "node:net";
import { drainPendingInput } from "./unreadinput.js";

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
        if (waitMs > 0) {
            this.#waitMs.set(socket, waitMs);
            void drainPendingInput().then(() => this.#waitMs.delete(socket));
        }
        return waitMs;
    }

    /** Returns how long input that is read now may have waited for its connection to be accepted, in milliseconds. */
    waitMs(socket: Socket): number {
        return this.#waitMs.get(socket) ?? 0;
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
