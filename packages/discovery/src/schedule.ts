/**
 * Schedules an entry VM's own reads of the store. A primary reader reads most often and shares what it reads; the
 * others read only when that data doesn't arrive in time, so that a few readers serve a whole fleet.
 */

/** Ages of the known data at which it is read again, and delays between retries, in milliseconds. */
export interface ReadScheduleSettings {
    /** Age at which the primary reader (rank 0) reads. */
    readonly primaryAgeMs: number;
    /** Age at which the first standby reader (rank 1) reads. */
    readonly standbyAgeMs: number;
    /** Added to that age for each further rank. */
    readonly standbyStepMs: number;
    /** Greatest age at which a reader of any rank reads. */
    readonly maxAgeMs: number;
    /** Delay after the first failed read; it doubles with each further failure. */
    readonly firstRetryMs: number;
    /** Longest delay after a failed read. */
    readonly maxRetryMs: number;
}

/** Decides when one topic is read next. */
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

    /** Whether the last read failed. */
    get failing(): boolean {
        return this.#failures > 0;
    }

    /**
     * Returns the time of the next read, in milliseconds on the caller's clock.
     *
     * @param asOf time as of which the known data was current
     * @param rank this entry VM's rank among the readers; 0 is the primary reader
     */
    nextReadAt(asOf: number, rank: number): number {
        const { primaryAgeMs, standbyAgeMs, standbyStepMs, maxAgeMs, firstRetryMs, maxRetryMs } =
            this.#settings;
        const ageMs =
            rank === 0 ? primaryAgeMs : Math.min(maxAgeMs, standbyAgeMs + (rank - 1) * standbyStepMs);
        const retryDelayMs = Math.min(
            maxRetryMs,
            firstRetryMs * 2 ** Math.min(this.#failures - 1, maxDoublings),
        );
        const retryAt = this.#failures === 0 ? -Infinity : this.#failedAt + retryDelayMs;
        return Math.max(asOf + ageMs, retryAt);
    }
}

const maxDoublings = 10;
