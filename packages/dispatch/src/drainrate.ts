/** How fast a queue is served, to tell a new call how long it would wait. */

/** Mean time between two calls taken from a queue that isn't empty. */
export class DrainRate {
    #intervalMs: number | undefined;
    #lastAt: number | undefined;

    /** Counts a call taken from the queue; `left` more are waiting. */
    taken(left: number, now: number): void {
        if (this.#lastAt !== undefined) {
            const interval = now - this.#lastAt;
            this.#intervalMs =
                (this.#intervalMs ?? interval) + (interval - (this.#intervalMs ?? interval)) * weight;
        }
        this.#lastAt = left > 0 ? now : undefined;
    }

    /** Wait to be expected behind so many calls, in milliseconds; 0 while nothing is known. */
    waitMs(ahead: number): number {
        return ahead * (this.#intervalMs ?? 0);
    }
}

const weight = 0.02;
