/** The client accounts of one configuration version, by keyed hashes of their keys. */

import { createHmac, createSecretKey, type KeyObject } from "node:crypto";
import type { ClientAccount } from "@bramleymoor/model/route";
import { isUsableKey, parseAuthorization, type KeyProblem } from "./authorization.js";

/** The account of a request, or why it has none. */
export type FindResult =
    | { readonly account: ClientAccount; readonly problem?: undefined }
    | { readonly account?: undefined; readonly problem: KeyProblem };

/** Finds the account of a key; holds no key in clear text. */
export class AccountTable {
    readonly #hash: KeyHash;
    readonly #accounts: ReadonlyMap<string, ClientAccount>;

    /** Made by `AccountTableBuilder`. */
    constructor(hash: KeyHash, accounts: ReadonlyMap<string, ClientAccount>) {
        this.#hash = hash;
        this.#accounts = accounts;
    }

    /**
     * Returns the account of a request, without its keys, or why it has none.
     *
     * @param authorization values of all `Authorization` fields of the request
     */
    find(authorization: readonly string[]): FindResult {
        const { key, problem } = parseAuthorization(authorization);
        if (problem) {
            return { problem };
        }
        const account = this.#accounts.get(this.#hash.digest(key));
        return account ? { account } : { problem: "unknown" };
    }
}

/**
 * Hashes keys with HMAC-SHA-256. Callers don't know the secret, so that neither the hash of a key nor the time of its look-up
 * tells how much of it matches another.
 */
export class KeyHash {
    readonly #secret: KeyObject;

    /** @param secret random bytes that only this process knows */
    constructor(secret: Uint8Array) {
        this.#secret = createSecretKey(secret);
    }

    /** Returns the hash of a key. */
    digest(key: string): string {
        return createHmac("sha256", this.#secret).update(key).digest("base64");
    }
}

/** Makes the table of a configuration version in slices, so that no slice keeps the event loop for long. */
export class AccountTableBuilder {
    readonly #hash: KeyHash;
    readonly #entries: Iterator<readonly [string, ClientAccount]>;
    readonly #accounts = new Map<string, ClientAccount>();

    constructor(accounts: readonly ClientAccount[], hash: KeyHash) {
        this.#hash = hash;
        this.#entries = listKeys(accounts);
    }

    /**
     * Adds the next keys; returns the table once it holds all of them.
     *
     * @param keys maximum number of keys to add
     * @throws TypeError if two accounts hold the same key
     */
    addNext(keys: number): AccountTable | undefined {
        for (let added = 0; added < keys; added++) {
            const next = this.#entries.next();
            if (next.done) {
                return new AccountTable(this.#hash, this.#accounts);
            }
            this.#add(...next.value);
        }
        return undefined;
    }

    #add(key: string, account: ClientAccount): void {
        const digest = this.#hash.digest(key);
        const owner = this.#accounts.get(digest) ?? account;
        if (owner !== account) {
            throw new TypeError(`the accounts "${owner.name}" and "${account.name}" share a key`);
        }
        this.#accounts.set(digest, account);
    }
}

/** Lists the keys that a request can carry, each with its account without keys. */
const listKeys = function* (
    accounts: readonly ClientAccount[],
): Generator<readonly [string, ClientAccount], undefined> {
    for (const account of accounts) {
        const withoutKeys = { ...account, keys: [] };
        for (const key of account.keys) {
            if (isUsableKey(key)) {
                yield [key, withoutKeys];
            }
        }
    }
};
