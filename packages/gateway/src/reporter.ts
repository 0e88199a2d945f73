/** Tells the end of each request: one log line and the metrics. */

import type { EventLog } from "@bramleymoor/observe/event-log";
import type { CallMetrics } from "@bramleymoor/observe/metrics";
import { describeBelief, type ForwardRecord } from "./outcomes.js";

/** What a reporter needs. */
export interface RequestReporterOptions {
    readonly events: EventLog;
    readonly metrics: CallMetrics;
    /** Version of the configuration in force; 0 before the first. */
    readonly version: () => number;
    /** Requests of a service that wait for a slot. */
    readonly waiting: (service: string) => number;
    /** Age of what is known of the backend servers, in milliseconds. */
    readonly serversAgeMs: () => number;
}

/** Reports finished requests. */
export class RequestReporter {
    readonly #parts: RequestReporterOptions;

    constructor(parts: RequestReporterOptions) {
        this.#parts = parts;
    }

    /** Takes a request that has ended. */
    report(record: ForwardRecord): void {
        this.#count(record);
        const { events, version, waiting, serversAgeMs } = this.#parts;
        const { requestId, route, service, outcome, status, servers, queueMs, totalMs, detail } = record;
        const fields = {
            requestId,
            route: route?.name ?? "",
            status,
            servers: servers.join(" "),
            totalMs: Math.round(totalMs),
            queueMs: Math.round(queueMs),
            ...describeBelief(record.belief),
            version: version(),
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
                detail,
            });
        }
    }

    #count({ service, route, outcome, status, queueMs, serverMs, totalMs, servers }: ForwardRecord): void {
        this.#parts.metrics.recordCall({
            service,
            class: route?.name ?? "",
            tenant: "",
            outcome,
            status,
            queueMs,
            serverMs,
            addedMs: Math.max(0, totalMs - queueMs - serverMs),
            hedged: false,
            retried: servers.length > 1,
        });
    }
}
