/** Settings of one entry process that serves routes. */

import type { RetryLimits } from "@bramleymoor/balance/budget";
import type { Locality } from "@bramleymoor/model/spec";

/** An address to listen on. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** What an entry process is told at its start. */
export interface GatewaySettings {
    /** Stable name of the VM. */
    readonly id: string;
    readonly place: Locality;
    /** Routed requests. */
    readonly front: ListenAddress;
    /** The platform's readiness check. */
    readonly ready: ListenAddress;
    /** The question which addresses to use. */
    readonly directory: ListenAddress;
    /** Datagrams of peers; the same port on every VM. */
    readonly peers: ListenAddress;
    /** Metrics in Prometheus' text form. */
    readonly metrics: ListenAddress;
    /** Hosts of entry VMs to join through; may be stale. */
    readonly seeds: readonly string[];
    /** Part of a core that the process may use. */
    readonly processorShare: number;
    /** Bound of repeats per service over all entry VMs. */
    readonly retryLimits: RetryLimits;
    /** How long answers to "which addresses" may be kept, in milliseconds. */
    readonly addressTtlMs: number;
    /** Time from the signal to stop to the end of the process, in milliseconds. */
    readonly shutdownGraceMs: number;
}
