/** The platform's HTTP conventions between callers, entry VMs and backend servers, as far as the gateway uses them. */

import type { IncomingHttpHeaders } from "node:http";
import type { ServerStatement } from "@bramleymoor/balance/statement";
import type { DistinctHeaders } from "@bramleymoor/input/heads";

/** Why a server refused a request without running it. */
export type ServerRefusal = "full" | "leaving" | "other-incarnation";

/** Reads and writes the platform's headers and small messages. */
export interface WireFormat {
    /** Names, in lower case, of the headers that the gateway sets itself and never forwards. */
    readonly reservedHeaders: ReadonlySet<string>;
    /** Names, in lower case, of the headers that tell callers' accounts apart. */
    readonly accountHeaders: readonly string[];
    /** Names, in lower case, of the headers with a caller's key or account, removed where client accounts are configured. */
    readonly credentialHeaders: ReadonlySet<string>;
    /** Statuses that promise callers that a request has not run and will not run. */
    readonly notRunStatuses: ReadonlySet<number>;
    /** Returns the id of a caller's attempt; undefined if there is none. */
    requestId(headers: IncomingHttpHeaders): string | undefined;
    /** Returns how long the caller will wait, in milliseconds; undefined if it doesn't say. */
    deadlineMs(headers: IncomingHttpHeaders): number | undefined;
    /** Returns headers with the deadline; names and values alternating. */
    deadlineHeaders(deadlineMs: number): readonly string[];
    /** Returns headers with the deadline and the server incarnation that is addressed; names and values alternating. */
    requestHeaders(deadlineMs: number, serverId: string): readonly string[];
    /** Returns the header that tells a server a request's client account; name and value alternating. */
    accountHeader(name: string): readonly string[];
    /** Returns why a server refused the request without running it; undefined if it doesn't say that it refused. */
    refusal(status: number, headers: IncomingHttpHeaders): ServerRefusal | undefined;
    /** Returns what a server says of itself in a response. */
    statement(status: number, headers: DistinctHeaders): ServerStatement;
    /** Returns whether a response is marked as one of the backend server itself. */
    isFromServer(headers: IncomingHttpHeaders): boolean;
    /** Returns the body of the response to an address query. */
    formatAddresses(addresses: readonly string[], ttlMs: number): string;
    /** Parses an address query from a request target; returns undefined if the target is something else. */
    parseAddressQuery(target: string): AddressQuery | undefined;
    /** Path of the platform's readiness checks. */
    readonly readyPath: string;
}

/** A caller's query for the entry VMs to use for a host. */
export interface AddressQuery {
    readonly host: string;
    /** The caller's failure domain. */
    readonly domain: string;
}
