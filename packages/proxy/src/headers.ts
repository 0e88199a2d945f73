/** Filters headers that are forwarded, in raw form: arrays of alternating names and values. */

import { findHeaderProblem } from "@bramleymoor/input/heads";
import { responseHeaders, callHeaders } from "@bramleymoor/protocol/headers";

const hopByHopHeaders = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/** Removed from requests to backend servers: hop-by-hop headers and those that the entry VM sets itself. */
const strippedRequestHeaders: ReadonlySet<string> = new Set([
    ...hopByHopHeaders,
    "content-length",
    "expect",
    "host",
    "http2-settings",
    callHeaders.deadline,
    callHeaders.depth,
    callHeaders.forwarded,
    callHeaders.retryBudget,
    callHeaders.sendId,
    callHeaders.ticket,
]);

/** Removed from requests to other entry VMs, which read the ticket and the depth themselves. */
const strippedPeerRequestHeaders: ReadonlySet<string> = new Set(
    [...strippedRequestHeaders].filter(name => name !== callHeaders.ticket && name !== callHeaders.depth),
);

/** Removed from backend servers' responses: hop-by-hop headers, and bm- headers reserved for entry VMs. */
const strippedResponseHeaders: ReadonlySet<string> = new Set([
    ...hopByHopHeaders,
    responseHeaders.error,
    responseHeaders.load,
    responseHeaders.ran,
    responseHeaders.refused,
    responseHeaders.replayed,
    responseHeaders.sendId,
]);

const strippedPeerResponseHeaders: ReadonlySet<string> = new Set(hopByHopHeaders);

const noHeaders: ReadonlySet<string> = new Set();

/** Returns the header names that a Connection header lists; it can't remove Content-Length. */
const connectionOptions = (connection: string | undefined): ReadonlySet<string> => {
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return noHeaders;
    }
    const names = connection.split(",").map(name => name.trim().toLowerCase());
    return new Set(names.filter(name => name !== "content-length"));
};

/** Returns the headers that are in none of the sets. */
const removeHeaders = (raw: readonly string[], ...dropped: readonly ReadonlySet<string>[]): string[] => {
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = raw[i] ?? "";
        const lower = name.toLowerCase();
        if (!dropped.some(it => it.has(lower))) {
            kept.push(name, raw[i + 1] ?? "");
        }
    }
    return kept;
};

/** Returns the headers of a caller's request that are forwarded to a backend server. */
export const forwardedRequestHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedRequestHeaders, connectionOptions(connection));

/** Returns the headers of a caller's request that are forwarded to another entry VM. */
export const peerRequestHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedPeerRequestHeaders, connectionOptions(connection));

/** Returns the headers of a backend server's response that are forwarded to the caller. */
export const forwardedResponseHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedResponseHeaders, connectionOptions(connection));

/** Returns the headers of another entry VM's response that are forwarded to the caller. */
export const peerResponseHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedPeerResponseHeaders, connectionOptions(connection));

/** Returns the end-to-end headers, without those in `dropped` (lower-case names). */
export const endToEndHeaders = (
    raw: readonly string[],
    connection: string | undefined,
    ...dropped: readonly ReadonlySet<string>[]
): string[] => removeHeaders(raw, strippedPeerResponseHeaders, connectionOptions(connection), ...dropped);

/** Returns the trailers that are forwarded, as pairs of name and value; those that can't be written are left out. */
export const forwardedTrailers = (raw: readonly string[]): [string, string][] => {
    const kept = removeHeaders(raw, strippedTrailers);
    const pairs: [string, string][] = [];
    for (let i = 0; i + 1 < kept.length; i += 2) {
        const pair: [string, string] = [kept[i] ?? "", kept[i + 1] ?? ""];
        if (findHeaderProblem(pair) === undefined) {
            pairs.push(pair);
        }
    }
    return pairs;
};

const strippedTrailers: ReadonlySet<string> = new Set([
    ...strippedResponseHeaders,
    ...strippedRequestHeaders,
    "trailer",
    "authorization",
    "set-cookie",
    "cache-control",
    "content-encoding",
    "content-type",
    "content-range",
]);
