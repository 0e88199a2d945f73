/** Identifies requests that are the same but for the attempt: by account, host, method, target and body. */

import { createHash } from "node:crypto";

/** What two attempts have in common if they carry the same request. */
export interface RequestContent {
    /** Values of the headers that name the caller's account; empty if there are none. */
    readonly account: readonly string[];
    readonly host: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** The body, or the beginning of one that is too large to buffer. */
    readonly body: readonly Uint8Array[];
    /** Declared length of the body; undefined if there is none. */
    readonly bodyLength: string | undefined;
}

/**
 * Returns the fingerprint of a request: a hash of its account and a hash of the whole, joined by a dot. Both are long enough
 * that nobody can find a second request with the same fingerprint.
 */
export const fingerprint = ({ account, host, method, target, body, bodyLength }: RequestContent): string => {
    const accountHash = hash([...account]);
    return `${accountHash}.${hash([accountHash, host, method, target, bodyLength ?? ""], body)}`;
};

/** Returns the account's part of a fingerprint. */
export const accountOf = (key: string): string => key.slice(0, key.indexOf("."));

const hash = (texts: readonly string[], body: readonly Uint8Array[] = []): string => {
    const digest = createHash("sha256").update(JSON.stringify(texts));
    body.forEach(it => digest.update(it));
    return digest.digest("base64url").slice(0, hashLength);
};

/** Characters of six bits each. */
const hashLength = 20;
