/** Read-only types of a valid operators' config text. */

/** Location of a VM: a failure domain inside a region. */
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
    /** Name of the failure domain. */
    readonly domain: string;
    /** Number of requests that the server processes at the same time. */
    readonly slots: number;
    /** Number of connections that the server accepts at the same time, from all entry VMs together. */
    readonly connections: number;
    /** The server receives no new requests. */
    readonly leaving: boolean;
}

/** A class of requests to a service, matched by method and path. */
export interface RequestClass {
    readonly name: string;
    /** HTTP methods in upper case; empty matches any method. */
    readonly methods: readonly string[];
    /** Prefix of the path that follows the service's name; "/" matches any path. */
    readonly path: string;
    /** Non-idempotent requests run at most once: they are never hedged, nor retried once their first byte is sent. */
    readonly idempotent: boolean;
    /** 0 is the most urgent; the queue serves lower numbers first and sheds higher numbers first. */
    readonly priority: number;
    /** Deadline of requests whose caller sets none, in milliseconds. */
    readonly deadlineMs: number;
}

/** Name of a load balancing algorithm. */
export type ChooserName =
    "late-binding" | "random" | "round-robin" | "two-choices" | "least-outstanding" | "peak-ewma";

/** The names of all load balancing algorithms; the first one is the default. */
export const chooserNames: readonly ChooserName[] = [
    "late-binding",
    "random",
    "round-robin",
    "two-choices",
    "least-outstanding",
    "peak-ewma",
];

/** A service. */
export interface Service {
    readonly name: string;
    /** Names of the services that this service calls. */
    readonly dependsOn: readonly string[];
    readonly servers: readonly BackendServer[];
    /** Request classes in matching order; the last one matches every request. */
    readonly classes: readonly RequestClass[];
    readonly chooser: ChooserName;
    /** Maximum number of requests that one entry VM queues. */
    readonly queueLimit: number;
    /** Share of the service's total server time that probes may use, 0 to 1. */
    readonly probeBudget: number;
    /** Maximum ratio of retries to calls, 0 to 1. */
    readonly retryBudget: number;
    /** Maximum ratio of hedged requests to calls, 0 to 1. */
    readonly hedgeBudget: number;
    /** Maximum share of servers that may be ejected at the same time, 0 to 1. */
    readonly ejectShare: number;
}

/** The content of a valid operators' config text. */
export interface ConfigSpec {
    /** Services by name, sorted by name. */
    readonly services: ReadonlyMap<string, Service>;
}
