/** All records that one entry VM holds, and which of them it still has to pass on. */

import { createHash } from "node:crypto";
import { pack, type PackedRecord } from "./messages.js";
import { refreshes, supersedes, type MemberRecord } from "./record.js";

interface Entry {
    readonly record: MemberRecord;
    /** When the health last changed here. */
    readonly changedAt: number;
    readonly digest: number;
    readonly packed: PackedRecord;
    readonly bytes: number;
}

/** What became of a record that was offered. */
export type Merged = "changed" | "refreshed" | "known" | "stale";

/** More members than this are not taken in. */
export const membersAtMost = 4096;

const sendsPerDoubling = 3;

/** Records by id, persistent values replaced whole, with the queue of those to pass on. */
export class Roster {
    readonly #entries = new Map<string, Entry>();
    /** Times each changed record has still to be sent. */
    readonly #sends = new Map<string, number>();
    #digest = 0;
    #ids: readonly string[] | undefined;

    /** Digest over all members that are not dead; equal lists have equal digests. */
    get digest(): number {
        return this.#digest;
    }

    /** Ids of all members that are not dead, sorted. */
    get ids(): readonly string[] {
        this.#ids ??= this.#sortedIds();
        return this.#ids;
    }

    /** Number of records held, dead ones included. */
    get size(): number {
        return this.#entries.size;
    }

    get(id: string): MemberRecord | undefined {
        return this.#entries.get(id)?.record;
    }

    /** Every record, dead ones included, with the time of its last change of health. */
    *all(): Iterable<{ readonly record: MemberRecord; readonly changedAt: number }> {
        yield* this.#entries.values();
    }

    /** Takes a record in if it says more than the one held. A dead one of an unknown id is not kept. */
    merge(record: MemberRecord, now: number): Merged {
        const held = this.#entries.get(record.id)?.record;
        if (!held) {
            return this.#mergeUnknown(record, now);
        }
        if (supersedes(record, held)) {
            this.put(record, now);
            return "changed";
        }
        if (refreshes(record, held)) {
            this.refresh({ ...held, stamp: record.stamp, load: record.load, payload: record.payload });
            return "refreshed";
        }
        return supersedes(held, record) ? "stale" : "known";
    }

    /** Holds the record whatever was held before, and passes it on. */
    put(record: MemberRecord, now: number): void {
        this.#set(record, now);
        this.passOn(record.id);
    }

    /** Holds new values of load and payload without passing them on. */
    refresh(record: MemberRecord): void {
        this.#set(record, this.#entries.get(record.id)?.changedAt ?? 0);
    }

    /** Queues a record to be sent to as many peers as it takes to reach all. */
    passOn(id: string): void {
        this.#sends.set(id, sendsPerDoubling * Math.ceil(Math.log2(this.#entries.size + 1)));
    }

    /** Moves the time of every change on, after a pause in which no answer could be seen. */
    postpone(byMs: number): void {
        for (const [id, entry] of this.#entries) {
            this.#entries.set(id, { ...entry, changedAt: entry.changedAt + byMs });
        }
    }

    forget(id: string): void {
        const entry = this.#entries.get(id);
        if (!entry) {
            return;
        }
        this.#digest = (this.#digest ^ shareOf(entry)) >>> 0;
        this.#entries.delete(id);
        this.#sends.delete(id);
        this.#ids = undefined;
    }

    /** Changed records to pass on, those sent least often first, up to `bytes`. */
    changes(bytes: number): readonly PackedRecord[] {
        const waiting = [...this.#sends].sort((a, b) => b[1] - a[1]);
        const records: PackedRecord[] = [];
        let left = bytes;
        for (const [id, sends] of waiting) {
            const entry = this.#entries.get(id);
            if (!entry || entry.bytes > left) {
                break;
            }
            left -= entry.bytes;
            records.push(entry.packed);
            this.#countSend(id, sends);
        }
        return records;
    }

    /** Members in order of id after `after`, up to `bytes` and `count`; and where to go on. */
    page(
        after: string,
        bytes: number,
        count: number,
    ): { readonly records: readonly PackedRecord[]; readonly next: string } {
        const start = firstAfter(this.ids, after);
        const records: PackedRecord[] = [];
        let left = bytes;
        for (const id of this.ids.slice(start, start + count)) {
            const entry = this.#entries.get(id);
            if (!entry || entry.bytes > left) {
                return { records, next: records.at(-1)?.[0] ?? after };
            }
            left -= entry.bytes;
            records.push(entry.packed);
        }
        const end = start + records.length >= this.ids.length;
        return { records, next: end ? "" : (records.at(-1)?.[0] ?? "") };
    }

    #mergeUnknown(record: MemberRecord, now: number): Merged {
        if (record.health === "dead" || this.#entries.size >= membersAtMost) {
            return "known";
        }
        this.put(record, now);
        return "changed";
    }

    #set(record: MemberRecord, changedAt: number): void {
        const before = this.#entries.get(record.id);
        const packed = pack(record);
        const entry = {
            record,
            changedAt,
            digest: before && sameRun(before.record, record) ? before.digest : digestOf(record),
            packed,
            bytes: JSON.stringify(packed).length + 1,
        };
        this.#entries.set(record.id, entry);
        this.#digest = (this.#digest ^ (before ? shareOf(before) : 0) ^ shareOf(entry)) >>> 0;
        if ((before?.record.health ?? "dead") === "dead" || record.health === "dead") {
            this.#ids = undefined;
        }
    }

    #countSend(id: string, sends: number): void {
        if (sends <= 1) {
            this.#sends.delete(id);
        } else {
            this.#sends.set(id, sends - 1);
        }
    }

    #sortedIds(): readonly string[] {
        const live = [...this.#entries.values()].filter(entry => entry.record.health !== "dead");
        return live.map(entry => entry.record.id).sort();
    }
}

const shareOf = (entry: Entry): number => (entry.record.health === "dead" ? 0 : entry.digest);

const sameRun = (a: MemberRecord, b: MemberRecord): boolean => {
    return a.incarnation === b.incarnation && a.generation === b.generation && a.counter === b.counter;
};

const digestOf = (record: MemberRecord): number => {
    const text = `${record.id} ${record.incarnation} ${record.generation} ${record.counter}`;
    return createHash("sha1").update(text).digest().readUInt32LE(0);
};

const firstAfter = (ids: readonly string[], after: string): number => {
    let low = 0;
    let high = ids.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((ids[middle] ?? "") <= after) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
};
