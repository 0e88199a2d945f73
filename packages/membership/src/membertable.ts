/** All records that one entry VM holds, and which of them it still has to pass on. */

import type { EntryVm } from "@bramleymoor/model/vm";
import { createHash } from "node:crypto";
import { packRecord, packHealth, type PackedHealth, type PackedRecord } from "./messages.js";
import { hasNewerValues, supersedes, toEntryVm, type MemberRecord } from "./record.js";

interface Entry {
    readonly record: MemberRecord;
    readonly vm: EntryVm;
    /** When the health last changed here. */
    readonly changedAt: number;
    readonly digest: number;
    readonly packed: PackedRecord;
    readonly bytes: number;
}

/** A changed record that has still to be passed on. */
interface Pending {
    readonly sends: number;
    /** Peers may not know the record at all, so health alone would not do. */
    readonly whole: boolean;
}

/** What became of a record that was offered. */
export type MergeResult = "changed" | "refreshed" | "known" | "stale";

/** More members than this are not taken in. */
export const maxMembers = 4096;

const extraSends = 4;
const sendsPerAgreement = 1;
const sendsPerEcho = 1;

/** Records by id, persistent values replaced whole, with the queue of those to pass on. */
export class MemberTable {
    readonly #entries = new Map<string, Entry>();
    readonly #pending = new Map<string, Pending>();
    /** Ids of suspect and dead members. */
    readonly #doubted = new Set<string>();
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

    /** The member as the other packages see it. */
    entryVm(id: string): EntryVm | undefined {
        return this.#entries.get(id)?.vm;
    }

    /** Records of suspect and dead members, with the time of that belief. */
    get unhealthy(): readonly { readonly record: MemberRecord; readonly changedAt: number }[] {
        return [...this.#doubted].flatMap(id => this.#entries.get(id) ?? []);
    }

    /** Takes a record in if it says more than the one held. A dead one of an unknown id is not kept. */
    merge(record: MemberRecord, now: number): MergeResult {
        const held = this.#entries.get(record.id)?.record;
        if (!held) {
            return this.#mergeUnknown(record, now);
        }
        if (supersedes(record, held)) {
            this.put(record, now);
            return "changed";
        }
        if (hasNewerValues(record, held)) {
            this.putValues({ ...held, stamp: record.stamp, load: record.load, payload: record.payload });
            return "refreshed";
        }
        return supersedes(held, record) ? "stale" : "known";
    }

    /** Holds the record whatever was held before, and passes it on. */
    put(record: MemberRecord, now: number): void {
        const known = this.#entries.get(record.id)?.record.incarnation === record.incarnation;
        this.#set(record, now);
        this.queueUpdate(record.id, !known);
    }

    /** Holds new values of load and payload without passing them on. */
    putValues(record: MemberRecord): void {
        this.#set(record, this.#entries.get(record.id)?.changedAt ?? 0);
    }

    /** Queues a record to be sent to as many peers as it takes to reach all. */
    queueUpdate(id: string, whole: boolean): void {
        const sends = extraSends + Math.ceil(Math.log2(this.#entries.size));
        this.#pending.set(id, { sends, whole: whole || this.#pending.get(id)?.whole === true });
    }

    /** Passes a change on less often, after a peer that knew it already sent it here. */
    recordDuplicate(id: string): void {
        this.#countSends(id, sendsPerEcho);
    }

    /** Passes changes on less often, after a peer had the same digest; it doesn't tell of suspicions. */
    recordEqualDigest(): void {
        for (const id of [...this.#pending.keys()]) {
            if (this.get(id)?.health !== "suspect") {
                this.#countSends(id, sendsPerAgreement);
            }
        }
    }

    /** Moves the time of every change on, after a pause in which no answer could be seen. */
    shiftTimes(byMs: number): void {
        for (const id of this.#doubted) {
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
        this.#digest = (this.#digest ^ shareOf(entry)) >>> 0;
        this.#entries.delete(id);
        this.#pending.delete(id);
        this.#doubted.delete(id);
        this.#ids = undefined;
    }

    /** Changed records to pass on, those that have waited longest first, up to `bytes`. */
    takeUpdates(bytes: number): readonly (PackedRecord | PackedHealth)[] {
        const waiting = [...this.#pending.entries()];
        const records: (PackedRecord | PackedHealth)[] = [];
        let left = bytes;
        for (const [id, pending] of waiting) {
            const record = this.#wireForm(id, pending.whole);
            left -= record ? JSON.stringify(record).length + 1 : 0;
            if (!record || left < 0) {
                break;
            }
            records.push(record);
            this.#countSends(id, 1);
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
            digest: before && sameRun(before.record, record) ? before.digest : digestOf(record),
            packed,
            bytes: JSON.stringify(packed).length + 1,
        };
        this.#entries.set(record.id, entry);
        this.#noteDoubt(record);
        this.#digest = (this.#digest ^ (before ? shareOf(before) : 0) ^ shareOf(entry)) >>> 0;
        if ((before?.record.health ?? "dead") === "dead" || record.health === "dead") {
            this.#ids = undefined;
        }
    }

    #noteDoubt(record: MemberRecord): void {
        if (record.health === "alive") {
            this.#doubted.delete(record.id);
        } else {
            this.#doubted.add(record.id);
        }
    }

    #wireForm(id: string, whole: boolean): PackedRecord | PackedHealth | undefined {
        const entry = this.#entries.get(id);
        return entry && !whole ? packHealth(entry.record) : entry?.packed;
    }

    #countSends(id: string, count: number): void {
        const pending = this.#pending.get(id);
        if (!pending || pending.sends <= count) {
            this.#pending.delete(id);
        } else {
            this.#pending.delete(id);
            this.#pending.set(id, { ...pending, sends: pending.sends - count });
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
