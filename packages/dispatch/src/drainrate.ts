/** Estimates how fast a queue drains, to predict the wait of a new call. */

/** Moving average of the time between two dequeued calls while the queue isn't empty. */
export class DrainRate {
    #intervalMs: number | undefined;
    #lastDequeueAt: number | undefined;

    /** Records that a call was dequeued while `remaining` more are waiting. */
    recordDequeue(remaining: number, now: number): void {
        if (this.#lastDequeueAt !== undefined) {
            const interval = now - this.#lastDequeueAt;
            this.#intervalMs =
                (this.#intervalMs ?? interval) + (interval - (this.#intervalMs ?? interval)) * ewmaWeight;
        }
        this.#lastDequeueAt = remaining > 0 ? now : undefined;
    }

    /** Returns the expected wait behind `ahead` calls, in milliseconds; 0 before the first interval is known. */
    expectedWaitMs(ahead: number): number {
        return ahead * (this.#intervalMs ?? 0);
    }
}

const ewmaWeight = 0.02;
