/** The shared key that the operators' and the peers' ports require. */

import { createHash, timingSafeEqual } from "node:crypto";

const bearerPrefix = "Bearer ";

/** A shared key, compared in constant time. */
export class SharedKey {
    /** Minimum number of characters of a key. */
    static readonly minLength = 16;

    readonly #digest: Buffer;
    readonly #key: string;

    /** @throws RangeError if the key has fewer than `minLength` characters */
    constructor(key: string) {
        if (key.length < SharedKey.minLength) {
            throw new RangeError(`a shared key must have at least ${SharedKey.minLength} characters`);
        }
        this.#key = key;
        this.#digest = digestOf(key);
    }

    /** Value of the authorization header that carries the key. */
    get authorization(): string {
        return bearerPrefix + this.#key;
    }

    /** Returns whether an authorization header carries the key. */
    accepts(authorization: string | undefined): boolean {
        const presented = authorization?.startsWith(bearerPrefix)
            ? authorization.slice(bearerPrefix.length)
            : "";
        return timingSafeEqual(digestOf(presented), this.#digest);
    }
}

const digestOf = (text: string): Buffer => createHash("sha256").update(text).digest();
