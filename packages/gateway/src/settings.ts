/** Settings of one entry process that serves routes. */

import type { RetryLimits } from "@bramleymoor/balance/budget";
import type { Locality } from "@bramleymoor/model/spec";

/** An address to listen on. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** How far the requests of accounts with a quota may exceed rate and burst in a window. */
export interface QuotaLimits {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Requests beyond the quota as a share of it. */
    readonly overRatio: number;
    /** Further requests beyond the quota in a window. */
    readonly slack: number;
}

/** How far the requests to a cold server may exceed what it bears in any one second. */
export interface SlowStartMargin {
    /** Factor of the requests per second that the server bears. */
    readonly factor: number;
    /** Further requests in a second. */
    readonly slack: number;
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
    /** How far the requests of accounts with a quota may exceed it, over all entry VMs together. */
    readonly quotaLimits: QuotaLimits;
    /** Margin of the requests to cold servers, over all entry VMs together. */
    readonly slowStartMargin: SlowStartMargin;
    /**
     * Age of the configuration from which requests that need a key are refused, in milliseconds; Infinity to serve them by the
     * last known version.
     */
    readonly maxAccountsAgeMs: number;
    /** Hedged requests as a share of each service's requests; 0 for none. */
    readonly maxHedgeRatio: number;
    /** How long callers may cache the response to an address query, in milliseconds. */
    readonly addressTtlMs: number;
    /** Grace period from the termination signal to the end of the process, in milliseconds. */
    readonly shutdownGraceMs: number;
}
