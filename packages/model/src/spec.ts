/** What an accepted operators' text says, as read-only types. */

/** A machine's place: a failure domain inside a region. */
export interface Locality {
    readonly region: string;
    readonly domain: string;
}

/** One backend server of one service. */
export interface BackendServer {
    /** "IP:port", unique within the service. */
    readonly address: string;
    readonly host: string;
    readonly port: number;
    /** Failure domain. */
    readonly domain: string;
    /** Requests that it works on at the same time. */
    readonly slots: number;
    /** Connections that it accepts at the same time, from all entry VMs together. */
    readonly connections: number;
    /** No new work. */
    readonly leaving: boolean;
}

/** A kind of request of a service, told by method and path. */
export interface RequestClass {
    readonly name: string;
    /** Upper-case methods; empty for any. */
    readonly methods: readonly string[];
    /** Prefix of the path after the service's name; "/" for any. */
    readonly path: string;
    /** A non-idempotent request runs at most once: no hedge, no retry after its first byte. */
    readonly idempotent: boolean;
    /** 0 is the most urgent; the queue serves lower numbers first and sheds higher numbers first. */
    readonly priority: number;
    /** Used when the caller names no deadline; milliseconds. */
    readonly deadlineMs: number;
}

/** Name of a way of choosing backend servers. */
export type ChooserName =
    "late-binding" | "random" | "round-robin" | "two-choices" | "least-outstanding" | "peak-ewma";

/** Every chooser's name; the first one is the default. */
export const chooserNames: readonly ChooserName[] = [
    "late-binding",
    "random",
    "round-robin",
    "two-choices",
    "least-outstanding",
    "peak-ewma",
];

/** One service. */
export interface Service {
    readonly name: string;
    /** Services that it calls. */
    readonly dependsOn: readonly string[];
    readonly servers: readonly BackendServer[];
    /** Tried in order; the last one matches everything. */
    readonly classes: readonly RequestClass[];
    readonly chooser: ChooserName;
    /** Requests queued in one entry VM at most. */
    readonly queueLimit: number;
    /** Share of all the service's server time that measuring may cost, 0 to 1. */
    readonly probeBudget: number;
    /** Retries as a share of calls, 0 to 1. */
    readonly retryBudget: number;
    /** Hedges as a share of calls, 0 to 1. */
    readonly hedgeBudget: number;
    /** Share of servers that may be ejected at the same time, 0 to 1. */
    readonly ejectShare: number;
}

/** An accepted operators' text. */
export interface ConfigSpec {
    /** By name, in the order of the names. */
    readonly services: ReadonlyMap<string, Service>;
}
