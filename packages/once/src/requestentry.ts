/** One request in the at-most-once table. */

import type { CallError } from "@bramleymoor/protocol/errors";

/** Result of a request. */
export type Outcome =
    /** The response was complete and is stored. */
    | {
          readonly kind: "answered";
          readonly status: number;
          /** Alternating names and values, one per line; one string takes less memory than many. */
          readonly headers: string;
          /** One character per byte (Latin-1); a slice of a shared buffer would retain the whole buffer. */
          readonly body: string;
      }
    /** The request got a response, which is not stored. */
    | { readonly kind: "not-stored" }
    /** The request did not run. */
    | { readonly kind: "refused"; readonly error: CallError }
    /** It is unknown whether the request ran. */
    | { readonly kind: "unknown"; readonly error: CallError };

/** State of one request; it is running as long as it has no outcome. */
export class RequestEntry {
    readonly key: string;
    /** Method and target of the request. */
    readonly target: string;
    /** Highest attempt that has received or will receive this outcome. */
    #attempt: number;
    #digest: string | undefined = undefined;
    #outcome: Outcome | undefined = undefined;
    #waiters: ((outcome: Outcome) => void)[] | undefined = undefined;

    constructor(key: string, attempt: number, target: string) {
        this.key = key;
        this.#attempt = attempt;
        this.target = target;
    }

    get running(): boolean {
        return this.#outcome === undefined;
    }

    get hasWaiters(): boolean {
        return this.#waiters !== undefined;
    }

    get hasBodyDigest(): boolean {
        return this.#digest !== undefined;
    }

    get storedBytes(): number {
        return this.#outcome?.kind === "answered" ? this.#outcome.body.length : 0;
    }

    /** Returns whether the request was refused and all attempts that received the refusal are lower. */
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

    /** Returns whether the body has this digest. True if no digest is set, as no response is stored then. */
    matchesBody(digest: string): boolean {
        return this.#digest === undefined || this.#digest === digest;
    }

    end(outcome: Outcome): void {
        if (this.#outcome) {
            throw new Error("a run can end only once");
        }
        this.#outcome = outcome;
        this.#waiters?.forEach(resolve => resolve(outcome));
        this.#waiters = undefined;
    }

    /** Resolves with the outcome when the run ends. */
    waitForOutcome(): Promise<Outcome> {
        if (this.#outcome) {
            return Promise.resolve(this.#outcome);
        }
        return new Promise(resolve => {
            this.#waiters ??= [];
            this.#waiters.push(resolve);
        });
    }
}
