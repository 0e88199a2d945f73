/** Prometheus metrics of calls, probes and control traffic, built on prom-client. */

import type { ErrorKind } from "@bramleymoor/protocol/errors";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import { LabelLimiter, otherLabel } from "./label-limiter.js";

/**
 * Outcome of a call as a metric label: the kind of the error, "answered" (complete response of a backend server),
 * "replayed" (response from the at-most-once table), "passed-on" (forwarded to another entry VM, which records the
 * call), "caller-gone" (the caller disconnected) or "body-broken" (the response broke off).
 */
export type OutcomeLabel = ErrorKind | "answered" | "replayed" | "passed-on" | "caller-gone" | "body-broken";

/** Measurements of a finished call. */
export interface CallSample {
    readonly service: string;
    readonly class: string;
    /** Tenant; empty if the caller sent none. */
    readonly tenant: string;
    readonly outcome: OutcomeLabel;
    /** HTTP status of the response. */
    readonly status: number;
    /** Time that the call waited for a slot of a backend server, in milliseconds. */
    readonly queueMs: number;
    /**
     * Time from the first byte of the request to the first byte of the response at the backend server, in milliseconds.
     */
    readonly serverMs: number;
    /** Latency that the entry VM itself added, in milliseconds. */
    readonly addedMs: number;
    readonly hedged: boolean;
    readonly retried: boolean;
}

/** Purpose of control traffic. */
export type ControlChannel = "peers" | "log" | "vm-list" | "probes";

/** A histogram, to be displayed in a terminal. */
export interface HistogramView {
    readonly service: string;
    /** Name of the label whose value is `label`. */
    readonly by: "class" | "tenant";
    readonly label: string;
    /** Component of the latency; "total" is their sum. */
    readonly part: LatencyComponent | "total";
    readonly count: number;
    readonly sumMs: number;
    /** Non-cumulative buckets: calls of at most `upToMs` that no lower bucket holds. The last bucket has no bound. */
    readonly buckets: readonly { readonly upToMs: number | undefined; readonly count: number }[];
}

/** The metrics of one entry process. */
export class CallMetrics {
    readonly #registry = new Registry();
    readonly #labels = new LabelLimiters();
    readonly #latencies: Readonly<Record<LatencyComponent, Histogram<"service" | "class">>>;
    readonly #tenantLatency: Histogram<"service" | "tenant">;
    readonly #outcomes: Counter<"service" | "class" | "outcome">;
    readonly #hedges: Counter<"service">;
    readonly #retries: Counter<"service">;
    readonly #probes: Counter<"service">;
    readonly #probeSeconds: Counter<"service">;
    readonly #dispatches: Counter<"service" | "event">;
    readonly #hedgeEvents: Counter<"service" | "event">;
    readonly #controlBytes: Counter<"channel" | "direction">;
    readonly #acceptWait: Histogram;
    readonly #version: Gauge;
    readonly #members: Gauge<"state">;

    /**
     * @param monitorEventLoop whether to collect prom-client's default metrics too; they measure the delay of the event
     * loop, which wakes the process up periodically
     */
    constructor(monitorEventLoop = true) {
        const registers = [this.#registry];
        const classHistogram = (name: string, help: string) =>
            new Histogram({
                name,
                help,
                registers,
                buckets: bucketSeconds,
                labelNames: ["service", "class"],
            });
        const counter = <L extends string>(name: string, help: string, labelNames: readonly L[]) =>
            new Counter({ name, help, registers, labelNames: [...labelNames] });
        this.#latencies = {
            queue: classHistogram("bm_queue_seconds", "Time that calls waited for a slot."),
            server: classHistogram("bm_server_seconds", "Time until the backend server's answer began."),
            added: classHistogram("bm_added_seconds", "Time that the entry VM itself added."),
        };
        this.#tenantLatency = new Histogram({
            name: "bm_tenant_seconds",
            help: "Whole time of calls by tenant.",
            registers,
            buckets: bucketSeconds,
            labelNames: ["service", "tenant"],
        });
        this.#outcomes = counter("bm_calls_total", "Calls by outcome.", ["service", "class", "outcome"]);
        this.#hedges = counter("bm_hedged_calls_total", "Calls that were hedged.", ["service"]);
        this.#retries = counter("bm_retried_calls_total", "Calls that were retried.", ["service"]);
        this.#probes = counter("bm_probes_total", "Probes sent.", ["service"]);
        this.#probeSeconds = counter("bm_probe_server_seconds_total", "Server time spent on probes.", [
            "service",
        ]);
        this.#dispatches = counter("bm_dispatch_events_total", "Steps of assigning requests to servers.", [
            "service",
            "event",
        ]);
        this.#hedgeEvents = counter(
            "bm_hedge_events_total",
            "Hedges of routed requests, and why others weren't sent.",
            ["service", "event"],
        );
        const controlHelp = "Bytes of control traffic.";
        this.#controlBytes = counter("bm_control_bytes_total", controlHelp, ["channel", "direction"]);
        this.#acceptWait = new Histogram({
            name: "bm_accept_wait_seconds",
            help: "Longest time that callers' connections may have waited to be accepted.",
            registers,
            buckets: bucketSeconds,
        });
        this.#version = new Gauge({ name: "bm_config_version", help: "Version in force.", registers });
        const membersOptions = {
            name: "bm_members",
            help: "Entry VMs by state.",
            labelNames: ["state"],
        } as const;
        this.#members = new Gauge({ ...membersOptions, registers });
        if (monitorEventLoop) {
            collectDefaultMetrics({
                register: this.#registry,
                eventLoopMonitoringPrecision: eventLoopPrecisionMs,
            });
        }
    }

    /**
     * Records a finished call. Forwarded calls are only counted here; the entry VM that dispatches them records the rest.
     */
    recordCall(sample: CallSample): void {
        const labels = this.#labels.classLabels(sample.service, sample.class);
        this.#outcomes.inc({ ...labels, outcome: sample.outcome });
        if (sample.outcome === "passed-on") {
            return;
        }
        this.#latencies.queue.observe(labels, sample.queueMs / msPerSecond);
        if (answeredOutcomes.has(sample.outcome)) {
            this.#recordLatency(sample, labels);
        }
        this.#countRepeats(sample, labels.service);
    }

    /** Records the latency of a call whose response a backend server began; other calls have no server time. */
    #recordLatency(sample: CallSample, labels: ClassLabels): void {
        this.#latencies.server.observe(labels, sample.serverMs / msPerSecond);
        this.#latencies.added.observe(labels, sample.addedMs / msPerSecond);
        const totalMs = sample.queueMs + sample.serverMs + sample.addedMs;
        this.#tenantLatency.observe(
            this.#labels.tenantLabels(labels.service, sample.tenant),
            totalMs / msPerSecond,
        );
    }

    #countRepeats(sample: CallSample, service: string): void {
        if (sample.hedged) {
            this.#hedges.inc({ service });
        }
        if (sample.retried) {
            this.#retries.inc({ service });
        }
    }

    /** Records a probe and the server time that it used, in milliseconds. */
    recordProbe(service: string, serverMs: number): void {
        const labels = { service: this.#labels.service(service) };
        this.#probes.inc(labels);
        this.#probeSeconds.inc(labels, serverMs / msPerSecond);
    }

    /** Adds the counts of the steps in which requests of a service were assigned to servers. */
    recordDispatches(service: string, counts: Readonly<Record<string, number>>): void {
        for (const [event, count] of Object.entries(counts)) {
            this.#dispatches.inc({ service: this.#labels.service(service), event }, count);
        }
    }

    /** Adds the counts of the hedges of a service. */
    recordHedges(service: string, counts: Readonly<Record<string, number>>): void {
        for (const [event, count] of Object.entries(counts)) {
            this.#hedgeEvents.inc({ service: this.#labels.service(service), event }, count);
        }
    }

    /** Records control traffic in bytes. */
    recordControlTraffic(channel: ControlChannel, direction: "in" | "out", bytes: number): void {
        this.#controlBytes.inc({ channel, direction }, bytes);
    }

    /** Records for how long at most a caller's connection waited to be accepted, in milliseconds. */
    recordAcceptWait(waitMs: number): void {
        this.#acceptWait.observe(waitMs / msPerSecond);
    }

    /** Records the version of the configuration that is in force. */
    setConfigVersion(version: number): void {
        this.#version.set(version);
    }

    /** Records the number of entry VMs in each state. */
    setMemberCounts(counts: Readonly<Record<string, number>>): void {
        for (const [state, count] of Object.entries(counts)) {
            this.#members.set({ state }, count);
        }
    }

    /** Adds a counter whose total is kept elsewhere and read at each request for the metrics. */
    registerCounter(name: string, help: string, read: () => number): void {
        const registers = [this.#registry];
        new Counter({
            name,
            help,
            registers,
            collect() {
                this.reset();
                this.inc(read());
            },
        });
    }

    /** Adds a gauge whose value is kept elsewhere and read at each request for the metrics. */
    registerGauge(name: string, help: string, read: () => number): void {
        const registers = [this.#registry];
        new Gauge({
            name,
            help,
            registers,
            collect() {
                this.set(read());
            },
        });
    }

    /** Returns all metrics in the Prometheus text format. */
    text(): Promise<string> {
        return this.#registry.metrics();
    }

    /** Media type of the result of `text`. */
    get contentType(): string {
        return this.#registry.contentType;
    }

    /** Returns the latency histograms, for the operators' program. */
    async histograms(): Promise<readonly HistogramView[]> {
        const views: HistogramView[] = [];
        for (const part of latencyComponents) {
            views.push(...histogramViews((await this.#latencies[part].get()).values, "class", part));
        }
        views.push(...histogramViews((await this.#tenantLatency.get()).values, "tenant", "total"));
        return views;
    }
}

const answeredOutcomes: ReadonlySet<OutcomeLabel> = new Set(["answered", "body-broken"]);

/** Component of a call's latency. */
export type LatencyComponent = "queue" | "server" | "added";

const latencyComponents: readonly LatencyComponent[] = ["queue", "server", "added"];

/** Upper bounds of the histogram buckets, in seconds. */
export const bucketSeconds: number[] = [
    0.0001, 0.0002, 0.0003, 0.0005, 0.0008, 0.0012, 0.0018, 0.0025, 0.004, 0.006, 0.01, 0.016, 0.025, 0.04,
    0.063, 0.1, 0.16, 0.25, 0.4, 0.63, 1, 1.6, 2.5, 4, 6.3, 10, 30,
];

/** Maximum number of services with their own label value. */
export const maxServiceLabels = 500;

/** Maximum number of request classes of a service with their own label value. */
export const maxClassLabels = 8;

/** Maximum number of tenants of a service with their own label value. */
export const maxTenantLabels = 16;

/** Sampling period of the event loop delay; each sample wakes the process up. */
const eventLoopPrecisionMs = 100;

const msPerSecond = 1_000;

const usPerSecond = 1_000_000;

const usPerMs = 1_000;

/** Label value of calls whose caller sent no tenant. */
const noTenantLabel = "none";

interface ClassLabels {
    readonly service: string;
    readonly class: string;
}

interface ServiceLimiters {
    readonly classes: LabelLimiter;
    readonly tenants: LabelLimiter;
}

class LabelLimiters {
    readonly #services = new LabelLimiter(maxServiceLabels);
    readonly #byService = new Map<string, ServiceLimiters>();

    service(name: string): string {
        return this.#services.label(name);
    }

    classLabels(name: string, requestClass: string): ClassLabels {
        const service = this.service(name);
        return { service, class: this.#limitersOf(service).classes.label(requestClass) };
    }

    tenantLabels(service: string, tenant: string): { readonly service: string; readonly tenant: string } {
        return {
            service,
            tenant: this.#limitersOf(service).tenants.label(tenant === "" ? noTenantLabel : tenant),
        };
    }

    #limitersOf(service: string): ServiceLimiters {
        const limiters = this.#byService.get(service);
        if (limiters) {
            return limiters;
        }
        const created = {
            classes: new LabelLimiter(maxClassLabels),
            tenants: new LabelLimiter(maxTenantLabels),
        };
        this.#byService.set(service, created);
        return created;
    }
}

/** A value as prom-client returns it. */
interface MetricValue {
    readonly value: number;
    readonly metricName?: string;
    readonly labels: Readonly<Record<string, string | number | undefined>>;
}

const histogramViews = (
    values: readonly MetricValue[],
    by: "class" | "tenant",
    part: HistogramView["part"],
): readonly HistogramView[] => {
    const views = new Map<string, HistogramView>();
    for (const { value, metricName, labels } of values) {
        const service = String(labels["service"] ?? otherLabel);
        const label = String(labels[by] ?? otherLabel);
        const id = `${service} ${label}`;
        const view = views.get(id) ?? { service, by, label, part, count: 0, sumMs: 0, buckets: [] };
        views.set(id, withValue(view, metricName ?? "", value, labels["le"]));
    }
    return [...views.values()];
};

/** Returns a view with one value added. prom-client returns cumulative buckets in ascending order. */
const withValue = (
    view: HistogramView,
    metricName: string,
    value: number,
    upperBound: string | number | undefined,
): HistogramView => {
    if (metricName.endsWith("_sum")) {
        return { ...view, sumMs: value * msPerSecond };
    }
    if (metricName.endsWith("_count")) {
        return { ...view, count: value };
    }
    const below = view.buckets.reduce((sum, bucket) => sum + bucket.count, 0);
    const upToMs = upperBound === "+Inf" ? undefined : Math.round(Number(upperBound) * usPerSecond) / usPerMs;
    return { ...view, buckets: [...view.buckets, { upToMs, count: value - below }] };
};
