/** The member records of one entry VM, and the queue of updates to disseminate. */

import type { EntryVm } from "@bramleymoor/model/vm";
import { createHash } from "node:crypto";
import { packRecord, packHealth, type PackedHealth, type PackedRecord } from "./messages.js";
import { hasNewerValues, supersedes, toEntryVm, type MemberRecord } from "./record.js";

interface TableEntry {
    readonly record: MemberRecord;
    readonly vm: EntryVm;
    /** When the record's health last changed in this table, in milliseconds. */
    readonly changedAt: number;
    readonly digest: number;
    readonly packed: PackedRecord;
    readonly bytes: number;
}

/** A changed record that still has to be sent to peers. */
interface PendingUpdate {
    readonly remainingSends: number;
    /** Whether to send the full record, as peers may not have it; otherwise its health only. */
    readonly full: boolean;
}

/** Result of merging a record; "known" if it brought nothing new or was not kept. */
export type MergeResult = "changed" | "refreshed" | "known" | "stale";

/** Records of further members are not kept. */
export const maxMembers = 4096;

/** An update is sent this often plus the binary logarithm of the number of records. */
const extraSends = 4;
/** Sends saved by each peer that has the same digest. */
const sendsPerEqualDigest = 1;
/** Sends saved by each peer that sends the same record. */
const sendsPerDuplicate = 1;

/** Immutable records by id, with the queue of updates to send. */
export class MemberTable {
    readonly #entries = new Map<string, TableEntry>();
    readonly #pending = new Map<string, PendingUpdate>();
    /** Ids of suspect and dead members. */
    readonly #unhealthy = new Set<string>();
    #digest = 0;
    #ids: readonly string[] | undefined;

    /** Digest of all members that are not dead, independent of their order. */
    get digest(): number {
        return this.#digest;
    }

    /** Ids of all members that are not dead, sorted. */
    get ids(): readonly string[] {
        this.#ids ??= this.#sortedIds();
        return this.#ids;
    }

    /** Number of records, including those of dead members. */
    get size(): number {
        return this.#entries.size;
    }

    get(id: string): MemberRecord | undefined {
        return this.#entries.get(id)?.record;
    }

    /** Returns the member as the other packages see it. */
    entryVm(id: string): EntryVm | undefined {
        return this.#entries.get(id)?.vm;
    }

    /** Records of suspect and dead members, with the time when they became so. */
    get unhealthy(): readonly { readonly record: MemberRecord; readonly changedAt: number }[] {
        return [...this.#unhealthy].flatMap(id => this.#entries.get(id) ?? []);
    }

    /** Merges a record if it is newer than the one in the table. A dead one of an unknown id is not kept. */
    merge(record: MemberRecord, now: number): MergeResult {
        const current = this.#entries.get(record.id)?.record;
        if (!current) {
            return this.#mergeUnknown(record, now);
        }
        if (supersedes(record, current)) {
            this.put(record, now);
            return "changed";
        }
        if (hasNewerValues(record, current)) {
            this.putValues({ ...current, stamp: record.stamp, load: record.load, payload: record.payload });
            return "refreshed";
        }
        return supersedes(current, record) ? "stale" : "known";
    }

    /** Replaces the record and queues it as an update. */
    put(record: MemberRecord, now: number): void {
        const known = this.#entries.get(record.id)?.record.incarnation === record.incarnation;
        this.#set(record, now);
        this.queueUpdate(record.id, !known);
    }

    /** Replaces the values of load and payload without queueing an update. */
    putValues(record: MemberRecord): void {
        this.#set(record, this.#entries.get(record.id)?.changedAt ?? 0);
    }

    /** Queues a record to be sent as often as it takes to reach all peers. */
    queueUpdate(id: string, full: boolean): void {
        const remainingSends = extraSends + Math.ceil(Math.log2(this.#entries.size));
        this.#pending.set(id, { remainingSends, full: full || this.#pending.get(id)?.full === true });
    }

    /** Reduces the remaining sends of an update that a peer already had. */
    recordDuplicate(id: string): void {
        this.#deductSends(id, sendsPerDuplicate);
    }

    /** Reduces the remaining sends after a peer had the same digest, except for suspicions, which it doesn't cover. */
    recordEqualDigest(): void {
        for (const id of [...this.#pending.keys()]) {
            if (this.get(id)?.health !== "suspect") {
                this.#deductSends(id, sendsPerEqualDigest);
            }
        }
    }

    /** Moves the times of suspicion and death later, after a pause in which no reply could be seen. */
    shiftTimes(byMs: number): void {
        for (const id of this.#unhealthy) {
            const entry = this.#entries.get(id);
            if (!entry) {
                continue;
            }
            this.#entries.set(id, { ...entry, changedAt: entry.changedAt + byMs });
        }
    }

    remove(id: string): void {
        const entry = this.#entries.get(id);
        if (!entry) {
            return;
        }
        this.#digest = (this.#digest ^ digestShare(entry)) >>> 0;
        this.#entries.delete(id);
        this.#pending.delete(id);
        this.#unhealthy.delete(id);
        this.#ids = undefined;
    }

    /** Returns queued updates, those that were sent longest ago first, up to `bytes`, and counts them as sent. */
    takeUpdates(bytes: number): readonly (PackedRecord | PackedHealth)[] {
        const queued = [...this.#pending.entries()];
        const records: (PackedRecord | PackedHealth)[] = [];
        let remainingBytes = bytes;
        for (const [id, pending] of queued) {
            const record = this.#packed(id, pending.full);
            remainingBytes -= record ? JSON.stringify(record).length + 1 : 0;
            if (!record || remainingBytes < 0) {
                break;
            }
            records.push(record);
            this.#deductSends(id, 1);
        }
        return records;
    }

    /** Returns records in order of id after `after`, up to `bytes` and `count`, and the next cursor. */
    page(
        after: string,
        bytes: number,
        count: number,
    ): { readonly records: readonly PackedRecord[]; readonly next: string } {
        const start = indexAfter(this.ids, after);
        const records: PackedRecord[] = [];
        let remainingBytes = bytes;
        for (const id of this.ids.slice(start, start + count)) {
            const entry = this.#entries.get(id);
            if (!entry || entry.bytes > remainingBytes) {
                return { records, next: records.at(-1)?.[0] ?? after };
            }
            remainingBytes -= entry.bytes;
            records.push(entry.packed);
        }
        const end = start + records.length >= this.ids.length;
        return { records, next: end ? "" : (records.at(-1)?.[0] ?? "") };
    }

    #mergeUnknown(record: MemberRecord, now: number): MergeResult {
        if (record.health === "dead" || this.#entries.size >= maxMembers) {
            return "known";
        }
        this.put(record, now);
        return "changed";
    }

    #set(record: MemberRecord, changedAt: number): void {
        const before = this.#entries.get(record.id);
        const packed = packRecord(record);
        const entry = {
            record,
            vm: toEntryVm(record),
            changedAt,
            digest: before && isSameVersion(before.record, record) ? before.digest : digestOf(record),
            packed,
            bytes: JSON.stringify(packed).length + 1,
        };
        this.#entries.set(record.id, entry);
        this.#trackHealth(record);
        this.#digest = (this.#digest ^ (before ? digestShare(before) : 0) ^ digestShare(entry)) >>> 0;
        if ((before?.record.health ?? "dead") === "dead" || record.health === "dead") {
            this.#ids = undefined;
        }
    }

    #trackHealth(record: MemberRecord): void {
        if (record.health === "alive") {
            this.#unhealthy.delete(record.id);
        } else {
            this.#unhealthy.add(record.id);
        }
    }

    #packed(id: string, full: boolean): PackedRecord | PackedHealth | undefined {
        const entry = this.#entries.get(id);
        return entry && !full ? packHealth(entry.record) : entry?.packed;
    }

    #deductSends(id: string, count: number): void {
        const pending = this.#pending.get(id);
        if (!pending || pending.remainingSends <= count) {
            this.#pending.delete(id);
        } else {
            this.#pending.delete(id);
            this.#pending.set(id, { ...pending, remainingSends: pending.remainingSends - count });
        }
    }

    #sortedIds(): readonly string[] {
        const live = [...this.#entries.values()].filter(entry => entry.record.health !== "dead");
        return live.map(entry => entry.record.id).sort();
    }
}

const digestShare = (entry: TableEntry): number => (entry.record.health === "dead" ? 0 : entry.digest);

const isSameVersion = (a: MemberRecord, b: MemberRecord): boolean => {
    return a.incarnation === b.incarnation && a.generation === b.generation && a.counter === b.counter;
};

const digestOf = (record: MemberRecord): number => {
    const text = `${record.id} ${record.incarnation} ${record.generation} ${record.counter}`;
    return createHash("sha1").update(text).digest().readUInt32LE(0);
};

const indexAfter = (ids: readonly string[], after: string): number => {
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
