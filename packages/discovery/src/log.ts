/** What discovery needs of the store: two logs of keyed records. */

/** A keyed log: what operators wrote, or what backend servers say of themselves. */
export type KeyedTopic = "configuration" | "servers";

/** One record; without a value the key was dropped. */
export interface KeyedRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Uint8Array | undefined;
}

/** Records in the order of their offsets, and the offset after the last one of the log. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    readonly end: number;
}

/** Reads the store; both calls reject when there is no answer. */
export interface KeyedLog {
    /**
     * Records from an offset on.
     *
     * @param waitMs how long the store may wait for a first record
     * @throws RecordsExpiredError if records from that offset on have expired
     */
    read(topic: KeyedTopic, from: number, waitMs: number): Promise<KeyedPage>;
    /** The newest record of every key. Pages are no snapshot: `end` is that of the first page. */
    readLatest(topic: KeyedTopic): Promise<KeyedPage>;
}

/** The records asked for have expired; what is newest has to be read anew. */
export class RecordsExpiredError extends Error {
    constructor(readonly topic: KeyedTopic) {
        super(`records of ${topic} have expired`);
        this.name = "RecordsExpiredError";
    }
}
