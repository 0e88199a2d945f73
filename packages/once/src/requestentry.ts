/** One remembered request of the at-most-once table. */

import type { CallError } from "@bramleymoor/protocol/errors";

/** How a request ended. */
export type Outcome =
    /** Answered whole, and the answer is kept. */
    | {
          readonly kind: "answered";
          readonly status: number;
          /** Names and values by turns, one a line; one text takes less memory than many. */
          readonly headers: string;
          /** One character a byte (Latin-1); a slice of a shared buffer would keep all of it. */
          readonly body: string;
      }
    /** Answered, but the answer is not kept. */
    | { readonly kind: "not-kept" }
    /** It did not run. */
    | { readonly kind: "refused"; readonly error: CallError }
    /** Nobody knows whether it ran. */
    | { readonly kind: "unknown"; readonly error: CallError };

/** State of one request: running while it has no outcome. */
export class RequestEntry {
    readonly key: string;
    /** Method and target of the request. */
    readonly target: string;
    /** Highest attempt that has been, or will be, told this outcome. */
    #attempt: number;
    #digest: string | undefined = undefined;
    #outcome: Outcome | undefined = undefined;
    #waiting: ((outcome: Outcome) => void)[] | undefined = undefined;

    constructor(key: string, attempt: number, target: string) {
        this.key = key;
        this.#attempt = attempt;
        this.target = target;
    }

    get running(): boolean {
        return this.#outcome === undefined;
    }

    get hasWaiters(): boolean {
        return this.#waiting !== undefined;
    }

    get hasBodyDigest(): boolean {
        return this.#digest !== undefined;
    }

    get keptBytes(): number {
        return this.#outcome?.kind === "answered" ? this.#outcome.body.length : 0;
    }

    /** Whether it was refused, and every caller told so has a lower attempt. */
    canRestart(attempt: number): boolean {
        return this.#outcome?.kind === "refused" && attempt > this.#attempt;
    }

    restart(attempt: number): void {
        this.#attempt = attempt;
        this.#digest = undefined;
        this.#outcome = undefined;
    }

    recordAttempt(attempt: number): void {
        this.#attempt = Math.max(this.#attempt, attempt);
    }

    setBodyDigest(digest: string): void {
        this.#digest = digest;
    }

    /** Unknown on either side counts as the same: no answer is kept without a digest. */
    matchesBody(digest: string): boolean {
        return this.#digest === undefined || this.#digest === digest;
    }

    end(outcome: Outcome): void {
        if (this.#outcome) {
            throw new Error("a run ends only once");
        }
        this.#outcome = outcome;
        this.#waiting?.forEach(resolve => resolve(outcome));
        this.#waiting = undefined;
    }

    /** Resolves when the run has ended. */
    waitForOutcome(): Promise<Outcome> {
        if (this.#outcome) {
            return Promise.resolve(this.#outcome);
        }
        return new Promise(resolve => {
            this.#waiting ??= [];
            this.#waiting.push(resolve);
        });
    }
}
