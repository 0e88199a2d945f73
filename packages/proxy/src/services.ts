/** What the proxy needs from the rest of an entry process. */

import type { Dispatcher } from "@bramleymoor/dispatch/types";
import type { Service } from "@bramleymoor/model/spec";
import type { TicketIssuer } from "@bramleymoor/once/tickets";
import type { OnceTable } from "@bramleymoor/once/table";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import type { CallObserver } from "./observer.js";

/** A service that this entry VM dispatches. */
export interface LocalRoute {
    readonly service: Service;
    readonly dispatcher: Dispatcher;
}

/** A service that other entry VMs dispatch. */
export interface RemoteRoute {
    readonly service: Service;
    /** Their caller addresses ("IP:port"), best first; at least one. */
    readonly passTo: readonly string[];
}

/** A service as this entry VM serves it now. */
export type ServiceRoute = LocalRoute | RemoteRoute;

/** The accepted text as the proxy sees it. */
export interface ServiceDirectory {
    /**
     * Finds a service; undefined if the accepted text has none of this name.
     *
     * @param forwarded the call came from another entry VM, so it may not be passed on again
     * @throws CallError not-ready while no text is accepted
     */
    route(service: string, forwarded: boolean): ServiceRoute | undefined;
    /**
     * Finds a service for a call that only this entry VM may run.
     *
     * @throws CallError not-ready, unknown-service
     */
    localRoute(service: string): LocalRoute;
    /**
     * Answers "which addresses", with a fresh ticket of the entry VM that the answer names first.
     *
     * @throws CallError unknown-service, not-ready, stopping
     */
    addresses(service: string): Promise<AddressResponse>;
}

/** Caller address ("IP:port") of the entry VM that runs an incarnation, or why there is none. */
export type FindIssuer = (incarnation: string) => string | "gone" | "unreachable";

/** Collaborators of a CallServer. */
export interface CallParts {
    readonly services: ServiceDirectory;
    readonly ticketIssuer: TicketIssuer;
    readonly onceTable: OnceTable;
    readonly findIssuer: FindIssuer;
    /** Monotonic milliseconds; the same clock as that of tickets, table and dispatchers. */
    readonly clock: () => number;
    readonly observer: CallObserver;
}

/** Bounds of a CallServer. */
export interface CallLimits {
    /** Connections to one backend server at most. */
    readonly maxConnections: number;
    /** Idle connections to backend servers are closed after this time, in milliseconds. */
    readonly idleMs: number;
    /** The same for the connections of non-idempotent requests; 0 opens one for each request. */
    readonly nonIdempotentIdleMs: number;
    readonly connectTimeoutMs: number;
    /** Time for a caller to send its request's head, in milliseconds. */
    readonly headTimeoutMs: number;
    /** Connections from callers at most; more are closed as they come. */
    readonly callerConnections: number;
    /** An idle caller connection is closed after this time, in milliseconds. */
    readonly callerIdleMs: number;
    readonly maxHeadBytes: number;
}

/** Bounds that suit backend servers which keep idle connections open for 5 s or more. */
export const defaultLimits: CallLimits = {
    maxConnections: 64,
    idleMs: 4000,
    nonIdempotentIdleMs: 1000,
    connectTimeoutMs: 1000,
    headTimeoutMs: 10_000,
    callerConnections: 10_000,
    callerIdleMs: 30_000,
    maxHeadBytes: 16_384,
};
