/** Reports each finished request: one log line and the metrics. */

import type { EventLog } from "@bramleymoor/observe/event-log";
import type { CallMetrics } from "@bramleymoor/observe/metrics";
import type { LostSend } from "./forwardoptions.js";
import type { HedgeUsageReport } from "./hedgeusage.js";
import { formatLoad, type ForwardRecord } from "./outcomes.js";
import type { ProbeUsageReport } from "./probeusage.js";

/** Dependencies of a `RequestReporter`. */
export interface RequestReporterOptions {
    readonly events: EventLog;
    readonly metrics: CallMetrics;
    /** Returns the version of the active configuration; 0 before the first. */
    readonly version: () => number;
    /** Returns how many requests of a service wait for a slot. */
    readonly waiting: (service: string) => number;
    /** Returns the age of the list of backend servers, in milliseconds. */
    readonly serversAgeMs: () => number;
}

/** Reports finished requests. */
export class RequestReporter {
    readonly #options: RequestReporterOptions;
    #cancelledAtOnce = 0;

    constructor(options: RequestReporterOptions) {
        this.#options = options;
    }

    /** Number of requests whose caller's disconnect was read directly after their send. */
    get cancelledAtOnce(): number {
        return this.#cancelledAtOnce;
    }

    /** Logs a finished request and updates the metrics. */
    report(record: ForwardRecord): void {
        if (record.outcome === "caller-gone" && record.sinceSendMs >= 0 && record.sinceSendMs <= atOnceMs) {
            this.#cancelledAtOnce++;
        }
        this.#recordMetrics(record);
        const { events, version, waiting, serversAgeMs } = this.#options;
        const { requestId, route, account, service, outcome, status, servers, queueMs, totalMs, detail } =
            record;
        const fields = {
            requestId,
            route: route?.name ?? "",
            status,
            servers: servers.join(" "),
            hedge: record.hedge,
            totalMs: Math.round(totalMs),
            queueMs: Math.round(queueMs),
            ...formatLoad(record.loadSnapshot),
            version: version(),
            account,
        };
        if (outcome === "answered") {
            events.emit("request-answered", fields);
        } else {
            events.emit("request-failed", {
                ...fields,
                service,
                outcome,
                waiting: waiting(service),
                serversAgeMs: Math.round(serversAgeMs()),
                lagMs: Math.round(record.age.unreadMs),
                acceptMs: Math.round(record.age.acceptMs),
                headMs: Math.round(record.age.headMs),
                peerMs: Math.round(record.age.peerMs),
                ahead: record.ahead,
                sends: record.sends,
                sinceSendMs: Math.round(record.sinceSendMs),
                detail,
            });
        }
    }

    /** Logs a send that got no response that can be relayed. */
    reportLostSend({ requestId, fingerprint, server, afterMs, reason }: LostSend): void {
        this.#options.events.emit("send-lost", {
            requestId,
            fingerprint,
            server: server.id,
            service: server.service,
            afterMs: Math.round(afterMs),
            reason,
        });
    }

    /** Logs what a service's probes were used for and updates the metrics. */
    reportProbes(usage: ProbeUsageReport): void {
        const { reservations, candidates, granted, sent, shared, answered, unanswered } = usage;
        const { requeued, requeuedProbes, timedOut, blocked } = usage;
        this.#options.metrics.recordDispatches(usage.service, {
            reservations,
            candidates,
            granted,
            sent,
            shared,
            answered,
            unanswered,
            requeued,
            requeuedProbes,
            timedOut,
            blocked,
        });
        this.#options.events.emit("probe-usage", { ...usage, periodMs: Math.round(usage.periodMs) });
    }

    /** Logs how many requests of a service were hedged and updates the metrics. */
    reportHedges(usage: HedgeUsageReport): void {
        const { service, periodMs, ...counts } = usage;
        this.#options.metrics.recordHedges(service, counts);
        this.#options.events.emit("hedge-usage", { service, periodMs: Math.round(periodMs), ...counts });
    }

    #recordMetrics({
        service,
        route,
        account,
        outcome,
        status,
        queueMs,
        serverMs,
        totalMs,
        servers,
        hedge,
    }: ForwardRecord): void {
        this.#options.metrics.recordCall({
            service,
            class: route?.name ?? "",
            tenant: account,
            outcome,
            status,
            queueMs,
            serverMs,
            addedMs: Math.max(0, totalMs - queueMs - serverMs),
            hedged: hedge !== "",
            retried: servers.length > (hedge === "" ? 1 : 2),
        });
    }
}

/** A few turns of a busy event loop. */
const atOnceMs = 50;
