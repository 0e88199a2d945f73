/** Parses the `Authorization` field of a request. */

/** Why a request has no client account. */
export type KeyProblem = "missing" | "several" | "other-scheme" | "malformed" | "unknown";

/** The key that a request carries, or why it has none that can be looked up. */
export type ParsedKey =
    | { readonly key: string; readonly problem?: undefined }
    | { readonly key?: undefined; readonly problem: Exclude<KeyProblem, "unknown"> };

/**
 * Parses the scheme `Bearer`, in upper or lower case, followed by one or more spaces and a key; blanks at the end are ignored.
 *
 * @param authorization values of all `Authorization` fields of the request
 */
export const parseAuthorization = (authorization: readonly string[]): ParsedKey => {
    const [value, ...others] = authorization;
    if (value === undefined) {
        return { problem: "missing" };
    }
    if (others.length > 0) {
        return { problem: "several" };
    }
    const key = bearerPattern.exec(value)?.[1];
    if (key !== undefined) {
        return { key };
    }
    return { problem: otherSchemePattern.test(value) ? "other-scheme" : "malformed" };
};

/** Returns whether a request can carry the key. */
export const isUsableKey = (key: string): boolean => keyPattern.test(key);

/** Visible ASCII characters; the longest key has 1,024 of them. */
const keyPattern = /^[\x21-\x7e]{1,1024}$/;
const bearerPattern = /^bearer +([\x21-\x7e]{1,1024})[ \t]*$/i;
/** A scheme, which is a token, that isn't `Bearer`. */
const otherSchemePattern = /^(?!bearer(?: |$))[\w!#$%&'*+.^`|~-]+(?: |$)/i;
