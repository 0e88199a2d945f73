/** Simulates the platform's store of keyed records, in virtual time. */

import {
    RecordsExpiredError,
    type KeyedLog,
    type KeyedPage,
    type KeyedTopic,
} from "@bramleymoor/discovery/log";
import type { VirtualTime } from "@bramleymoor/platform/virtualtime";

interface StoredRecord {
    readonly key: string;
    readonly value: Uint8Array;
    readonly writtenAt: number;
}

/** A store of two logs that may come back from an older copy. */
export class SimulatedStore implements KeyedLog {
    readonly #time: VirtualTime;
    #records: Readonly<Record<KeyedTopic, readonly StoredRecord[]>> = { configuration: [], servers: [] };
    era = 1;
    calls = 0;

    constructor(time: VirtualTime) {
        this.#time = time;
    }

    write(topic: KeyedTopic, key: string, content: unknown): void {
        const value = new TextEncoder().encode(JSON.stringify(content));
        const record = { key, value, writtenAt: this.#time.now() };
        this.#records = { ...this.#records, [topic]: [...this.#records[topic], record] };
    }

    /** Comes back from a copy that lacks what was written in the last `ageMs` milliseconds. */
    restore(ageMs: number): void {
        const copiedAt = this.#time.now() - ageMs;
        const keep = (records: readonly StoredRecord[]): readonly StoredRecord[] =>
            records.filter(it => it.writtenAt <= copiedAt);
        const { configuration, servers } = this.#records;
        this.#records = { configuration: keep(configuration), servers: keep(servers) };
        this.era++;
    }

    async read(topic: KeyedTopic, from: number, waitMs: number): Promise<KeyedPage> {
        await this.#receiveCall();
        const end = (): number => this.#records[topic].length;
        for (let waited = 0; end() === from && waited < waitMs; waited += longPollStepMs) {
            await this.#time.sleep(longPollStepMs);
        }
        if (end() < from) {
            throw new RecordsExpiredError(topic);
        }
        const records = this.#records[topic].slice(from).map((it, i) => ({ ...it, offset: from + i }));
        return { records, end: end(), era: this.era };
    }

    async readLatest(topic: KeyedTopic): Promise<KeyedPage> {
        await this.#receiveCall();
        const latest = new Map(this.#records[topic].map((it, offset) => [it.key, { ...it, offset }]));
        const records = [...latest.values()].sort((a, b) => a.offset - b.offset);
        return { records, end: this.#records[topic].length, era: this.era };
    }

    async #receiveCall(): Promise<void> {
        this.calls++;
        await this.#time.sleep(storeLatencyMs);
    }
}

/** Key of the record that holds the configuration. */
export const configKey = "config";

/** Decodes a record of the simulated store. */
export const decodeRecord = <T>(value: Uint8Array): T => JSON.parse(new TextDecoder().decode(value)) as T;

const storeLatencyMs = 4;
const longPollStepMs = 20;
