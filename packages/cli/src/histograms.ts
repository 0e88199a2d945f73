/** The command that draws latency histograms of calls, merged over the entry VMs. */

import type { CommandContext } from "./context.js";
import { EntryVmClient, successfulValues, type EntryHistogram } from "./entryvms.js";
import { CliError } from "./exit.js";
import { formatCount } from "./terminal.js";

/** Flags of `histograms`. */
export interface HistogramFlags {
    readonly service?: string;
    readonly by?: "class" | "tenant";
    readonly json?: boolean;
}

/** `histograms`: shows how long calls took, per service and class or tenant. */
export const histograms = async (context: CommandContext, flags: HistogramFlags): Promise<void> => {
    const { terminal } = context;
    const entryVms = new EntryVmClient(context.settings);
    terminal.progress(`Asking ${formatCount(entryVms.count, "entry VM")}...`);
    const responses = await entryVms.histograms();
    const merged = mergeHistograms(successfulValues(responses).flat()).filter(histogram =>
        matchesFlags(histogram, flags),
    );
    if (flags.service !== undefined && merged.length === 0) {
        throw new CliError("not-found", `No calls to service "${flags.service}" were recorded.`);
    }
    if (flags.json) {
        terminal.print(JSON.stringify(merged));
    } else {
        terminal.print(
            merged.length === 0 ? "No calls were recorded." : merged.map(formatHistogram).join("\n\n"),
        );
    }
    for (const { address, failure } of responses.filter(({ value }) => value === undefined)) {
        terminal.warn(`Not included: ${address}: ${failure}`);
    }
};

/** Merges the histograms of several entry VMs that have the same service, class or tenant, and part of the call. */
export const mergeHistograms = (all: readonly EntryHistogram[]): readonly EntryHistogram[] => {
    const merged = new Map<string, EntryHistogram>();
    for (const histogram of all) {
        const id = [histogram.service, histogram.by, histogram.label, histogram.part].join(" ");
        const other = merged.get(id);
        merged.set(id, other ? addHistograms(other, histogram) : histogram);
    }
    return [...merged].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, histogram]) => histogram);
};

/**
 * Returns the upper bound of the bucket that holds a quantile, in milliseconds; undefined if the quantile lies
 * above the last bound or there are no calls.
 *
 * @param share the quantile, from 0 to 1
 */
export const quantile = ({ count, buckets }: EntryHistogram, share: number): number | undefined => {
    let cumulative = 0;
    for (const bucket of buckets) {
        cumulative += bucket.count;
        if (cumulative >= count * share && cumulative > 0) {
            return bucket.upToMs;
        }
    }
    return undefined;
};

const matchesFlags = (histogram: EntryHistogram, { service, by }: HistogramFlags): boolean =>
    (service === undefined || histogram.service === service) && (by === undefined || histogram.by === by);

const addHistograms = (a: EntryHistogram, b: EntryHistogram): EntryHistogram => {
    const counts = new Map(a.buckets.map(({ upToMs, count }) => [upToMs, count]));
    for (const { upToMs, count } of b.buckets) {
        counts.set(upToMs, (counts.get(upToMs) ?? 0) + count);
    }
    const buckets = [...counts].map(([upToMs, count]) => ({ upToMs, count })).sort(byUpperBound);
    return { ...a, count: a.count + b.count, sumMs: a.sumMs + b.sumMs, buckets };
};

type Bucket = EntryHistogram["buckets"][number];

const byUpperBound = (a: Bucket, b: Bucket): number => (a.upToMs ?? Infinity) - (b.upToMs ?? Infinity);

const barWidth = 50;

const boundWidth = 11;

const countWidth = 9;

const formatHistogram = (histogram: EntryHistogram): string => {
    const { service, by, label, part, count, sumMs } = histogram;
    const mean = count === 0 ? 0 : sumMs / count;
    const quantiles = [0.5, 0.99].map(share => `p${share * 100} ${formatQuantile(histogram, share)}`);
    const title = `${service}, ${by} ${label}, ${part}: ${count} calls, mean ${mean.toFixed(2)} ms, ${quantiles.join(", ")}`;
    return [title, ...formatBuckets(histogram)].join("\n");
};

const formatQuantile = (histogram: EntryHistogram, share: number): string => {
    const upToMs = quantile(histogram, share);
    if (upToMs !== undefined) {
        return `<= ${upToMs} ms`;
    }
    const lastMs = histogram.buckets.findLast(bucket => bucket.upToMs !== undefined)?.upToMs;
    return histogram.count === 0 || lastMs === undefined ? "unknown" : `more than ${lastMs} ms`;
};

const formatBuckets = ({ buckets }: EntryHistogram): readonly string[] => {
    const first = buckets.findIndex(bucket => bucket.count > 0);
    const last = buckets.findLastIndex(bucket => bucket.count > 0);
    const shown = first < 0 ? [] : buckets.slice(first, last + 1);
    const maxCount = Math.max(...shown.map(bucket => bucket.count));
    return shown.map(({ upToMs, count }) => {
        const bar = "#".repeat(Math.ceil((count / maxCount) * barWidth));
        return `${formatUpperBound(upToMs).padStart(boundWidth)} ${String(count).padStart(countWidth)} ${bar}`.trimEnd();
    });
};

const formatUpperBound = (upToMs: number | undefined): string =>
    upToMs === undefined ? "above" : `${upToMs} ms`;
