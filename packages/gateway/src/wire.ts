/** What the gateway needs of the HTTP conventions that callers and backend servers keep. */

import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "@bramleymoor/balance/types";

/** Why a server says that it did not run a request. */
export type ServerRefusal = "full" | "leaving" | "other-incarnation";

/** Reads and writes the headers of the platform in use. */
export interface Wire {
    /** Names, in lower case, of the headers that the gateway sets itself and never passes on. */
    readonly ownHeaders: ReadonlySet<string>;
    /** Identity of one attempt of a caller; undefined if there is none. */
    requestId(headers: IncomingHttpHeaders): string | undefined;
    /** How long the caller will wait, in milliseconds; undefined if it doesn't say. */
    deadlineMs(headers: IncomingHttpHeaders): number | undefined;
    /** Headers that tell a server how long it has and which incarnation is meant; names and values by turns. */
    sendHeaders(deadlineMs: number, serverId: string): readonly string[];
    /** Whether and why a server says that it did not run the request; undefined if it doesn't say so. */
    refusal(status: number, headers: IncomingHttpHeaders): ServerRefusal | undefined;
    /** The server's load at the moment of its answer. */
    load(headers: IncomingHttpHeaders): LoadReport | undefined;
    /** The incarnation that answered a health question. */
    serverId(headers: IncomingHttpHeaders): string | undefined;
    /** Whether an answer is marked as a backend server's own. */
    isServers(headers: IncomingHttpHeaders): boolean;
    /** Body of the answer to "which addresses". */
    addresses(addresses: readonly string[], ttlMs: number): string;
    /** Reads the question which addresses to use; undefined if the target is another one. */
    question(target: string): Question | undefined;
    /** Path of the platform's readiness check. */
    readonly readyPath: string;
}

/** A caller's question which entry VMs to use. */
export interface Question {
    readonly host: string;
    readonly domain: string;
}
