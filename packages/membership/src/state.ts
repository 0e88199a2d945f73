/** The membership state of one entry VM: merging, refutation and expiry. */

import type { EntryVm } from "@bramleymoor/model/vm";
import { MemberTable } from "./membertable.js";
import { isLaterIncarnation, supersedes, type HealthRecord, type MemberRecord } from "./record.js";
import type { VmListCache } from "./vmlist.js";

/** Settings of `MembershipState`. */
export interface FailureDetectionSettings {
    /** Length of a protocol period, in milliseconds. */
    readonly periodMs: number;
    /** Periods that a suspect has to refute, multiplied by the decimal logarithm of the number of members. */
    readonly suspectPeriods: number;
    /** How long a dead member's record is kept and its address retried, in milliseconds. */
    readonly forgetAfterMs: number;
}

/** Counters of failure detection. */
export interface FailureDetectionCounts {
    /** Times this entry VM refuted a suspicion of itself. */
    readonly refutations: number;
    /** Members that this entry VM declared dead after a suspicion. */
    readonly deaths: number;
}

/** Merges records, refutes wrong records of this entry VM, and expires suspect and dead members. */
export class MembershipState {
    readonly table = new MemberTable();
    readonly #settings: FailureDetectionSettings;
    readonly #vmList: VmListCache;
    #self: MemberRecord;
    #replaced = false;
    #changed = false;
    #counts: FailureDetectionCounts = { refutations: 0, deaths: 0 };

    constructor(self: MemberRecord, vmList: VmListCache, settings: FailureDetectionSettings, now: number) {
        this.#self = self;
        this.#vmList = vmList;
        this.#settings = settings;
        this.table.put(self, now);
    }

    /** This entry VM's record of itself. */
    get self(): MemberRecord {
        return this.#self;
    }

    /** Whether a later incarnation with this entry VM's id is alive. */
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

    /** Peer addresses of members that died without leaving, and listed or seed addresses without a live member. */
    lostAddresses(seeds: readonly string[]): readonly string[] {
        const live = new Set(this.table.ids.map(id => this.table.get(id)?.peerAddress));
        live.add(this.#self.peerAddress);
        const unhealthy = this.table.unhealthy.map(entry => entry.record);
        const dead = unhealthy.filter(record => record.health === "dead" && !record.leaving);
        const deadAddresses = dead.map(record => record.peerAddress);
        const all = new Set([...deadAddresses, ...this.#vmList.addresses, ...seeds]);
        return [...all].filter(address => !live.has(address));
    }

    /** Merges records; `joined` says whether this entry VM has been a member for some time. */
    mergeRecords(records: readonly MemberRecord[], joined: boolean, now: number): void {
        for (const record of records) {
            if (record.id === this.#self.id) {
                this.#mergeOwn(record, joined, now);
            } else {
                this.#mergePeer(record, now);
            }
        }
    }

    /** Merges the health of a member if the rest of its record, with the same incarnation, is known. */
    mergeHealth(health: HealthRecord, joined: boolean, now: number): void {
        const current = health.id === this.#self.id ? this.#self : this.table.get(health.id);
        if (current?.incarnation !== health.incarnation) {
            return;
        }
        const record = { ...current, ...health };
        if (!supersedes(record, current)) {
            this.table.recordDuplicate(health.id);
        }
        this.mergeRecords([record], joined, now);
    }

    /** Changes this entry VM's own record with a higher counter, which overrides earlier ones, and queues it. */
    updateSelf(change: Partial<MemberRecord>, now: number): void {
        this.#self = { ...this.#self, counter: this.#self.counter + 1, ...change };
        if (!this.#replaced) {
            this.table.put(this.#self, now);
            this.#changed = true;
        }
    }

    /** Changes load or payload, which are sent with the own record and not queued as an update. */
    updateSelfValues(change: Partial<MemberRecord>): void {
        this.#self = { ...this.#self, ...change, stamp: this.#self.stamp + 1 };
        if (!this.#replaced) {
            this.table.putValues(this.#self);
            this.#changed = true;
        }
    }

    /** Marks a member as suspect, unless its state has changed since `record`. */
    suspect(record: MemberRecord, now: number): void {
        const current = this.table.get(record.id);
        if (current?.health === "alive" && current.incarnation === record.incarnation) {
            this.#mergePeer({ ...current, health: "suspect" }, now);
        }
    }

    /** Declares suspects dead and removes dead members when their timeouts have passed. */
    expire(isolated: boolean, joined: boolean, now: number): void {
        for (const { record, changedAt } of this.table.unhealthy) {
            if (
                record.health === "suspect" &&
                now - changedAt >= this.#suspicionTimeoutMs(record, isolated)
            ) {
                this.#counts = { ...this.#counts, deaths: this.#counts.deaths + 1 };
                this.mergeRecords([{ ...record, health: "dead" }], joined, now);
            }
            if (record.health === "dead" && now - changedAt >= this.#settings.forgetAfterMs) {
                this.table.remove(record.id);
            }
        }
    }

    /** Makes the next `takeChange` return true. */
    markChanged(): void {
        this.#changed = true;
    }

    /** Returns whether the view may have changed since the last call. */
    takeChange(): boolean {
        const changed = this.#changed;
        this.#changed = false;
        return changed;
    }

    /** Returns every member that is not dead, sorted by id. */
    view(): readonly EntryVm[] {
        return this.table.ids.flatMap(id => {
            const vm = this.table.entryVm(id);
            return vm ? [this.#withListedState(vm)] : [];
        });
    }

    #withListedState(vm: EntryVm): EntryVm {
        return this.#vmList.isLeaving(vm.id) ? { ...vm, state: "leaving" } : vm;
    }

    #mergePeer(record: MemberRecord, now: number): void {
        const merged = this.table.merge(record, now);
        if (merged === "changed" || merged === "refreshed") {
            this.#changed = true;
        }
        if (merged === "stale" && this.table.get(record.id)?.health === "dead") {
            this.table.queueUpdate(record.id, false);
        }
    }

    /** Refutes a wrong record of this entry VM, or yields to a later incarnation with the same id. */
    #mergeOwn(record: MemberRecord, joined: boolean, now: number): void {
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
        this.#mergePeer(record, now);
    }

    #refute(record: MemberRecord, now: number): void {
        const refutable = record.health !== "alive" && record.generation === this.#self.generation;
        if (refutable && record.counter >= this.#self.counter) {
            this.#counts = { ...this.#counts, refutations: this.#counts.refutations + 1 };
            this.updateSelf({ counter: record.counter + 1 }, now);
        }
    }

    /**
     * Returns how long a suspect has to refute, in milliseconds. While this entry VM gets no replies at all, the
     * fault is probably its own and the timeout is long.
     */
    #suspicionTimeoutMs(record: MemberRecord, isolated: boolean): number {
        const unlisted = this.#vmList.isMissing(record.id);
        if (isolated && !unlisted) {
            return this.#settings.forgetAfterMs;
        }
        const scale = Math.max(1, Math.log10(this.table.ids.length));
        return this.#settings.suspectPeriods * this.#settings.periodMs * scale * (unlisted ? 0.5 : 1);
    }
}
