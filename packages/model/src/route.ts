/** Routing configuration: which service handles a host and path, and with which limits and targets. */

/** Kind of a route's requests: whether they may be retried, and whether responses are large downloads. */
export type RouteKind = "idempotent" | "non-idempotent" | "download";

/** A service that receives a share of a route's requests. */
export interface Destination {
    readonly service: string;
    /** Weight relative to the other destinations of the route. */
    readonly weight: number;
}

/** A route for requests to `host` whose path begins with `pathPrefix`. */
export interface Route {
    readonly name: string;
    /** Host name in lower case, without a port. */
    readonly host: string;
    /** Path prefix that begins and ends with a slash; the longest matching prefix wins. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** At least one destination. */
    readonly destinations: readonly Destination[];
    /** Maximum time that a request may wait for its response, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency within which a response has its full value to the caller, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Maximum number of backend servers to which one request may be sent, at least 1. */
    readonly maxAttempts: number;
    /** Priority; 0 is the most urgent. */
    readonly priority: number;
    /** Whether its requests need no key, also where client accounts are configured; not if absent. */
    readonly isPublic?: boolean;
}

/** A client account: who may send requests, and how many. */
export interface ClientAccount {
    readonly name: string;
    /** Keys that identify the account's requests. */
    readonly keys: readonly string[];
    /** Replaces the priority of the routes; undefined to keep it. */
    readonly priority: number | undefined;
    /** Requests per second that all entry VMs together accept; 0 if they aren't limited. */
    readonly ratePerSecond: number;
    /** Requests that may be accepted at once beyond the rate. */
    readonly burst: number;
}

/** How many requests a service's servers bear while they are cold, which they are after their start and at times later. */
export interface SlowStart {
    /** How long a server is cold after its start, in milliseconds. */
    readonly durationMs: number;
    /** Requests per second that a cold server bears. */
    readonly requestsPerSecond: number;
}

/** Size and time limits for requests from callers. */
export interface ClientLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Time within which the whole request head must arrive, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Time that a keep-alive connection may stay idle, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** The operators' settings of a service, without its backend servers. */
export interface ServiceSettings {
    readonly name: string;
    /** Path of the endpoint that reports health and load. */
    readonly healthPath: string;
    /** Number of connections that one backend server accepts from all entry VMs together. */
    readonly maxConnections: number;
    /** Absent if cold servers need no protection. */
    readonly slowStart?: SlowStart;
}

/** A version of the routing configuration. */
export interface RouteConfig {
    /** Version number; increases with each version, not always by 1. */
    readonly version: number;
    readonly limits: ClientLimits;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, ServiceSettings>;
    /** Client accounts; absent if requests aren't checked for keys. */
    readonly accounts?: readonly ClientAccount[];
}

/** A running incarnation of a backend server, as the server registered itself. */
export interface ServerEntry {
    /** Identifier of the incarnation; in rare cases a restarted server keeps it. */
    readonly id: string;
    /** Start time in milliseconds since 1970; distinguishes incarnations that share an `id`. */
    readonly bornAt: number;
    readonly service: string;
    /** "IP:port". */
    readonly address: string;
    /** Name of the failure domain. */
    readonly domain: string;
    /** Number of requests that the server processes at the same time. */
    readonly slots: number;
    /** The server accepts no new requests. */
    readonly leaving: boolean;
    /** Remaining warm-up time that the server announced, as of when the entry was written, in milliseconds. */
    readonly warmUpMs: number;
}

/** Returns a key that distinguishes incarnations, also those of a server that keeps its id over a restart. */
export const incarnationKey = ({ id, bornAt }: Pick<ServerEntry, "id" | "bornAt">): string =>
    `${id}@${bornAt}`;
