/** Metrics of calls, of measuring and of control traffic, by prom-client. */

import type { ErrorKind } from "@bramleymoor/protocol/errors";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import { LabelLimiter, otherLabel } from "./label-limiter.js";

/**
 * How a call ended: answered whole by a backend server or once more from the at-most-once table, passed on to the
 * entry VM that records it, refused by kind, or cut on one side.
 */
export type OutcomeLabel = ErrorKind | "answered" | "replayed" | "passed-on" | "caller-gone" | "body-broken";

/** What is recorded of a finished call. */
export interface CallSample {
    readonly service: string;
    readonly class: string;
    /** Empty if the caller named none. */
    readonly tenant: string;
    readonly outcome: OutcomeLabel;
    /** HTTP status of the answer. */
    readonly status: number;
    /** Waiting for a backend server's slot. */
    readonly queueMs: number;
    /** From the request's first byte to the answer's first byte at the backend server. */
    readonly serverMs: number;
    /** What the entry VM itself added. */
    readonly addedMs: number;
    readonly hedged: boolean;
    readonly retried: boolean;
}

/** What control traffic is for. */
export type ControlChannel = "peers" | "log" | "vm-list" | "probes";

/** One histogram, for reading in a terminal. */
export interface HistogramView {
    readonly service: string;
    /** What `label` is. */
    readonly by: "class" | "tenant";
    readonly label: string;
    /** Which part of a call's time; "total" is all of it. */
    readonly part: LatencyComponent | "total";
    readonly count: number;
    readonly sumMs: number;
    /** Calls of at most `upToMs`, each bucket without those below; the last one has no end. */
    readonly buckets: readonly { readonly upToMs: number | undefined; readonly count: number }[];
}

/** Every metric of one entry process. */
export class CallMetrics {
    readonly #registry = new Registry();
    readonly #bounds = new Bounds();
    readonly #parts: Readonly<Record<LatencyComponent, Histogram<"service" | "class">>>;
    readonly #tenants: Histogram<"service" | "tenant">;
    readonly #outcomes: Counter<"service" | "class" | "outcome">;
    readonly #hedges: Counter<"service">;
    readonly #retries: Counter<"service">;
    readonly #probes: Counter<"service">;
    readonly #probeSeconds: Counter<"service">;
    readonly #controlBytes: Counter<"channel" | "direction">;
    readonly #version: Gauge;
    readonly #members: Gauge<"state">;

    /** @param watchLoop whether the event loop's delay is measured too, which wakes the process up */
    constructor(watchLoop = true) {
        const registers = [this.#registry];
        const byClass = (name: string, help: string) =>
            new Histogram({
                name,
                help,
                registers,
                buckets: bucketSeconds,
                labelNames: ["service", "class"],
            });
        const counter = <L extends string>(name: string, help: string, labelNames: readonly L[]) =>
            new Counter({ name, help, registers, labelNames: [...labelNames] });
        this.#parts = {
            queue: byClass("bm_queue_seconds", "Time that calls waited for a slot."),
            server: byClass("bm_server_seconds", "Time until the backend server's answer began."),
            added: byClass("bm_added_seconds", "Time that the entry VM itself added."),
        };
        this.#tenants = new Histogram({
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
        const controlHelp = "Bytes of control traffic.";
        this.#controlBytes = counter("bm_control_bytes_total", controlHelp, ["channel", "direction"]);
        this.#version = new Gauge({ name: "bm_config_version", help: "Version in force.", registers });
        const membersOptions = {
            name: "bm_members",
            help: "Entry VMs by state.",
            labelNames: ["state"],
        } as const;
        this.#members = new Gauge({ ...membersOptions, registers });
        if (watchLoop) {
            collectDefaultMetrics({
                register: this.#registry,
                eventLoopMonitoringPrecision: eventLoopStepMs,
            });
        }
    }

    /** Records a finished call. */
    recordCall(record: CallSample): void {
        const labels = this.#bounds.classLabels(record.service, record.class);
        this.#outcomes.inc({ ...labels, outcome: record.outcome });
        if (record.outcome === "passed-on") {
            return;
        }
        this.#parts.queue.observe(labels, record.queueMs / msPerSecond);
        if (answered.has(record.outcome)) {
            this.#times(record, labels);
        }
        this.#copies(record, labels.service);
    }

    /** Times of a call whose answer a backend server began; other calls have no server time to tell apart. */
    #times(record: CallSample, labels: ClassLabels): void {
        this.#parts.server.observe(labels, record.serverMs / msPerSecond);
        this.#parts.added.observe(labels, record.addedMs / msPerSecond);
        const totalMs = record.queueMs + record.serverMs + record.addedMs;
        this.#tenants.observe(
            this.#bounds.tenantLabels(labels.service, record.tenant),
            totalMs / msPerSecond,
        );
    }

    #copies(record: CallSample, service: string): void {
        if (record.hedged) {
            this.#hedges.inc({ service });
        }
        if (record.retried) {
            this.#retries.inc({ service });
        }
    }

    /** Records a probe and the server time that it cost. */
    recordProbe(service: string, costMs: number): void {
        const labels = { service: this.#bounds.service(service) };
        this.#probes.inc(labels);
        this.#probeSeconds.inc(labels, costMs / msPerSecond);
    }

    /** Records bytes of control traffic. */
    recordControlTraffic(channel: ControlChannel, direction: "in" | "out", bytes: number): void {
        this.#controlBytes.inc({ channel, direction }, bytes);
    }

    /** Records the version in force. */
    setConfigVersion(version: number): void {
        this.#version.set(version);
    }

    /** Records how many entry VMs are in each state. */
    setMemberCounts(counts: Readonly<Record<string, number>>): void {
        for (const [state, count] of Object.entries(counts)) {
            this.#members.set({ state }, count);
        }
    }

    /** Serves a total that is counted elsewhere, read whenever the metrics are asked for. */
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

    /** All metrics in the Prometheus text format. */
    text(): Promise<string> {
        return this.#registry.metrics();
    }

    /** Media type of `text`. */
    get contentType(): string {
        return this.#registry.contentType;
    }

    /** The histograms of calls, for the operators' program. */
    async histograms(): Promise<readonly HistogramView[]> {
        const views: HistogramView[] = [];
        for (const part of parts) {
            views.push(...histogramViews((await this.#parts[part].get()).values, "class", part));
        }
        views.push(...histogramViews((await this.#tenants.get()).values, "tenant", "total"));
        return views;
    }
}

const answered: ReadonlySet<OutcomeLabel> = new Set(["answered", "body-broken"]);

/** Parts of a call's time. */
export type LatencyComponent = "queue" | "server" | "added";

const parts: readonly LatencyComponent[] = ["queue", "server", "added"];

/** Upper ends of the histograms' buckets, in seconds. */
export const bucketSeconds: number[] = [
    0.0001, 0.0002, 0.0003, 0.0005, 0.0008, 0.0012, 0.0018, 0.0025, 0.004, 0.006, 0.01, 0.016, 0.025, 0.04,
    0.063, 0.1, 0.16, 0.25, 0.4, 0.63, 1, 1.6, 2.5, 4, 6.3, 10, 30,
];

/** Most services with labels of their own. */
export const maxServiceLabels = 500;

/** Most classes with labels of their own in one service. */
export const maxClassLabels = 8;

/** Most tenants with labels of their own in one service. */
export const maxTenantLabels = 16;

/** Each look at the event loop wakes the process up. */
const eventLoopStepMs = 100;

const msPerSecond = 1_000;

const usPerSecond = 1_000_000;

const usPerMs = 1_000;

/** Label of calls whose caller named no tenant. */
const noTenant = "none";

interface ClassLabels {
    readonly service: string;
    readonly class: string;
}

interface ServiceBounds {
    readonly classes: LabelLimiter;
    readonly tenants: LabelLimiter;
}

class Bounds {
    readonly #services = new LabelLimiter(maxServiceLabels);
    readonly #byService = new Map<string, ServiceBounds>();

    service(name: string): string {
        return this.#services.label(name);
    }

    classLabels(name: string, requestClass: string): ClassLabels {
        const service = this.service(name);
        return { service, class: this.#of(service).classes.label(requestClass) };
    }

    tenantLabels(service: string, tenant: string): { readonly service: string; readonly tenant: string } {
        return { service, tenant: this.#of(service).tenants.label(tenant === "" ? noTenant : tenant) };
    }

    #of(service: string): ServiceBounds {
        const known = this.#byService.get(service);
        if (known) {
            return known;
        }
        const bounds = {
            classes: new LabelLimiter(maxClassLabels),
            tenants: new LabelLimiter(maxTenantLabels),
        };
        this.#byService.set(service, bounds);
        return bounds;
    }
}

/** One value as prom-client gives it. */
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

/** Takes in one value; prom-client counts buckets cumulatively and gives them in ascending order. */
const withValue = (
    view: HistogramView,
    metricName: string,
    value: number,
    end: string | number | undefined,
): HistogramView => {
    if (metricName.endsWith("_sum")) {
        return { ...view, sumMs: value * msPerSecond };
    }
    if (metricName.endsWith("_count")) {
        return { ...view, count: value };
    }
    const below = view.buckets.reduce((sum, bucket) => sum + bucket.count, 0);
    const upToMs = end === "+Inf" ? undefined : Math.round(Number(end) * usPerSecond) / usPerMs;
    return { ...view, buckets: [...view.buckets, { upToMs, count: value - below }] };
};
