/** The shared key that the operators' and the peers' ports ask for. */

import { createHash, timingSafeEqual } from "node:crypto";

const prefix = "Bearer ";

/** A shared key, compared in constant time. */
export class SharedKey {
    /** Fewest characters of a key. */
    static readonly minLength = 16;

    readonly #digest: Buffer;
    readonly #key: string;

    /** @throws RangeError for a key under 16 characters */
    constructor(key: string) {
        if (key.length < SharedKey.minLength) {
            throw new RangeError(`a shared key has at least ${SharedKey.minLength} characters`);
        }
        this.#key = key;
        this.#digest = digestOf(key);
    }

    /** Value of the authorization header that presents the key. */
    get authorization(): string {
        return prefix + this.#key;
    }

    /** Tells whether an authorization header presents the key. */
    accepts(authorization: string | undefined): boolean {
        const shown = authorization?.startsWith(prefix) ? authorization.slice(prefix.length) : "";
        return timingSafeEqual(digestOf(shown), this.#digest);
    }
}

const digestOf = (text: string): Buffer => createHash("sha256").update(text).digest();
