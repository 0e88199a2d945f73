/** Routes: which service answers a host and path, and what callers and operators expect of it. */

/** What may be repeated, and how large an answer is. */
export type RouteKind = "idempotent" | "non-idempotent" | "download";

/** One of the services among which a route's requests are divided. */
export interface Destination {
    readonly service: string;
    /** Share of the route's requests, in proportion to the other weights. */
    readonly weight: number;
}

/** One rule: requests for `host` whose path begins with `pathPrefix`. */
export interface Route {
    readonly name: string;
    /** Host name in lower case, without a port. */
    readonly host: string;
    /** Begins and ends with a slash; the longest match wins. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** At least one. */
    readonly destinations: readonly Destination[];
    /** Longest time that a request may wait for its answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer is worth most to the caller, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Backend servers to which one request may be sent, at least 1. */
    readonly maxAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
}

/** What callers may send, and how long they may take. */
export interface ClientLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Time for the whole head of a request, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Time that a kept connection may stay without a request, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** What operators say of one service, its backend servers excepted. */
export interface ServiceSettings {
    readonly name: string;
    /** Path that tells health and load. */
    readonly healthPath: string;
    /** Connections that one backend server accepts from all entry VMs together. */
    readonly maxConnections: number;
}

/** One version of the configuration of routes. */
export interface RouteConfig {
    /** Grows with each version, in uneven steps. */
    readonly version: number;
    readonly limits: ClientLimits;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, ServiceSettings>;
}

/** One running incarnation of a backend server, as it registered itself. */
export interface ServerEntry {
    /** Identity of the incarnation; in rare cases a restarted server keeps it. */
    readonly id: string;
    /** Milliseconds since 1970 of this incarnation's start: tells two starts under one id apart. */
    readonly bornAt: number;
    readonly service: string;
    /** "IP:port". */
    readonly address: string;
    /** Failure domain. */
    readonly domain: string;
    /** Requests that it works on at the same time. */
    readonly slots: number;
    /** It takes no new work. */
    readonly leaving: boolean;
    /** How much longer the server says that it stays slow after its start, in milliseconds, when written. */
    readonly warmUpMs: number;
}
