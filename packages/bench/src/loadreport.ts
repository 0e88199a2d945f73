/** Aggregates the results of a load's calls and reports them as a table, as JSON and as a plot. */

import { build, type Histogram } from "hdr-histogram-js";
import { parse, View, type Spec } from "vega";
import type { CallResult } from "./loadcaller.js";

/** Latency distribution of a group of calls, in milliseconds. */
export interface Latencies {
    readonly calls: number;
    readonly p50: number;
    readonly p90: number;
    readonly p99: number;
    readonly p999: number;
    readonly max: number;
}

/** Report of one class or one tenant. */
export interface GroupReport {
    /** "SERVICE/CLASS" or the tenant. */
    readonly name: string;
    /** Number of calls by result, see CallResult.end. */
    readonly ends: Readonly<Record<string, number>>;
    readonly retried: number;
    /** Latency to the response's first byte; answered calls only. */
    readonly begin: Latencies;
    /** Latency to the response's last byte; answered calls only. */
    readonly whole: Latencies;
}

/** Counts of violations, all 0 in a correct system. */
export interface Faults {
    /** Responses that began but were incomplete. */
    readonly cut: number;
    /** Responses with bytes that don't belong to their request. */
    readonly foreign: number;
    /** Requests that reached the server with a different length. */
    readonly mangled: number;
    /** Non-idempotent requests that ran more than once. */
    readonly doubled: number;
    /** Answered non-idempotent requests that never ran. */
    readonly lost: number;
    /** Non-idempotent requests refused as "not run" that did run. */
    readonly untrue: number;
}

/** Report of a load. */
export interface Report {
    readonly calls: number;
    readonly classes: readonly GroupReport[];
    readonly tenants: readonly GroupReport[];
    readonly faults: Faults;
}

/** Collects call results. */
export class LoadReport {
    readonly #classes = new Map<string, Group>();
    readonly #tenants = new Map<string, Group>();
    readonly #nonIdempotent: CallResult[] = [];
    #calls = 0;
    #cut = 0;
    #foreign = 0;
    #mangled = 0;

    /** Adds one call's result. */
    add(result: CallResult): void {
        const { call } = result;
        this.#calls++;
        this.#cut += Number(result.cut);
        this.#foreign += Number(result.foreign);
        this.#mangled += Number(result.mangled);
        groupOf(this.#classes, `${call.service}/${call.class}`).add(result);
        groupOf(this.#tenants, call.tenant).add(result);
        if (call.method !== "GET") {
            this.#nonIdempotent.push(result);
        }
    }

    /**
     * Returns the report of the results so far.
     *
     * @param runs how often each request id ran, as counted by the backend servers; undefined if they don't count
     */
    report(runs: ReadonlyMap<string, number> | undefined): Report {
        const ran = (result: CallResult): number => runs?.get(result.call.id) ?? 0;
        const count = (isFaulty: (result: CallResult) => boolean): number =>
            runs ? this.#nonIdempotent.filter(isFaulty).length : 0;
        return {
            calls: this.#calls,
            classes: groupReports(this.#classes),
            tenants: groupReports(this.#tenants),
            faults: {
                cut: this.#cut,
                foreign: this.#foreign,
                mangled: this.#mangled,
                doubled: count(result => ran(result) > 1),
                lost: count(result => result.end === "answered" && ran(result) === 0),
                untrue: count(result => result.ran === "not run" && ran(result) > 0),
            },
        };
    }

    /** Returns an SVG plot of the latency to the first byte by percentile, with one line per class. */
    async svg(): Promise<string> {
        const values = [...this.#classes].flatMap(([name, group]) => group.curve(name));
        return await new View(parse(plotSpecOf(values)), { renderer: "none" }).toSVG();
    }
}

/** Formats the report as text tables; times in milliseconds. */
export const formatReport = (report: Report): string => {
    const faults = Object.entries(report.faults).map(([name, count]) => `${name} ${count}`);
    const others = report.classes.flatMap(unansweredLines);
    const tables = [tableOf("class", report.classes), "", tableOf("tenant", report.tenants), ""];
    return [...tables, ...others, `of ${report.calls} calls: ${faults.join(", ")}`].join("\n");
};

const tableOf = (what: string, groups: readonly GroupReport[]): string => {
    const times = ["p50", "p90", "p99", "p99.9", "max", "whole p50", "whole p99"];
    const head = [what, "calls", "answered", "retried", ...times];
    const rows = [head, ...groups.map(rowOf)];
    const widths = head.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    const pad = (cell: string, column: number): string =>
        column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0);
    return rows.map(row => row.map(pad).join("  ")).join("\n");
};

interface Point {
    readonly class: string;
    /** 1 / (1 - quantile): 10 is p90, 100 is p99. */
    readonly oneIn: number;
    readonly ms: number;
}

const microsecondsPerMs = 1_000;

const maxLatencyUs = 3_600_000_000;

const plottedOneIn = [1, 1.25, 2, 4, 10, 20, 40, 100, 200, 400, 1_000, 2_000, 10_000] as const;

const newHistogram = (): Histogram =>
    build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxLatencyUs,
        numberOfSignificantValueDigits: 3,
    });

class Group {
    readonly #begin = newHistogram();
    readonly #whole = newHistogram();
    readonly #ends = new Map<string, number>();
    #retried = 0;

    add(result: CallResult): void {
        this.#ends.set(result.end, (this.#ends.get(result.end) ?? 0) + 1);
        this.#retried += Number(result.attempts > 1);
        if (result.end === "answered") {
            record(this.#begin, result.firstByteMs);
            record(this.#whole, result.lastByteMs);
        }
    }

    report(name: string): GroupReport {
        return {
            name,
            ends: Object.fromEntries(this.#ends),
            retried: this.#retried,
            begin: latenciesOf(this.#begin),
            whole: latenciesOf(this.#whole),
        };
    }

    curve(name: string): readonly Point[] {
        const seen = plottedOneIn.filter(oneIn => oneIn <= this.#begin.totalCount);
        return seen.map(oneIn => ({ class: name, oneIn, ms: percentileMs(this.#begin, 100 - 100 / oneIn) }));
    }
}

const record = (histogram: Histogram, ms: number): void =>
    histogram.recordValue(Math.min(maxLatencyUs, Math.max(1, Math.round(ms * microsecondsPerMs))));

const percentileMs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMs;

const latenciesOf = (histogram: Histogram): Latencies => ({
    calls: histogram.totalCount,
    p50: percentileMs(histogram, 50),
    p90: percentileMs(histogram, 90),
    p99: percentileMs(histogram, 99),
    p999: percentileMs(histogram, 99.9),
    max: histogram.maxValue / microsecondsPerMs,
});

const groupOf = (groups: Map<string, Group>, name: string): Group => {
    const known = groups.get(name);
    if (known) {
        return known;
    }
    const fresh = new Group();
    groups.set(name, fresh);
    return fresh;
};

const groupReports = (groups: ReadonlyMap<string, Group>): readonly GroupReport[] =>
    [...groups].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, group]) => group.report(name));

const rowOf = ({ name, ends, retried, begin, whole }: GroupReport): readonly string[] => {
    const calls = Object.values(ends).reduce((sum, count) => sum + count, 0);
    const times = [begin.p50, begin.p90, begin.p99, begin.p999, begin.max, whole.p50, whole.p99];
    const counts = [calls, ends["answered"] ?? 0, retried].map(String);
    return [name, ...counts, ...times.map(ms => ms.toFixed(1))];
};

const unansweredLines = ({ name, ends }: GroupReport): readonly string[] => {
    const others = Object.entries(ends).filter(([end]) => end !== "answered");
    return others.map(([end, count]) => `${name}: ${count} ended as "${end}"`);
};

const plotSpecOf = (values: readonly Point[]): Spec => ({
    width: 640,
    height: 360,
    padding: 10,
    background: "white",
    data: [{ name: "points", values: [...values] }],
    scales: [
        { name: "x", type: "log", domain: { data: "points", field: "oneIn" }, range: "width" },
        { name: "y", type: "log", domain: { data: "points", field: "ms" }, range: "height", nice: true },
        { name: "color", type: "ordinal", domain: { data: "points", field: "class" }, range: "category" },
    ],
    axes: [
        { orient: "bottom", scale: "x", title: "one call in (10: p90, 100: p99, 1000: p99.9)" },
        { orient: "left", scale: "y", title: "milliseconds until the response began", grid: true },
    ],
    legends: [{ stroke: "color", title: "class" }],
    marks: [
        {
            type: "group",
            from: { facet: { name: "line", data: "points", groupby: "class" } },
            marks: [
                {
                    type: "line",
                    from: { data: "line" },
                    encode: {
                        enter: {
                            x: { scale: "x", field: "oneIn" },
                            y: { scale: "y", field: "ms" },
                            stroke: { scale: "color", field: "class" },
                            strokeWidth: { value: 2 },
                        },
                    },
                },
            ],
        },
    ],
});
