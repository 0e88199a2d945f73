/** Totals and present values of an entry process that its components keep, read when the metrics are. */

import type { CallMetrics } from "@bramleymoor/observe/metrics";
import type { QuotaCounts } from "@bramleymoor/quotas/quotas";

/** Reads the values. */
export interface NodeValues {
    readonly storeCalls: () => number;
    readonly droppedLines: () => number;
    readonly probesSent: () => number;
    /** Bytes to and from other entry VMs. */
    readonly peerBytes: () => number;
    /** Requests whose caller's disconnect was read directly after their send. */
    readonly sendsCancelledAtOnce: () => number;
    readonly storeEra: () => number;
    readonly limitedServers: () => number;
    readonly evacuatedDomains: () => number;
    readonly coldServers: () => number;
    readonly quarantinedRequests: () => number;
    readonly quotaCounts: () => Readonly<QuotaCounts>;
    /** 1 while this entry VM reaches no server and others do, otherwise 0. */
    readonly cutOff: () => number;
    /** Event loop lag in milliseconds. */
    readonly lagMs: () => number;
}

/** Registers the metrics of the values. */
export const registerNodeMetrics = (metrics: CallMetrics, values: NodeValues): void => {
    metrics.registerCounter("bm_store_calls_total", "Calls of the store.", values.storeCalls);
    metrics.registerCounter("bm_dropped_lines_total", "Log lines dropped.", values.droppedLines);
    metrics.registerCounter(
        "bm_load_questions_total",
        "Load questions to backend servers.",
        values.probesSent,
    );
    metrics.registerCounter("bm_peer_bytes_total", "Bytes to and from other entry VMs.", values.peerBytes);
    metrics.registerCounter(
        "bm_sends_cancelled_at_once_total",
        "Requests whose caller's disconnect was read directly after their send.",
        values.sendsCancelledAtOnce,
    );
    metrics.registerCounter(
        "bm_quota_granted_total",
        "Grants of accounts' quotas to requests.",
        () => values.quotaCounts().granted,
    );
    metrics.registerCounter(
        "bm_quota_refused_total",
        "Requests and resends that got no grant of their account's quota.",
        () => values.quotaCounts().refused,
    );
    metrics.registerCounter(
        "bm_quota_asked_total",
        "Questions for tokens of quotas to other entry VMs.",
        () => values.quotaCounts().asked,
    );
    metrics.registerCounter(
        "bm_quota_unanswered_total",
        "Questions for tokens of quotas that weren't answered in time.",
        () => values.quotaCounts().unanswered,
    );
    metrics.registerGauge(
        "bm_store_era",
        "How often the store has come back from an older copy; 0 if it doesn't say.",
        values.storeEra,
    );
    metrics.registerGauge(
        "bm_limited_servers",
        "Backend servers that name a request limit.",
        values.limitedServers,
    );
    metrics.registerGauge(
        "bm_evacuated_domains",
        "Failure domains whose servers get no requests, as the operator has evacuated them.",
        values.evacuatedDomains,
    );
    metrics.registerGauge(
        "bm_cold_servers",
        "Backend servers that are cold, in services that limit the requests to them.",
        values.coldServers,
    );
    metrics.registerGauge(
        "bm_cut_off",
        "Whether this entry VM reaches no backend server, while others do.",
        values.cutOff,
    );
    metrics.registerGauge(
        "bm_quarantined_requests",
        "Requests that are kept from servers, as servers have ended while they ran them.",
        values.quarantinedRequests,
    );
    metrics.registerGauge(
        "bm_event_loop_lag_seconds",
        "Lag of the event loop.",
        () => values.lagMs() / msPerSecond,
    );
};

const msPerSecond = 1_000;
