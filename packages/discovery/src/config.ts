/** The newest configuration of routes that one entry VM knows; it never goes back to an older one. */

import type { RouteConfig } from "@bramleymoor/model/route";
import type { KeyedPage } from "./log.js";

/** Reads a configuration; undefined if it can't be read. */
export type ConfigDecoder = (value: Uint8Array) => RouteConfig | undefined;

/** A configuration as it stands in the store. */
export interface ConfigUpdate {
    /** Offset after the record that holds it. */
    readonly to: number;
    /** undefined if there is none, or if it is too large to be handed on. */
    readonly value: Uint8Array | undefined;
}

/** Follows the configuration. */
export class ConfigCache {
    readonly #key: string;
    readonly #decode: ConfigDecoder;
    #config: RouteConfig | undefined = undefined;
    #value: Uint8Array | undefined = undefined;
    #position: number | undefined = undefined;
    #asOf = -Infinity;

    /** @param key the record that holds the configuration */
    constructor(key: string, decode: ConfigDecoder) {
        this.#key = key;
        this.#decode = decode;
    }

    /** The newest version known; undefined before the first. */
    get config(): RouteConfig | undefined {
        return this.#config;
    }

    /** Offset up to which the log is known; undefined before the first reading. */
    get position(): number | undefined {
        return this.#position;
    }

    /** Moment at which the store held nothing newer. */
    get asOf(): number {
        return this.#asOf;
    }

    /** What to hand on. */
    get update(): ConfigUpdate | undefined {
        return this.#position === undefined ? undefined : { to: this.#position, value: this.#value };
    }

    /** Takes records of the store, read from `position` on or the newest ones; true if a newer version came. */
    applyRecords(page: KeyedPage, asOf: number): boolean {
        const mine = page.records.filter(it => it.key === this.#key && it.value);
        const newest = mine[mine.length - 1];
        return this.apply({ to: page.end, value: newest?.value }, asOf);
    }

    /** Takes a configuration, the store's or a peer's; true if it is newer than the one known. */
    apply(news: ConfigUpdate, asOf: number): boolean {
        if (news.to >= (this.#position ?? 0)) {
            this.#asOf = Math.max(this.#asOf, asOf);
        }
        this.#position = Math.max(this.#position ?? 0, news.to);
        const config = news.value && this.#decode(news.value);
        if (!config || (this.#config && config.version <= this.#config.version)) {
            return false;
        }
        this.#config = config;
        this.#value = news.value;
        return true;
    }
}
