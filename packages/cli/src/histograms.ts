/** The command that draws histograms of calls, summed over the entry VMs. */

import type { Context } from "./context.js";
import { Entries, values, type EntryHistogram } from "./entries.js";
import { CliError } from "./exit.js";
import { counted } from "./terminal.js";

/** Flags of `histograms`. */
export interface HistogramFlags {
    readonly service?: string;
    readonly by?: "class" | "tenant";
    readonly json?: boolean;
}

/** `histograms`: how long calls took, per service and class or tenant. */
export const histograms = async (context: Context, flags: HistogramFlags): Promise<void> => {
    const { terminal } = context;
    const entries = new Entries(context.settings);
    terminal.progress(`Asking ${counted(entries.count, "entry VM")}...`);
    const answers = await entries.histograms();
    const merged = merge(values(answers).flat()).filter(found => wanted(found, flags));
    if (flags.service !== undefined && merged.length === 0) {
        throw new CliError("not-found", `No calls of a service "${flags.service}" were recorded.`);
    }
    if (flags.json) {
        terminal.print(JSON.stringify(merged));
    } else {
        terminal.print(merged.length === 0 ? "No calls were recorded." : merged.map(drawing).join("\n\n"));
    }
    for (const { address, failure } of answers.filter(({ value }) => value === undefined)) {
        terminal.warn(`Not counted: ${address}: ${failure}`);
    }
};

/** Adds up the histograms of the same calls' part from several entry VMs. */
export const merge = (all: readonly EntryHistogram[]): readonly EntryHistogram[] => {
    const merged = new Map<string, EntryHistogram>();
    for (const found of all) {
        const id = [found.service, found.by, found.label, found.part].join(" ");
        const other = merged.get(id);
        merged.set(id, other ? sum(other, found) : found);
    }
    return [...merged].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, histogram]) => histogram);
};

/**
 * Upper end of the bucket that holds a quantile, in milliseconds; undefined if the quantile lies above the last
 * end, or without calls.
 */
export const quantile = ({ count, buckets }: EntryHistogram, share: number): number | undefined => {
    let below = 0;
    for (const bucket of buckets) {
        below += bucket.count;
        if (below >= count * share && below > 0) {
            return bucket.upToMs;
        }
    }
    return undefined;
};

const wanted = (histogram: EntryHistogram, { service, by }: HistogramFlags): boolean =>
    (service === undefined || histogram.service === service) && (by === undefined || histogram.by === by);

const sum = (a: EntryHistogram, b: EntryHistogram): EntryHistogram => {
    const counts = new Map(a.buckets.map(({ upToMs, count }) => [upToMs, count]));
    for (const { upToMs, count } of b.buckets) {
        counts.set(upToMs, (counts.get(upToMs) ?? 0) + count);
    }
    const buckets = [...counts].map(([upToMs, count]) => ({ upToMs, count })).sort(byEnd);
    return { ...a, count: a.count + b.count, sumMs: a.sumMs + b.sumMs, buckets };
};

type Bucket = EntryHistogram["buckets"][number];

const byEnd = (a: Bucket, b: Bucket): number => (a.upToMs ?? Infinity) - (b.upToMs ?? Infinity);

const barWidth = 50;

const endWidth = 11;

const countWidth = 9;

const drawing = (histogram: EntryHistogram): string => {
    const { service, by, label, part, count, sumMs } = histogram;
    const mean = count === 0 ? 0 : sumMs / count;
    const quantiles = [0.5, 0.99].map(share => `p${share * 100} <= ${endText(quantile(histogram, share))}`);
    const head = `${service}, ${by} ${label}, ${part}: ${count} calls, mean ${mean.toFixed(2)} ms, ${quantiles.join(", ")}`;
    return [head, ...bars(histogram)].join("\n");
};

const bars = ({ buckets }: EntryHistogram): readonly string[] => {
    const first = buckets.findIndex(bucket => bucket.count > 0);
    const last = buckets.findLastIndex(bucket => bucket.count > 0);
    const shown = first < 0 ? [] : buckets.slice(first, last + 1);
    const most = Math.max(...shown.map(bucket => bucket.count));
    return shown.map(({ upToMs, count }) => {
        const bar = "#".repeat(Math.ceil((count / most) * barWidth));
        return `${endText(upToMs).padStart(endWidth)} ${String(count).padStart(countWidth)} ${bar}`.trimEnd();
    });
};

const endText = (upToMs: number | undefined): string => (upToMs === undefined ? "above" : `${upToMs} ms`);
