/** What one entry VM believes of all, and how it stands up for itself. */

import type { EntryVm } from "@bramleymoor/model/vm";
import type { VmList } from "./vmlist.js";
import { isLaterIncarnation, supersedes, type HealthRecord, type MemberRecord } from "./record.js";
import { MemberTable } from "./membertable.js";

/** Settings of `MembershipState`. */
export interface FailureDetectionSettings {
    /** Milliseconds. */
    readonly periodMs: number;
    /** Periods that a suspect has to refute, times the decimal logarithm of the number of members. */
    readonly suspectPeriods: number;
    /** A dead member's record is kept for so long, and it is tried again now and then; milliseconds. */
    readonly forgetAfterMs: number;
}

/** Counters of what an entry VM came to believe. */
export interface FailureDetectionCounts {
    /** Times this entry VM had to say that it is alive after all. */
    readonly refutations: number;
    /** Members that this entry VM declared dead itself. */
    readonly deaths: number;
}

/** Takes records in, refutes wrong ones of this entry VM, and lets suspects and the dead expire. */
export class MembershipState {
    readonly table = new MemberTable();
    readonly #settings: FailureDetectionSettings;
    readonly #listing: VmList;
    #self: MemberRecord;
    #replaced = false;
    #changed = false;
    #counts: FailureDetectionCounts = { refutations: 0, deaths: 0 };

    constructor(self: MemberRecord, listing: VmList, settings: FailureDetectionSettings, now: number) {
        this.#self = self;
        this.#listing = listing;
        this.#settings = settings;
        this.table.put(self, now);
    }

    /** This entry VM's record of itself. */
    get self(): MemberRecord {
        return this.#self;
    }

    /** Whether a later run with this entry VM's id is alive. */
    get replaced(): boolean {
        return this.#replaced;
    }

    get counts(): FailureDetectionCounts {
        return this.#counts;
    }

    /** Ids of all members but this one that are not dead, sorted. */
    get peers(): readonly string[] {
        return this.table.ids.filter(id => id !== this.#self.id);
    }

    /** Peer addresses of members that died without leaving, or that are only heard of. */
    lostAddresses(seeds: readonly string[]): readonly string[] {
        const live = new Set(this.table.ids.map(id => this.table.get(id)?.peerAddress));
        live.add(this.#self.peerAddress);
        const doubted = this.table.unhealthy.map(entry => entry.record);
        const dead = doubted.filter(record => record.health === "dead" && !record.leaving);
        const known = dead.map(record => record.peerAddress);
        const all = new Set([...known, ...this.#listing.addresses, ...seeds]);
        return [...all].filter(address => !live.has(address));
    }

    /** Takes records in; `joined` tells whether this entry VM has been a member for a while. */
    mergeRecords(records: readonly MemberRecord[], joined: boolean, now: number): void {
        for (const record of records) {
            if (record.id === this.#self.id) {
                this.#takeOwn(record, joined, now);
            } else {
                this.#takeOther(record, now);
            }
        }
    }

    /** Takes in what a peer says of life and death, if the rest of that run's record is known. */
    mergeHealth(health: HealthRecord, joined: boolean, now: number): void {
        const held = health.id === this.#self.id ? this.#self : this.table.get(health.id);
        if (held?.incarnation !== health.incarnation) {
            return;
        }
        const record = { ...held, ...health };
        if (!supersedes(record, held)) {
            this.table.recordDuplicate(health.id);
        }
        this.mergeRecords([record], joined, now);
    }

    /** Tells the peers a change of this entry VM's own state, as a new word that outranks all earlier ones. */
    updateSelf(change: Partial<MemberRecord>, now: number): void {
        this.#self = { ...this.#self, counter: this.#self.counter + 1, ...change };
        if (!this.#replaced) {
            this.table.put(this.#self, now);
            this.#changed = true;
        }
    }

    /** Changes load or payload, which travel along and are not passed on for themselves. */
    updateSelfValues(change: Partial<MemberRecord>): void {
        this.#self = { ...this.#self, ...change, stamp: this.#self.stamp + 1 };
        if (!this.#replaced) {
            this.table.putValues(this.#self);
            this.#changed = true;
        }
    }

    /** Suspects a member, unless a newer belief of it has come since `record`. */
    suspect(record: MemberRecord, now: number): void {
        const held = this.table.get(record.id);
        if (held?.health === "alive" && held.incarnation === record.incarnation) {
            this.#takeOther({ ...held, health: "suspect" }, now);
        }
    }

    /** Declares suspects dead and forgets the dead when their time has come. */
    expire(isolated: boolean, joined: boolean, now: number): void {
        for (const { record, changedAt } of this.table.unhealthy) {
            if (record.health === "suspect" && now - changedAt >= this.#suspicionMs(record, isolated)) {
                this.#counts = { ...this.#counts, deaths: this.#counts.deaths + 1 };
                this.mergeRecords([{ ...record, health: "dead" }], joined, now);
            }
            if (record.health === "dead" && now - changedAt >= this.#settings.forgetAfterMs) {
                this.table.remove(record.id);
            }
        }
    }

    /** Makes the next `takeChange` true. */
    markChanged(): void {
        this.#changed = true;
    }

    /** Tells whether the view may have changed since the last call. */
    takeChange(): boolean {
        const changed = this.#changed;
        this.#changed = false;
        return changed;
    }

    /** Every member that is not dead, sorted by id. */
    view(): readonly EntryVm[] {
        return this.table.ids.flatMap(id => {
            const vm = this.table.entryVm(id);
            return vm ? [this.#asListed(vm)] : [];
        });
    }

    #asListed(vm: EntryVm): EntryVm {
        return this.#listing.isLeaving(vm.id) ? { ...vm, state: "leaving" } : vm;
    }

    #takeOther(record: MemberRecord, now: number): void {
        const merged = this.table.merge(record, now);
        if (merged === "changed" || merged === "refreshed") {
            this.#changed = true;
        }
        if (merged === "stale" && this.table.get(record.id)?.health === "dead") {
            this.table.queueUpdate(record.id, false);
        }
    }

    /** Refutes what peers say wrongly of this entry VM, or yields to a later run with the same id. */
    #takeOwn(record: MemberRecord, joined: boolean, now: number): void {
        if (record.incarnation === this.#self.incarnation) {
            this.#refute(record, now);
            return;
        }
        if (!isLaterIncarnation(record, this.#self)) {
            return;
        }
        if (record.health === "dead" || !joined) {
            this.#replaced = false;
            this.updateSelf({ generation: record.generation + 1 }, now);
            return;
        }
        this.#replaced = true;
        this.#takeOther(record, now);
    }

    #refute(record: MemberRecord, now: number): void {
        const doubted = record.health !== "alive" && record.generation === this.#self.generation;
        if (doubted && record.counter >= this.#self.counter) {
            this.#counts = { ...this.#counts, refutations: this.#counts.refutations + 1 };
            this.updateSelf({ counter: record.counter + 1 }, now);
        }
    }

    /** How long a suspect may refute; long while this entry VM hears nobody, since then the fault is its own. */
    #suspicionMs(record: MemberRecord, isolated: boolean): number {
        const lacking = this.#listing.isMissing(record.id);
        if (isolated && !lacking) {
            return this.#settings.forgetAfterMs;
        }
        const spread = Math.max(1, Math.log10(this.table.ids.length));
        return this.#settings.suspectPeriods * this.#settings.periodMs * spread * (lacking ? 0.5 : 1);
    }
}
