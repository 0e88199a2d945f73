/** One entry VM's copy of the route configuration; it is never replaced by an older version. */

import type { RouteConfig } from "@bramleymoor/model/route";
import { EvacuationCache } from "./evacuation.js";
import type { KeyedPage } from "./log.js";

/** Decodes a configuration; returns undefined if it is invalid. */
export type ConfigDecoder = (value: Uint8Array) => RouteConfig | undefined;

/** The encoded configuration, as of an offset of the store's log. */
export interface ConfigUpdate {
    /** Era of the store; absent if it is the receiver's. */
    readonly era?: number | undefined;
    /** Offset up to which the log was read, exclusive. */
    readonly to: number;
    /** undefined if there is none, or if the sender left it out. */
    readonly value: Uint8Array | undefined;
}

/**
 * Keeps the newest version of the configuration. It stays in force when the store comes back from an older copy, until a
 * newer one is written.
 */
export class ConfigCache {
    /** The evacuated domains, which are read from the same log. */
    readonly evacuation: EvacuationCache;
    readonly #key: string;
    readonly #decode: ConfigDecoder;
    #config: RouteConfig | undefined = undefined;
    #value: Uint8Array | undefined = undefined;
    #era = 0;
    #position: number | undefined = undefined;
    #asOf = -Infinity;

    /** @param key key of the record that holds the configuration */
    constructor(
        key: string,
        decode: ConfigDecoder,
        evacuation: EvacuationCache = new EvacuationCache(() => undefined),
    ) {
        this.#key = key;
        this.#decode = decode;
        this.evacuation = evacuation;
    }

    /** The newest known version; undefined before the first. */
    get config(): RouteConfig | undefined {
        return this.#config;
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

    /** The newest version as an update for peers; undefined before the first read. */
    get update(): ConfigUpdate | undefined {
        return this.#position === undefined
            ? undefined
            : { era: this.#era, to: this.#position, value: this.#value };
    }

    /** Newest era that is known of the configuration or of the evacuated domains. */
    get newestEra(): number {
        return Math.max(this.#era, this.evacuation.era);
    }

    /**
     * Offset from which the log has to be read on, so that nothing is missed of the configuration and of the evacuated domains;
     * undefined if the latest record of each key has to be read.
     */
    get readFrom(): number | undefined {
        const { era, position } = this.evacuation;
        return this.#position === undefined || position === undefined || era !== this.#era
            ? undefined
            : Math.min(this.#position, position);
    }

    /** Whether an offset of an era is beyond what is known. */
    isBeyond(era: number | undefined, to: number): boolean {
        const ofEra = era ?? this.#era;
        return ofEra > this.#era || (ofEra === this.#era && to > (this.#position ?? -1));
    }

    /**
     * Applies records of the store from `readFrom` on.
     *
     * @returns whether they hold a newer version
     */
    applyRecords(page: KeyedPage, asOf: number): boolean {
        const ofEra = { ...page, era: page.era ?? this.#era };
        this.evacuation.applyRecords(ofEra, asOf);
        return this.#applyPage(ofEra, asOf);
    }

    /**
     * Applies the latest record of each key.
     *
     * @returns whether they hold a newer version
     */
    applyLatest(page: KeyedPage, asOf: number): boolean {
        const ofEra = { ...page, era: page.era ?? this.newestEra };
        this.evacuation.applyLatest(ofEra, asOf);
        return this.#applyPage(ofEra, asOf);
    }

    /**
     * Applies an update from the store or a peer; one of an older era changes nothing.
     *
     * @returns whether it holds a newer version
     */
    apply(update: ConfigUpdate, asOf: number): boolean {
        const era = update.era ?? this.#era;
        if (era < this.#era) {
            return false;
        }
        if (era > this.#era || update.to >= (this.#position ?? 0)) {
            this.#asOf = Math.max(this.#asOf, asOf);
            this.#era = era;
            this.#position = update.to;
        }
        const config = update.value && this.#decode(update.value);
        if (!config || (this.#config && config.version <= this.#config.version)) {
            return false;
        }
        this.#config = config;
        this.#value = update.value;
        return true;
    }

    #applyPage(page: KeyedPage, asOf: number): boolean {
        const matching = page.records.filter(it => it.key === this.#key && it.value);
        const latest = matching[matching.length - 1];
        return this.apply({ era: page.era, to: page.end, value: latest?.value }, asOf);
    }
}
