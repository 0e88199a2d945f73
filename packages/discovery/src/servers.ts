/** One entry VM's copy of the backend servers that are registered in the store. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { KeyedPage, KeyedRecord } from "./log.js";

/** Decodes one server's record; returns undefined if it is invalid. */
export type ServerDecoder = (id: string, value: Uint8Array) => ServerEntry | undefined;

/** A change of a registration; heartbeats that change nothing are left out. */
export interface ServerChange {
    readonly offset: number;
    readonly id: string;
    /** undefined if the entry was removed. */
    readonly entry?: ServerEntry | undefined;
}

/**
 * Every change from offset `from` up to offset `to`, exclusive. One from offset 0 on is complete: it may lack removals, but has
 * all servers that are registered at `to`.
 */
export interface ServerUpdate {
    /** Era of the store; absent if it is the receiver's. An update that begins a new era is complete. */
    readonly era?: number | undefined;
    readonly from: number;
    readonly to: number;
    readonly changes: readonly ServerChange[];
}

/** A server that may be used, or that is leaving. */
export interface KnownServer {
    readonly entry: ServerEntry;
    /** Whether its entry expired during an outage of the store; the server may still be running. */
    readonly lapsed: boolean;
}

interface CachedEntry {
    readonly offset: number;
    readonly entry: ServerEntry;
    /** When an entry that expired during an outage is removed; undefined for a registered one. */
    readonly removeAt: number | undefined;
}

/** Applies records in the order of their offsets; a record older than the known one changes nothing. */
export class ServerCache {
    readonly #decode: ServerDecoder;
    readonly #usesWarmUp: (service: string) => boolean;
    readonly #entries = new Map<string, CachedEntry>();
    readonly #recentChanges: ServerChange[] = [];
    #recentChangesFrom = 0;
    /** When incarnations were removed, by incarnation key. */
    readonly #removedAt = new Map<string, number>();
    #era = 0;
    #position: number | undefined = undefined;
    #asOf = -Infinity;
    #graceUntil = -Infinity;
    #revision = 0;

    /**
     * @param usesWarmUp whether the remaining warm-up time of a service's servers matters; if not, an entry that differs in
     *     nothing else counts as unchanged
     */
    constructor(decode: ServerDecoder, usesWarmUp: (service: string) => boolean = () => false) {
        this.#decode = decode;
        this.#usesWarmUp = usesWarmUp;
    }

    /** Era of the store that `position` belongs to. */
    get era(): number {
        return this.#era;
    }

    /** Offset up to which the log is known, exclusive; undefined before the first read. */
    get position(): number | undefined {
        return this.#position;
    }

    /** Time at which the store held nothing newer than what is known here. */
    get asOf(): number {
        return this.#asOf;
    }

    /** Increases whenever the result of `servers` changes. */
    get revision(): number {
        return this.#revision;
    }

    /** Returns every server that may be used or is leaving. */
    servers(): readonly KnownServer[] {
        return [...this.#entries.values()].map(it => ({
            entry: it.entry,
            lapsed: it.removeAt !== undefined,
        }));
    }

    /** Applies records read from `position` on, current as of `asOf`; returns the update for peers. */
    applyRecords(page: KeyedPage, asOf: number): ServerUpdate {
        const from = this.#position ?? 0;
        const changes = page.records.flatMap(it => this.#toChange(it));
        return this.apply({ era: page.era, from, to: page.end, changes }, asOf);
    }

    /** Applies the latest record of every key; a missing key was removed. Returns the update for peers. */
    applyLatest(page: KeyedPage, asOf: number): ServerUpdate {
        const { era, end: to } = page;
        if (this.#beginsEra(era)) {
            const entries = page.records.flatMap(({ offset, key: id, value }) => {
                const entry = value && this.#decode(id, value);
                return entry ? [{ offset, id, entry }] : [];
            });
            return this.apply({ era, from: 0, to, changes: entries }, asOf);
        }
        const keys = new Set(page.records.map(it => it.key));
        const changes = [
            ...page.records.flatMap(it => this.#toChange(it)),
            ...this.#removalsOfOthers(keys, to),
        ];
        return this.apply({ era, from: this.#position ?? 0, to, changes }, asOf);
    }

    /**
     * Applies an update from the store or a peer, current as of `asOf`; one of an older era changes nothing.
     *
     * @returns the changes that took effect
     * @throws RangeError if changes that the update doesn't have would be missed
     */
    apply(update: ServerUpdate, asOf: number): ServerUpdate {
        const position = this.#position ?? 0;
        if (this.leavesGap(update)) {
            throw new RangeError(`update from offset ${update.from} leaves a gap after ${position}`);
        }
        const era = update.era ?? this.#era;
        if (era < this.#era) {
            return { era: this.#era, from: position, to: position, changes: [] };
        }
        if (this.#beginsEra(era)) {
            return this.#beginEra(era, update, asOf);
        }
        this.#era = era;
        if (update.to >= position) {
            this.#advanceAsOf(asOf);
        }
        const changes = [...update.changes, ...this.#impliedRemovals(update)];
        const applied = changes.filter(it => it.offset >= position && this.#apply(it, asOf));
        this.#position = Math.max(position, update.to);
        this.#keepRecentChanges(applied, update);
        return { era, from: position, to: this.#position, changes: applied };
    }

    /** Whether an update doesn't have all changes since `position`, or since the beginning of its era. */
    leavesGap({ era, from }: ServerUpdate): boolean {
        return from > (this.#beginsEra(era) ? 0 : (this.#position ?? 0)) && (era ?? this.#era) >= this.#era;
    }

    /** Returns the changes from an offset on; undefined if they are no longer kept. */
    changesSince(offset: number): ServerUpdate | undefined {
        if (this.#position === undefined || offset < this.#recentChangesFrom) {
            return undefined;
        }
        const changes = this.#recentChanges.filter(it => it.offset >= offset);
        return { era: this.#era, from: offset, to: this.#position, changes };
    }

    /** Returns all registered servers as an update for an entry VM without data; undefined before the first read. */
    fullUpdate(): ServerUpdate | undefined {
        if (this.#position === undefined) {
            return undefined;
        }
        const registered = [...this.#entries].filter(([, it]) => it.removeAt === undefined);
        const changes = registered.map(([id, it]) => ({ offset: it.offset, id, entry: it.entry }));
        return { era: this.#era, from: 0, to: this.#position, changes };
    }

    /** Removes the entries that expired during an outage and weren't registered again in time. */
    expire(now: number): void {
        for (const [id, cached] of this.#entries) {
            if (cached.removeAt !== undefined && cached.removeAt <= now) {
                this.#remove(id, cached.entry, now);
                this.#revision++;
            }
        }
        for (const [key, removedAt] of this.#removedAt) {
            if (now - removedAt > removedTtlMs) {
                this.#removedAt.delete(key);
            }
        }
    }

    /** Returns the removals that a complete update doesn't name. */
    #impliedRemovals({ from, to, changes }: ServerUpdate): readonly ServerChange[] {
        return from === 0 ? this.#removalsOfOthers(new Set(changes.map(it => it.id)), to) : [];
    }

    /** Returns removals of all servers but those with the given ids, which are all that is registered at an offset. */
    #removalsOfOthers(ids: ReadonlySet<string>, to: number): readonly ServerChange[] {
        const others = [...this.#entries.keys()].filter(id => !ids.has(id));
        return others.map(id => ({ offset: to - 1, id, entry: undefined }));
    }

    #remove(id: string, entry: ServerEntry, now: number): void {
        this.#entries.delete(id);
        this.#removedAt.set(incarnationKey(entry), now);
    }

    #beginsEra(era: number | undefined): boolean {
        return era !== undefined && era > this.#era && this.#position !== undefined;
    }

    /**
     * Applies all entries of an older copy of the store. What the copy has forgotten may be written again: a server
     * that is missing counts as lapsed. What the copy doesn't know yet still holds: a server that was leaving or gone
     * doesn't return, until it is written again.
     */
    #beginEra(era: number, { to, changes }: ServerUpdate, asOf: number): ServerUpdate {
        const before = new Map(this.#entries);
        this.#era = era;
        this.#position = to;
        this.#asOf = Math.max(this.#asOf, asOf);
        this.#graceUntil = asOf + reregistrationMs;
        this.#recentChangesFrom = to;
        this.#recentChanges.length = 0;
        this.#entries.clear();
        for (const { offset, id, entry } of changes) {
            const known = before.get(id)?.entry;
            if (entry && (known || !this.#removedAt.has(incarnationKey(entry)))) {
                const current = known && isOutdated(entry, known) ? known : entry;
                this.#entries.set(id, { offset, entry: current, removeAt: undefined });
                before.delete(id);
            }
        }
        for (const [id, { entry, removeAt = Infinity }] of before) {
            if (entry.leaving) {
                this.#remove(id, entry, asOf);
            } else {
                const until = Math.min(removeAt, this.#graceUntil);
                this.#entries.set(id, { offset: to - 1, entry, removeAt: until });
            }
        }
        this.#revision++;
        return this.fullUpdate() ?? { era, from: 0, to, changes: [] };
    }

    /**
     * Advances `asOf` after an update that reaches at least `position`. An update that ends earlier was delayed on its
     * way and doesn't show that the data is current.
     */
    #advanceAsOf(asOf: number): void {
        if (this.#position !== undefined && asOf - this.#asOf > outageThresholdMs) {
            this.#graceUntil = asOf + reregistrationMs;
        }
        this.#asOf = Math.max(this.#asOf, asOf);
    }

    #toChange(record: KeyedRecord): readonly ServerChange[] {
        const { offset, key: id, value } = record;
        const entry = value && this.#decode(id, value);
        if (value && !entry) {
            return [];
        }
        const cached = this.#entries.get(id);
        const known = cached && cached.removeAt === undefined ? cached.entry : undefined;
        const isUnchanged = known && entry && sameEntry(known, entry) && !this.#changesWarmUp(known, entry);
        return isUnchanged ? [] : [{ offset, id, entry }];
    }

    /** Whether a newer entry says something new of the warm-up; a remaining time counts anew whenever it is written. */
    #changesWarmUp(known: ServerEntry, { service, warmUpMs }: ServerEntry): boolean {
        return (known.warmUpMs > 0 || warmUpMs > 0) && this.#usesWarmUp(service);
    }

    #apply(change: ServerChange, now: number): boolean {
        const cached = this.#entries.get(change.id);
        if (cached && change.offset <= cached.offset) {
            return false;
        }
        if (change.entry) {
            this.#entries.set(change.id, { offset: change.offset, entry: change.entry, removeAt: undefined });
        } else if (!cached) {
            return false;
        } else if (now < this.#graceUntil && !cached.entry.leaving) {
            this.#entries.set(change.id, { ...cached, offset: change.offset, removeAt: this.#graceUntil });
        } else {
            this.#remove(change.id, cached.entry, now);
        }
        this.#revision++;
        return true;
    }

    #keepRecentChanges(applied: readonly ServerChange[], update: ServerUpdate): void {
        if (update.from === 0) {
            this.#recentChangesFrom = update.to;
            this.#recentChanges.length = 0;
            return;
        }
        this.#recentChanges.push(...applied);
        const surplus = this.#recentChanges.length - maxRecentChanges;
        if (surplus > 0) {
            this.#recentChangesFrom = (this.#recentChanges[surplus - 1]?.offset ?? 0) + 1;
            this.#recentChanges.splice(0, surplus);
        }
    }
}

/** Whether an entry is older than the known one of the same server: incarnations follow one another, and end leaving. */
const isOutdated = (entry: ServerEntry, known: ServerEntry): boolean =>
    entry.bornAt < known.bornAt || (entry.bornAt === known.bornAt && known.leaving && !entry.leaving);

const sameEntry = (a: ServerEntry, b: ServerEntry): boolean =>
    a.bornAt === b.bornAt &&
    a.service === b.service &&
    a.address === b.address &&
    a.domain === b.domain &&
    a.slots === b.slots &&
    a.leaving === b.leaving;

/** Time without confirmed data after which servers may have failed to renew their entries as well. */
const outageThresholdMs = 2_500;
/** Running servers are registered again within this time after an outage of the store. */
const reregistrationMs = 2_200;
/** Longer than the time by which a copy of the store is older. */
const removedTtlMs = 60_000;
/** Changes kept for peers that missed a message; they cover some seconds in a busy fleet. */
const maxRecentChanges = 500;
