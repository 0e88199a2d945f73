/** One entry VM's copy of the set of evacuated failure domains, valid as of an offset of an era of the store. */

import type { KeyedPage } from "./log.js";

/** What a record says of a failure domain. */
export interface EvacuationRecord {
    readonly domain: string;
    readonly state: "evacuated" | "ended";
}

/** Decodes a record of the configuration topic; returns undefined if it isn't one of an evacuation. */
export type EvacuationDecoder = (key: string, value: Uint8Array | undefined) => EvacuationRecord | undefined;

/** The evacuated domains as of an offset of the store's log. */
export interface EvacuationUpdate {
    /** Era of the store; absent if it is the receiver's. */
    readonly era?: number | undefined;
    /** Offset up to which the log was read, exclusive. */
    readonly to: number;
    /** All evacuated domains. */
    readonly evacuated: readonly string[];
    /** Those of them that were evacuated in an earlier era, and of which this one has no record. */
    readonly carriedOver?: readonly string[] | undefined;
    /** Domains whose evacuation a record of this era has ended last, the latest 64. */
    readonly ended?: readonly string[] | undefined;
}

/** Maximum number of evacuated domains; bounds the messages that carry the set. */
export const maxEvacuatedDomains = 64;

/**
 * Keeps the newest known set. When the store comes back from an older copy, a domain stays evacuated until a record of the
 * new era ends that: the copy may lack the record that the operator has written.
 */
export class EvacuationCache {
    readonly #decode: EvacuationDecoder;
    readonly #onSkipped: (domain: string) => void;
    /** Domains with a record in the present era. */
    #recorded: ReadonlySet<string> = new Set();
    #carriedOver: ReadonlySet<string> = new Set();
    #ended: ReadonlySet<string> = new Set();
    #domains: ReadonlySet<string> = new Set();
    #era = 0;
    #position: number | undefined = undefined;
    #asOf = -Infinity;

    /** @param onSkipped called for each evacuation that is ignored because `maxEvacuatedDomains` are evacuated */
    constructor(decode: EvacuationDecoder, onSkipped: (domain: string) => void = () => undefined) {
        this.#decode = decode;
        this.#onSkipped = onSkipped;
    }

    /** The evacuated domains; replaced, not changed, when they differ. */
    get domains(): ReadonlySet<string> {
        return this.#domains;
    }

    /** Era of the store that `position` belongs to. */
    get era(): number {
        return this.#era;
    }

    /** Offset as of which the set is valid, exclusive; undefined before the first read. */
    get position(): number | undefined {
        return this.#position;
    }

    /** Time at which the store held nothing newer than what is known here. */
    get asOf(): number {
        return this.#asOf;
    }

    /** The set as an update for peers; undefined before the first read. */
    get update(): EvacuationUpdate | undefined {
        if (this.#position === undefined) {
            return undefined;
        }
        return {
            era: this.#era,
            to: this.#position,
            evacuated: [...this.#domains],
            ...(this.#carriedOver.size > 0 ? { carriedOver: [...this.#carriedOver] } : {}),
            ...(this.#ended.size > 0 ? { ended: [...this.#ended] } : {}),
        };
    }

    /** Whether an offset of an era is beyond what is known. */
    isBeyond(era: number | undefined, to: number): boolean {
        const ofEra = era ?? this.#era;
        return ofEra > this.#era || (ofEra === this.#era && to > (this.#position ?? -1));
    }

    /** Whether an update lacks a domain that is evacuated since an earlier era, at the same offset. */
    isMissingFrom(update: EvacuationUpdate): boolean {
        return (
            (update.era ?? this.#era) === this.#era &&
            update.to === this.#position &&
            [...this.#carriedOver].some(it => !update.evacuated.includes(it))
        );
    }

    /** Records that the store held nothing newer at `asOf`, if its log ended at the known offset then. */
    confirm(era: number | undefined, to: number, asOf: number): void {
        if ((era ?? this.#era) === this.#era && to === this.#position) {
            this.#asOf = Math.max(this.#asOf, asOf);
        }
    }

    /** Applies records read from an offset on that isn't beyond `position`; one of an older era changes nothing. */
    applyRecords({ records, end, era = this.#era }: KeyedPage, asOf: number): void {
        if (era !== this.#era || end < (this.#position ?? 0)) {
            return;
        }
        const recorded = new Set(this.#recorded);
        const carriedOver = new Set(this.#carriedOver);
        const ended = new Set(this.#ended);
        for (const { offset, key, value } of records) {
            const record = offset < (this.#position ?? 0) ? undefined : this.#decode(key, value);
            if (record?.state === "evacuated") {
                carriedOver.delete(record.domain);
                recorded.add(record.domain);
                ended.delete(record.domain);
            } else if (record?.state === "ended") {
                carriedOver.delete(record.domain);
                recorded.delete(record.domain);
                ended.delete(record.domain);
                ended.add(record.domain);
            }
        }
        this.#replace(recorded, carriedOver, ended);
        this.#advance(era, end, asOf);
    }

    /** Applies the latest record of every key: a domain without one isn't evacuated, unless since an earlier era. */
    applyLatest({ records, end, era = this.#era }: KeyedPage, asOf: number): void {
        if (era < this.#era || (era === this.#era && end < (this.#position ?? 0))) {
            return;
        }
        const recorded = new Set<string>();
        for (const { key, value } of records) {
            const record = this.#decode(key, value);
            if (record?.state === "evacuated") {
                recorded.add(record.domain);
            }
        }
        const isNewEra = this.#beginsEra(era);
        const before = isNewEra ? this.#domains : this.#carriedOver;
        this.#replace(recorded, without(before, recorded), isNewEra ? [] : without(this.#ended, recorded));
        this.#advance(era, end, asOf);
    }

    /** Applies the set of a peer; one of an older offset or era changes nothing. */
    apply(update: EvacuationUpdate, asOf: number): void {
        const { era = this.#era, to, evacuated } = update;
        if (era < this.#era || (era === this.#era && to < (this.#position ?? 0))) {
            return;
        }
        const ended = without(update.ended ?? [], new Set(evacuated));
        const carriedOver = new Set(update.carriedOver);
        if (this.#beginsEra(era) || to !== this.#position) {
            const before = this.#beginsEra(era) ? this.#domains : this.#carriedOver;
            const stillBefore = without(before, new Set([...evacuated, ...ended]));
            const recorded = without(evacuated, carriedOver);
            // What a record of this era has ended can't be carried over into it; the sender may have skipped that record.
            const endedBefore = era === this.#era ? without(this.#ended, new Set(recorded)) : [];
            this.#replace(recorded, without([...carriedOver, ...stillBefore], new Set(endedBefore)), [
                ...endedBefore,
                ...ended,
            ]);
        } else {
            // At the same offset copies differ only in what was evacuated before this era, or has ended since.
            const allEnded = new Set([...this.#ended, ...ended]);
            this.#replace(
                this.#recorded,
                without([...this.#carriedOver, ...carriedOver], new Set([...allEnded, ...this.#recorded])),
                allEnded,
            );
        }
        this.#advance(era, to, asOf);
    }

    #beginsEra(era: number): boolean {
        return era > this.#era && this.#position !== undefined;
    }

    #advance(era: number, position: number, asOf: number): void {
        this.#era = era;
        this.#position = position;
        this.#asOf = Math.max(this.#asOf, asOf);
    }

    #replace(recorded: Iterable<string>, carriedOver: Iterable<string>, ended: Iterable<string>): void {
        const kept = [...new Set([...carriedOver, ...recorded])];
        kept.slice(maxEvacuatedDomains).forEach(it => this.#onSkipped(it));
        const domains = new Set(kept.slice(0, maxEvacuatedDomains));
        this.#carriedOver = new Set([...carriedOver].filter(it => domains.has(it)));
        this.#recorded = new Set([...recorded].filter(it => domains.has(it)));
        this.#ended = new Set([...ended].slice(-maxEvacuatedDomains));
        if (domains.size !== this.#domains.size || kept.some(it => !this.#domains.has(it))) {
            this.#domains = domains;
        }
    }
}

const without = (names: Iterable<string>, removed: ReadonlySet<string>): readonly string[] =>
    [...names].filter(it => !removed.has(it));
