/**
 * One run of plain HTTP load in a separate process, so that the client doesn't slow down the measured process.
 * Usage: node loadchild.js URL closed CONCURRENCY MS | node loadchild.js URL open RATE MS SEED.
 * Prints one line of JSON: LoadSummary.
 */

import { SeededRandom } from "@bramleymoor/dispatch/random";
import { HttpLoad, type LoadRun } from "./httpload.js";

const connections = 256;
const microsecondsPerMs = 1_000;

/** Measurements of one run. Times in milliseconds. */
export interface LoadSummary {
    readonly perSecond: number;
    readonly failed: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
}

const summaryOf = ({ perSecond, failed, latencies }: LoadRun): LoadSummary => ({
    perSecond: Math.round(perSecond),
    failed,
    p50Ms: latencies.getValueAtPercentile(50) / microsecondsPerMs,
    p99Ms: latencies.getValueAtPercentile(99) / microsecondsPerMs,
    p999Ms: latencies.getValueAtPercentile(99.9) / microsecondsPerMs,
});

const [url = "", mode = "", amount = "", ms = "", seed = "1"] = process.argv.slice(2);
const load = new HttpLoad(url, connections);
const run =
    mode === "closed"
        ? await load.runClosedLoop(Number(amount), Number(ms))
        : await load.runOpenLoop(Number(amount), Number(ms), new SeededRandom(Number(seed)));
console.log(JSON.stringify(summaryOf(run)));
