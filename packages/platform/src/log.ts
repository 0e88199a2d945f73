/** Interface of the platform's append-only log service. */

/** Streams of records, each in one total order for all readers. Any call may fail with a PlatformError. */
export interface LogService {
    /**
     * Appends one record and returns its offset. After an "unavailable" error the record may still be in the stream,
     * or appear there later.
     */
    append(stream: string, data: string): Promise<number>;
    /**
     * Reads up to `limit` records in order, from offset `from`, or from the oldest retained one if that is later.
     * Waits up to `waitMs` milliseconds for a first record. An unknown stream reads as empty.
     */
    read(
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<LogBatch>;
}

/** One record of a stream. */
export interface LogRecord {
    /** Starts at 0 and grows by 1 with each record of a stream. */
    readonly offset: number;
    readonly data: string;
    /** Time since the append in milliseconds, by the service's clock. */
    readonly ageMs: number;
}

/** Result of a read. */
export interface LogBatch {
    /** Consecutive records in order; empty if none arrived within the wait. */
    readonly records: readonly LogRecord[];
    /** Offset of the oldest retained record; equal to `next` if there is none. */
    readonly first: number;
    /** End of the stream: the offset that the next append gets. */
    readonly next: number;
}

/** Why a call to the platform failed. */
export type PlatformFailure = "unavailable" | "bad response";

/** A call to the platform failed. After "unavailable" it is unknown whether the call took effect. */
export class PlatformError extends Error {
    constructor(
        readonly failure: PlatformFailure,
        detail: string,
    ) {
        super(`platform ${failure}: ${detail}`);
        this.name = "PlatformError";
    }
}
