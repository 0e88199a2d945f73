/** Detects pauses of this process, during which nothing that others sent was read. */

/** Tracks since when the process has been running without a pause. */
export class PauseDetector {
    readonly #maxTickGapMs: number;
    #tickedAt: number | undefined = undefined;
    #resumedAt = -Infinity;

    /** @param maxTickGapMs longest time between two ticks that isn't a pause, in milliseconds */
    constructor(maxTickGapMs: number) {
        this.#maxTickGapMs = maxTickGapMs;
    }

    /** Records that the process runs; to be called at intervals far below the longest gap. */
    tick(now: number): void {
        this.#resumedAt = this.runningSince(now);
        this.#tickedAt = now;
    }

    /** Returns the end of the latest pause, which is now if no tick has followed it yet; -Infinity without a pause. */
    runningSince(now: number): number {
        const gapMs = this.#tickedAt === undefined ? 0 : now - this.#tickedAt;
        return gapMs > this.#maxTickGapMs ? now : this.#resumedAt;
    }
}
