/** Detects pauses of this process, during which nothing that servers sent was read. */

/** Tracks since when the process has been running without a pause. */
export class PauseDetector {
    #tickedAt: number | undefined = undefined;
    #resumedAt = -Infinity;

    /** Records that the process runs; to be called at intervals far below `maxTickGapMs`. */
    tick(now: number): void {
        this.#resumedAt = this.runningSince(now);
        this.#tickedAt = now;
    }

    /** Returns the end of the latest pause, which is now if no tick has followed it yet; -Infinity without a pause. */
    runningSince(now: number): number {
        const gapMs = this.#tickedAt === undefined ? 0 : now - this.#tickedAt;
        return gapMs > maxTickGapMs ? now : this.#resumedAt;
    }
}

/** A longer gap between two ticks is a pause: a quarter of the silence from which a server counts as unresponsive. */
const maxTickGapMs = 500;
