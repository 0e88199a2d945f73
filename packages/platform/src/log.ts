/** The platform's append-only log service, as its users see it. */

/** Streams of records, each in one order that all readers share. Any call may fail with a PlatformError. */
export interface LogService {
    /**
     * Appends one record and answers its offset. After an "unavailable" error the record may be in the stream
     * nevertheless, now or later.
     */
    append(stream: string, data: string): Promise<number>;
    /**
     * Reads records in order, from offset `from` or the oldest kept one if that is later.
     * Waits up to `waitMs` milliseconds for a first record; an unknown stream is an empty one.
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
    /** Counts up by 1 from 0 in each stream. */
    readonly offset: number;
    readonly data: string;
    /** Time since the append, by the service's own clock, in milliseconds. */
    readonly ageMs: number;
}

/** Answer to a read. */
export interface LogBatch {
    /** Consecutive, in order; empty when nothing came within the wait. */
    readonly records: readonly LogRecord[];
    /** Offset of the oldest kept record; equal to `next` when none is kept. */
    readonly first: number;
    /** Offset that the next append will get: the stream's end. */
    readonly next: number;
}

/** Why a call to the platform failed. */
export type PlatformFailure = "unavailable" | "bad response";

/** A call to the platform failed; "unavailable" leaves open whether the call took effect. */
export class PlatformError extends Error {
    constructor(
        readonly failure: PlatformFailure,
        detail: string,
    ) {
        super(`platform ${failure}: ${detail}`);
        this.name = "PlatformError";
    }
}
