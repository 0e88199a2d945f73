/** Interfaces that the proxy requires from the entry process, and its limits. */

import type { Dispatcher } from "@bramleymoor/dispatch/types";
import type { Service } from "@bramleymoor/model/spec";
import type { TicketIssuer } from "@bramleymoor/once/tickets";
import type { OnceTable } from "@bramleymoor/once/table";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import type { ExitReset } from "@bramleymoor/reset/exitreset";
import type { CallObserver } from "./observer.js";

/** A service that this entry VM dispatches. */
export interface LocalRoute {
    readonly service: Service;
    readonly dispatcher: Dispatcher;
}

/** A service that other entry VMs dispatch. */
export interface RemoteRoute {
    readonly service: Service;
    /** Caller addresses ("IP:port") of those entry VMs, in order of preference; at least one. */
    readonly passTo: readonly string[];
}

/** How this entry VM handles calls to a service. */
export type ServiceRoute = LocalRoute | RemoteRoute;

/** Looks up services in the accepted configuration. */
export interface ServiceDirectory {
    /**
     * Returns the route to a service; undefined if the configuration has no service of this name.
     *
     * @param forwarded whether another entry VM forwarded the call, so that it must not be forwarded again
     * @throws CallError not-ready while no configuration is accepted
     */
    route(service: string, forwarded: boolean): ServiceRoute | undefined;
    /**
     * Returns the local route to a service, for a call that only this entry VM may run.
     *
     * @throws CallError not-ready, unknown-service
     */
    localRoute(service: string): LocalRoute;
    /**
     * Returns the response to an address query, with a new ticket issued by the entry VM at the first address.
     *
     * @throws CallError unknown-service, not-ready, stopping
     */
    addresses(service: string): Promise<AddressResponse>;
}

/** Returns the caller address ("IP:port") of the entry VM with this incarnation, or why there is none. */
export type FindIssuer = (incarnation: string) => string | "gone" | "unreachable";

/** Dependencies of a CallServer. */
export interface CallServerOptions {
    readonly services: ServiceDirectory;
    readonly ticketIssuer: TicketIssuer;
    readonly onceTable: OnceTable;
    readonly findIssuer: FindIssuer;
    /** Monotonic clock in milliseconds, shared with tickets, table and dispatchers. */
    readonly clock: () => number;
    /** Returns how long input has recently waited unread in accepted connections, in milliseconds. */
    readonly lagMs: () => number;
    /** Returns how long at most input that is read now has waited unread, in milliseconds. */
    readonly unreadMs: () => number;
    readonly observer: CallObserver;
    /** Has the end of this process reset the connections of responses that end with them. */
    readonly exitReset: ExitReset;
}

/** Limits of a CallServer. */
export interface CallLimits {
    /** Maximum number of connections to one backend server. */
    readonly maxConnections: number;
    /** Idle timeout of connections to backend servers, in milliseconds. */
    readonly idleMs: number;
    /** Idle timeout of connections for non-idempotent requests, in milliseconds; 0 disables keep-alive. */
    readonly nonIdempotentIdleMs: number;
    /** Timeout for opening a connection to a backend server, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Timeout for receiving a request's head, in milliseconds. */
    readonly headTimeoutMs: number;
    /** Maximum number of connections from callers; further ones are closed immediately. */
    readonly callerConnections: number;
    /** Idle timeout of callers' connections, in milliseconds. */
    readonly callerIdleMs: number;
    /** Maximum size of a request's head, in bytes. */
    readonly maxHeadBytes: number;
}

/** Limits for backend servers that keep idle connections open for at least 5 s. */
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
