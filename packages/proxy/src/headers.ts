/** Which headers go on to a backend server and back to a caller, as raw arrays of names and values by turns. */

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

/** Dropped from a request: what belongs to the connection, and what the entry VM writes itself. */
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
    callHeaders.ticket,
]);

/** Dropped from a request that goes to the issuing entry VM, which reads the ticket and the depth itself. */
const strippedPeerRequestHeaders: ReadonlySet<string> = new Set(
    [...strippedRequestHeaders].filter(name => name !== callHeaders.ticket && name !== callHeaders.depth),
);

/** Dropped from a backend server's answer: bm- headers that only an entry VM may set, or alone reads. */
const strippedResponseHeaders: ReadonlySet<string> = new Set([
    ...hopByHopHeaders,
    responseHeaders.error,
    responseHeaders.load,
    responseHeaders.ran,
    responseHeaders.refused,
    responseHeaders.replayed,
]);

const strippedPeerResponseHeaders: ReadonlySet<string> = new Set(hopByHopHeaders);

const noNames: ReadonlySet<string> = new Set();

/** Names that a Connection header lists; framing can't be taken away by it. */
const connectionOptions = (connection: string | undefined): ReadonlySet<string> => {
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return noNames;
    }
    const names = connection.split(",").map(name => name.trim().toLowerCase());
    return new Set(names.filter(name => name !== "content-length"));
};

const removeHeaders = (
    raw: readonly string[],
    dropped: ReadonlySet<string>,
    listed: ReadonlySet<string>,
): string[] => {
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = raw[i] ?? "";
        const lower = name.toLowerCase();
        if (!dropped.has(lower) && !listed.has(lower)) {
            kept.push(name, raw[i + 1] ?? "");
        }
    }
    return kept;
};

/** Headers of a caller's request that go on to a backend server. */
export const forwardedRequestHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedRequestHeaders, connectionOptions(connection));

/** Headers of a caller's request that go on to the issuing entry VM. */
export const peerRequestHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedPeerRequestHeaders, connectionOptions(connection));

/** Headers of a backend server's answer that go on to the caller. */
export const forwardedResponseHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedResponseHeaders, connectionOptions(connection));

/** Headers of the issuing entry VM's answer that go on to the caller. */
export const peerResponseHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
    removeHeaders(raw, strippedPeerResponseHeaders, connectionOptions(connection));

/** Headers that go on without those of the connection, and without the ones named in lower case. */
export const endToEndHeaders = (
    raw: readonly string[],
    connection: string | undefined,
    dropped: ReadonlySet<string>,
): string[] =>
    removeHeaders(
        removeHeaders(raw, strippedPeerResponseHeaders, connectionOptions(connection)),
        dropped,
        noNames,
    );

/** Trailers that go on, as pairs. */
export const forwardedTrailers = (raw: readonly string[]): [string, string][] => {
    const kept = removeHeaders(raw, strippedTrailers, noNames);
    const pairs: [string, string][] = [];
    for (let i = 0; i + 1 < kept.length; i += 2) {
        pairs.push([kept[i] ?? "", kept[i + 1] ?? ""]);
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
