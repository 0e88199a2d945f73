/**
 * Traces of calls and their replay. A trace file is text: a first line "bramleymoor trace 1", then one call per
 * line as four integers separated by spaces: interarrival time (thousandths of the mean), service time
 * (hundredths of a millisecond), service time of a copy on another server (same unit), tenant number.
 */

import { readFileSync } from "node:fs";
import { type Random, SeededRandom } from "@bramleymoor/dispatch/random";

/** A call of a trace. */
export interface TracedCall {
    /** Interarrival time as a multiple of the mean. */
    readonly gapFactor: number;
    readonly serviceMs: number;
    /** Service time of a second copy, on another server. */
    readonly copyMs: number;
    readonly tenant: string;
}

/** A period, in milliseconds, in which a server works `factor` times slower. */
export interface Slowdown {
    readonly from: number;
    readonly to: number;
    readonly factor: number;
}

/** Reads a trace file; throws an Error with the line number if a line is malformed. */
export const readTrace = (file: URL): readonly TracedCall[] => {
    const [head, ...lines] = readFileSync(file, "utf8").trimEnd().split("\n");
    if (head !== traceHead) {
        throw new Error(`${file.pathname}: expected the first line "${traceHead}"`);
    }
    return lines.map((line, at) => parseCall(line, `${file.pathname}:${at + 2}`));
};

/**
 * Returns a generated trace: exponential interarrival times and lognormal service times with a mean of 10 ms. Half
 * of the variance of their logarithm is due to the server, half to the request.
 */
export const generateTrace = (seed: number, calls: number): string => {
    const random = new SeededRandom(seed);
    const lines = Array.from({ length: calls }, () => {
        const requestPart = normal(random) * Math.SQRT1_2;
        const times = [0, 1].map(() => {
            const log = requestPart + normal(random) * Math.SQRT1_2;
            return Math.round(100 * meanServiceMs * Math.exp(sigma * log - (sigma * sigma) / 2));
        });
        const gap = Math.round(1_000 * exponential(random));
        return [gap, ...times, Math.floor(random.next() * tenants)].join(" ");
    });
    return [traceHead, ...lines, ""].join("\n");
};

/** Replays a trace endlessly in blocks that `random` chooses. */
export function* replayTrace(trace: readonly TracedCall[], random: Random): Generator<TracedCall, never> {
    for (;;) {
        const from = Math.floor(random.next() * (trace.length - blockCalls));
        yield* trace.slice(from, from + blockCalls);
    }
}

/** Returns random slowdowns by noisy neighbors until `untilMs`: 5 times slower for 50 to 500 ms, 3% of the time. */
export const noisyNeighborSlowdowns = (random: Random, untilMs: number): readonly Slowdown[] => {
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
