/** What is forwarded of a caller's request head, and what identifies the request. */

import type { IncomingMessage } from "node:http";
import { endToEndHeaders } from "@bramleymoor/proxy/headers";
import { fingerprint } from "@bramleymoor/quarantine/fingerprint";
import type { RequestBody } from "./body.js";
import { peerAgeHeader } from "./peerforward.js";
import type { WireFormat } from "./wireformat.js";

/** Returns the caller's headers that are forwarded; names and values alternating. */
export const forwardedHeaders = (
    { rawHeaders, headers }: IncomingMessage,
    { reservedHeaders }: WireFormat,
): readonly string[] => endToEndHeaders(rawHeaders, headers.connection, rewrittenHeaders, reservedHeaders);

/** Returns what a request has in common with other attempts that carry the same one; see `fingerprint`. */
export const fingerprintOf = (
    { headers, method, url }: IncomingMessage,
    body: RequestBody,
    { accountHeaders }: WireFormat,
): string =>
    fingerprint({
        account: accountHeaders.map(it => String(headers[it] ?? "")),
        host: headers.host ?? "",
        method: method ?? "GET",
        target: url ?? "/",
        body: body.buffered,
        bodyLength: headers["content-length"],
    });

/** Headers that are rewritten for each send. */
const rewrittenHeaders: ReadonlySet<string> = new Set(["content-length", "expect", peerAgeHeader]);
