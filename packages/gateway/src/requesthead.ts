/** What is forwarded of a caller's request head, and what identifies the request. */

import type { IncomingMessage } from "node:http";
import { endToEndHeaders } from "@bramleymoor/proxy/headers";
import type { ClientAccount } from "@bramleymoor/model/route";
import { fingerprint } from "@bramleymoor/quarantine/fingerprint";
import type { RequestBody } from "./body.js";
import { peerAgeHeader } from "./peerforward.js";
import type { WireFormat } from "./wireformat.js";

/**
 * Returns the headers that a send to a backend server has from the caller's request; names and values alternating.
 *
 * @param hidesCredentials whether client accounts are configured: the caller's key is removed then, and the name of its account
 *     takes the place of what the caller sent as that
 * @param account the request's account; undefined if its route needs none
 */
export const headersForServer = (
    req: IncomingMessage,
    wire: WireFormat,
    hidesCredentials: boolean,
    account: ClientAccount | undefined,
): readonly string[] => [
    ...forwardedHeaders(req, wire, hidesCredentials),
    ...(account ? wire.accountHeader(account.name) : []),
];

/**
 * Returns the headers that a send to a peer has from the caller's request; names and values alternating. The peer checks the key
 * itself, and gets it also if the caller named its field in `Connection`.
 *
 * @param hidesCredentials whether client accounts are configured
 */
export const headersForPeer = (
    req: IncomingMessage,
    wire: WireFormat,
    hidesCredentials: boolean,
): readonly string[] => [
    ...forwardedHeaders(req, wire, hidesCredentials),
    ...(hidesCredentials ? authorizationValues(req).flatMap(it => ["Authorization", it]) : []),
];

/** Returns the values of all `Authorization` fields; Node's parsed headers only have the first. */
export const authorizationValues = ({ rawHeaders }: Pick<IncomingMessage, "rawHeaders">): readonly string[] =>
    rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1]?.toLowerCase() === "authorization");

const forwardedHeaders = (
    { rawHeaders, headers }: IncomingMessage,
    { reservedHeaders, credentialHeaders }: WireFormat,
    hidesCredentials: boolean,
): readonly string[] =>
    endToEndHeaders(
        rawHeaders,
        headers.connection,
        rewrittenHeaders,
        reservedHeaders,
        ...(hidesCredentials ? [credentialHeaders] : []),
    );

/**
 * Returns what a request has in common with other attempts that carry the same one; see `fingerprint`. Headers that no server
 * gets don't count: a caller could avoid the quarantine by changing them, and the log would show a hash of its key.
 *
 * @param hidesCredentials whether client accounts are configured
 * @param account the request's account; undefined if its route needs none
 */
export const fingerprintOf = (
    { headers, method, url }: IncomingMessage,
    body: RequestBody,
    { accountHeaders, credentialHeaders }: WireFormat,
    hidesCredentials: boolean,
    account: ClientAccount | undefined,
): string =>
    fingerprint({
        account: [
            ...accountHeaders.map(it =>
                hidesCredentials && credentialHeaders.has(it) ? "" : String(headers[it] ?? ""),
            ),
            ...(account ? [account.name] : []),
        ],
        host: headers.host ?? "",
        method: method ?? "GET",
        target: url ?? "/",
        body: body.buffered,
        bodyLength: headers["content-length"],
    });

/** Headers that are rewritten for each send. */
const rewrittenHeaders: ReadonlySet<string> = new Set(["content-length", "expect", peerAgeHeader]);
