/** Settings of one entry process that serves routes. */

import type { RetryLimits } from "@bramleymoor/balance/budget";
import type { Locality } from "@bramleymoor/model/spec";

/** An address to listen on. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Settings of an entry process. */
export interface GatewaySettings {
    /** Stable name of the entry VM. */
    readonly id: string;
    readonly place: Locality;
    /** Address for routed requests. */
    readonly front: ListenAddress;
    /** Address for the platform's readiness checks. */
    readonly ready: ListenAddress;
    /** Address for callers' address queries, which ask for the entry VMs to use. */
    readonly directory: ListenAddress;
    /** Address for datagrams from other entry VMs; the port is the same on every VM. */
    readonly peers: ListenAddress;
    /** Address for metrics in the Prometheus text format. */
    readonly metrics: ListenAddress;
    /** Hosts of entry VMs through which to join the cluster; may be outdated. */
    readonly seeds: readonly string[];
    /** Whether the whole system starts for the first time, so that no callers are waiting. */
    readonly isFirstStart: boolean;
    /** Number of processor cores that the process may use; may be a fraction. */
    readonly processorShare: number;
    /** Bandwidth of the entry VM's link, in Mbit/s. */
    readonly linkMbps: number;
    /** Limits of retries per service, over all entry VMs together. */
    readonly retryLimits: RetryLimits;
    /** Maximum average rate of probes per backend server, from all entry VMs together. */
    readonly probesPerServerPerSecond: number;
    /** How long callers may cache the response to an address query, in milliseconds. */
    readonly addressTtlMs: number;
    /** Grace period from the termination signal to the end of the process, in milliseconds. */
    readonly shutdownGraceMs: number;
}
