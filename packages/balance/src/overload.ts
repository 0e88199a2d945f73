/** Tracks how long a service has been overloaded, which tells refused callers when to return. */

/**
 * The present overload of a service. How long it will last isn't known; the best guess is as long again as it has lasted:
 * a peak of some milliseconds has passed when the caller returns at once, and a burst of seconds would refuse it again.
 */
export class Overload {
    #beganAt = -Infinity;
    #refusedAt = -Infinity;

    /** Records that a request is refused because the service has no room for it. */
    recordRefusal(now: number): void {
        if (this.durationMs(now) === 0) {
            this.#beganAt = now;
        }
        this.#refusedAt = now;
    }

    /** Returns for how long requests have been refused without a break, in milliseconds; 0 if none is refused. */
    durationMs(now: number): number {
        return now - this.#refusedAt > maxBreakMs ? 0 : now - this.#beganAt;
    }
}

/** Longest time between two refusals of one overload: a small entry VM gets a few requests per second. */
const maxBreakMs = 1_000;
