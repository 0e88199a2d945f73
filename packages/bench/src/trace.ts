/**
 * Recorded traces and how a run replays them. A trace file is text: a first line "bramleymoor trace 1", then one
 * call a line, four integers apart by spaces: gap since the call before (thousandths of the mean gap), service
 * time (hundredths of a millisecond), service time of a copy on another server (same unit), tenant number.
 */

import { readFileSync } from "node:fs";
import { type Random, SeededRandom } from "@bramleymoor/dispatch/random";

/** One recorded call. */
export interface TracedCall {
    /** As a multiple of the mean gap. */
    readonly gapFactor: number;
    readonly serviceMs: number;
    /** Service time of a second copy, on another server. */
    readonly copyMs: number;
    readonly tenant: string;
}

/** Time during which a server works slower by `factor`. */
export interface Slowdown {
    readonly from: number;
    readonly to: number;
    readonly factor: number;
}

/** Reads a trace file; throws with the line's number if a line can't be read. */
export const readTrace = (file: URL): readonly TracedCall[] => {
    const [head, ...lines] = readFileSync(file, "utf8").trimEnd().split("\n");
    if (head !== traceHead) {
        throw new Error(`${file.pathname}: the first line must be "${traceHead}"`);
    }
    return lines.map((line, at) => parseCall(line, `${file.pathname}:${at + 2}`));
};

/** Makes a trace: exponential gaps, lognormal times of mean 10 ms, half of their log variance the server's. */
export const generateTrace = (seed: number, calls: number): string => {
    const random = new SeededRandom(seed);
    const lines = Array.from({ length: calls }, () => {
        const request = normal(random) * Math.SQRT1_2;
        const times = [0, 1].map(() => {
            const log = request + normal(random) * Math.SQRT1_2;
            return Math.round(100 * meanServiceMs * Math.exp(sigma * log - (sigma * sigma) / 2));
        });
        const gap = Math.round(1_000 * exponential(random));
        return [gap, ...times, Math.floor(random.next() * tenants)].join(" ");
    });
    return [traceHead, ...lines, ""].join("\n");
};

/** Replays a trace without end, block by block, the order of the blocks decided by `random`. */
export function* replayTrace(trace: readonly TracedCall[], random: Random): Generator<TracedCall, never> {
    for (;;) {
        const from = Math.floor(random.next() * (trace.length - blockCalls));
        yield* trace.slice(from, from + blockCalls);
    }
}

/** Sudden slowdowns by noisy neighbours: 5 times slower for 50 to 500 ms, 3% of the time. */
export const noisyNeighbours = (random: Random, untilMs: number): readonly Slowdown[] => {
    const slowdowns: Slowdown[] = [];
    const meanGapMs = (meanSlowMs * (1 - slowShare)) / slowShare;
    let now = exponential(random) * meanGapMs;
    while (now < untilMs) {
        const to = now + minSlowMs + random.next() * 2 * (meanSlowMs - minSlowMs);
        slowdowns.push({ from: now, to, factor: 5 });
        now = to + exponential(random) * meanGapMs;
    }
    return slowdowns;
};

/** Mean service time of every trace, in milliseconds. */
export const meanServiceMs = 10;

const parseCall = (line: string, where: string): TracedCall => {
    const numbers = line.split(" ").map(Number);
    const [gap, service, copy, tenant] = numbers;
    if (numbers.length !== 4 || !numbers.every(it => Number.isInteger(it) && it >= 0)) {
        throw new Error(`${where}: a call is four whole numbers, not "${line}"`);
    }
    return {
        gapFactor: (gap ?? 0) / 1_000,
        serviceMs: (service ?? 0) / 100,
        copyMs: (copy ?? 0) / 100,
        tenant: `t${tenant}`,
    };
};

const exponential = (random: Random): number => -Math.log(1 - random.next());

const normal = (random: Random): number =>
    Math.sqrt(2 * exponential(random)) * Math.cos(2 * Math.PI * random.next());

const traceHead = "bramleymoor trace 1";
const sigma = 0.5;
const tenants = 8;
const blockCalls = 500;
const slowShare = 0.03;
const minSlowMs = 50;
const meanSlowMs = 275;
