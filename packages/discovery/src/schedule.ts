/** When an entry VM reads the store itself, so that a few read for all and none knows less than it must. */

/** Ages at which knowledge is refreshed, in milliseconds. */
export interface ReadScheduleSettings {
    /** The first reader reads when its knowledge is so old. */
    readonly primaryAgeMs: number;
    /** Others stand in when theirs is so old, */
    readonly standbyAgeMs: number;
    /** each one a step later than the one before it, */
    readonly standbyStepMs: number;
    /** but none later than this. */
    readonly maxAgeMs: number;
    /** Time to the next attempt after a failed one, doubled each time, */
    readonly firstRetryMs: number;
    /** up to this. */
    readonly maxRetryMs: number;
}

/** Decides when to read one topic. */
export class ReadSchedule {
    readonly #settings: ReadScheduleSettings;
    #failures = 0;
    #failedAt = -Infinity;

    constructor(settings: ReadScheduleSettings) {
        this.#settings = settings;
    }

    recordSuccess(): void {
        this.#failures = 0;
    }

    recordFailure(now: number): void {
        this.#failures++;
        this.#failedAt = now;
    }

    /** Whether readings have been failing. */
    get failing(): boolean {
        return this.#failures > 0;
    }

    /**
     * When to read next.
     *
     * @param asOf moment of the newest knowledge
     * @param rank this entry VM's place among the readers, 0 for the first
     */
    nextReadAt(asOf: number, rank: number): number {
        const {
            primaryAgeMs: firstMs,
            standbyAgeMs: standInMs,
            standbyStepMs: stepMs,
            maxAgeMs: latestMs,
            firstRetryMs: retryMs,
            maxRetryMs: retryMostMs,
        } = this.#settings;
        const age = rank === 0 ? firstMs : Math.min(latestMs, standInMs + (rank - 1) * stepMs);
        const pauseMs = Math.min(retryMostMs, retryMs * 2 ** Math.min(this.#failures - 1, maxDoublings));
        const after = this.#failures === 0 ? -Infinity : this.#failedAt + pauseMs;
        return Math.max(asOf + age, after);
    }
}

const maxDoublings = 10;
