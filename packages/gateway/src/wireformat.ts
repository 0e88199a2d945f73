/** What the gateway needs of the HTTP conventions that callers and backend servers keep. */

import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "@bramleymoor/balance/types";

/** Why a server says that it did not run a request. */
export type ServerRefusal = "full" | "leaving" | "other-incarnation";

/** Reads and writes the headers of the platform in use. */
export interface WireFormat {
    /** Names, in lower case, of the headers that the gateway sets itself and never passes on. */
    readonly reservedHeaders: ReadonlySet<string>;
    /** Identity of one attempt of a caller; undefined if there is none. */
    requestId(headers: IncomingHttpHeaders): string | undefined;
    /** How long the caller will wait, in milliseconds; undefined if it doesn't say. */
    deadlineMs(headers: IncomingHttpHeaders): number | undefined;
    /** Headers that tell a server how long it has and which incarnation is meant; names and values by turns. */
    requestHeaders(deadlineMs: number, serverId: string): readonly string[];
    /** Whether and why a server says that it did not run the request; undefined if it doesn't say so. */
    refusal(status: number, headers: IncomingHttpHeaders): ServerRefusal | undefined;
    /** The server's load at the moment of its answer. */
    loadReport(headers: IncomingHttpHeaders): LoadReport | undefined;
    /** The incarnation that answered a health question. */
    serverId(headers: IncomingHttpHeaders): string | undefined;
    /** Whether an answer is marked as a backend server's own. */
    isFromServer(headers: IncomingHttpHeaders): boolean;
    /** Body of the answer to "which addresses". */
    formatAddresses(addresses: readonly string[], ttlMs: number): string;
    /** Reads the question which addresses to use; undefined if the target is another one. */
    parseAddressQuery(target: string): AddressQuery | undefined;
    /** Path of the platform's readiness check. */
    readonly readyPath: string;
}

/** A caller's question which entry VMs to use. */
export interface AddressQuery {
    readonly host: string;
    readonly domain: string;
}
