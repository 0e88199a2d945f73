/** The part of the store that discovery reads: two logs of keyed records. */

/** A keyed log: the operators' configuration, or the backend servers' registrations. */
export type KeyedTopic = "configuration" | "servers";

/** One record; without a value it removes the key. */
export interface KeyedRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Uint8Array | undefined;
}

/** Records in ascending order of their offsets, and the offset from which to read on. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    readonly end: number;
    /**
     * Era of the store: rises each time it comes back from an older copy, whose offsets are then given out again. Absent
     * if the store doesn't say.
     */
    readonly era?: number | undefined;
}

/** Reads the store; both methods reject if the store doesn't respond. */
export interface KeyedLog {
    /**
     * Returns the records from an offset on.
     *
     * @param waitMs how long the store may wait for a first record, in milliseconds
     * @throws RecordsExpiredError if the record at that offset has expired
     */
    read(topic: KeyedTopic, from: number, waitMs: number): Promise<KeyedPage>;
    /**
     * Returns the latest record of every key. The store returns several pages that aren't one consistent snapshot;
     * `end` is that of the first page, so that later changes are read again.
     */
    readLatest(topic: KeyedTopic): Promise<KeyedPage>;
}

/** A response of the store of an earlier era than one already seen; it says nothing of the present one. */
export class OutdatedEraError extends Error {
    constructor(
        readonly topic: KeyedTopic,
        era: number,
        knownEra: number,
    ) {
        super(`the response for ${topic} is of era ${era}, but era ${knownEra} has begun`);
        this.name = "OutdatedEraError";
    }
}

/** The requested records have expired; the latest record of every key has to be read instead. */
export class RecordsExpiredError extends Error {
    constructor(readonly topic: KeyedTopic) {
        super(`records of ${topic} have expired`);
        this.name = "RecordsExpiredError";
    }
}
