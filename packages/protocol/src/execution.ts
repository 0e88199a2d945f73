/** Whether a request was executed, as far as known over all its sends. */

import type { ExecutionState } from "./errors.js";

/**
 * Tracks the execution of one request. A send is open from `start` to `settle`, and may have run in the meantime. Its
 * result tells nothing about other sends: once one of them ended with "outcome unknown" or "ran", the request never
 * is "not run" again, and once one ended with "ran", the request ran.
 */
export class ExecutionTracker {
    #openSends = 0;
    #settled: ExecutionState = "not run";

    /** Whether the request was executed, as far as known. */
    get state(): ExecutionState {
        return this.#openSends > 0 ? latest(this.#settled, "outcome unknown") : this.#settled;
    }

    /** Whether the request may have been executed. */
    get mayHaveRun(): boolean {
        return this.state !== "not run";
    }

    /** Records that a send begins; must be called before its first byte is written. */
    start(): void {
        this.#openSends++;
    }

    /**
     * Records the result of one open send.
     *
     * @throws Error if no send is open
     */
    settle(result: ExecutionState): void {
        if (this.#openSends === 0) {
            throw new Error("no send is open");
        }
        this.#openSends--;
        this.#settled = latest(this.#settled, result);
    }
}

/** The only order in which the state of settled sends changes. */
const order: readonly ExecutionState[] = ["not run", "outcome unknown", "ran"];

const latest = (a: ExecutionState, b: ExecutionState): ExecutionState =>
    order.indexOf(a) >= order.indexOf(b) ? a : b;
