/** Input and output of a simulation run, and what the shipped dispatchers and the bound have in common. */

import { SeededRandom } from "@bramleymoor/dispatch/random";
import type { ChooserName, Service } from "@bramleymoor/model/spec";
import { SimulatedServer, type VirtualTimeScheduler } from "./simulationserver.js";
import { meanServiceMs, noisyNeighbours, replayTrace, type Slowdown, type TracedCall } from "./trace.js";

/** What one run measures. */
export interface Scenario {
    readonly service: Service;
    readonly trace: readonly TracedCall[];
    readonly chooser: ChooserName | "omniscient";
    readonly faults: boolean;
    readonly seed: number;
    readonly durationMs: number;
    /** Arriving work as a share of the slots' capacity at a time. */
    readonly loadAt: (now: number) => number;
    /** Entry VMs that serve the service. */
    readonly dispatchers: number;
    /** Share of the calls that comes to the first of them. */
    readonly firstDispatcherShare: number;
    /** Times that a caller comes back after a refusal. */
    readonly callerRetries: number;
}

/** What became of one call. */
export interface Outcome {
    readonly arrivedAt: number;
    readonly endedAt: number;
    readonly latencyMs: number;
    /** How long the dispatcher took to tell each refusal, in milliseconds. */
    readonly refusalTimesMs: readonly number[];
    readonly result: "answered" | "failed" | "refused";
}

/** What a run gave. */
export interface SimulationResult {
    readonly outcomes: readonly Outcome[];
    readonly hedges: number;
    readonly retries: number;
    /** Control bytes that the busiest entry VM sent, per second. */
    readonly controlBytes: number;
    readonly busyMs: number;
}

/** Latency quantile in milliseconds. */
export const quantile = (outcomes: readonly Pick<Outcome, "latencyMs">[], q: number): number => {
    const sorted = Float64Array.from(outcomes, it => it.latencyMs).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? Number.NaN;
};

/** Lets the trace's calls arrive at the scenario's load. */
export const scheduleArrivals = (
    scenario: Scenario,
    time: VirtualTimeScheduler,
    arrive: (traced: TracedCall) => void,
): void => {
    const calls = replayTrace(scenario.trace, new SeededRandom(scenario.seed));
    const slots = scenario.service.servers.reduce((sum, it) => sum + it.slots, 0);
    const next = (): void => {
        const traced = calls.next().value;
        const at = time.now + (traced.gapFactor * meanServiceMs) / (slots * scenario.loadAt(time.now));
        if (at < scenario.durationMs) {
            time.schedule(at, () => {
                arrive(traced);
                next();
            });
        }
    };
    next();
};

/** The scenario's servers with their faults. */
export const createServers = (scenario: Scenario, time: VirtualTimeScheduler): readonly SimulatedServer[] => {
    const random = new SeededRandom(scenario.seed + 104_729);
    const { durationMs, faults } = scenario;
    const cold = { from: 0.2 * durationMs, to: 0.2 * durationMs + coldMs, factor: 3 };
    const failing = { from: 0.7 * durationMs, to: 0.7 * durationMs + failingMs, factor: 1 };
    return scenario.service.servers.map((server, index) => {
        const noisy = faults ? noisyNeighbours(random, durationMs + drainMs) : [];
        const slowdowns = faults && index === 1 ? withCold(noisy, cold) : noisy;
        return new SimulatedServer(server, time, slowdowns, faults && index === 2 ? failing : undefined);
    });
};

const withCold = (noisy: readonly Slowdown[], cold: Slowdown): readonly Slowdown[] =>
    [...noisy.filter(it => it.to < cold.from || it.from > cold.to), cold].sort((a, b) => a.from - b.from);

/** A call's outcome; one that wasn't answered counts as its deadline. */
export const outcomeOf = (
    { service }: Scenario,
    arrivedAt: number,
    endedAt: number,
    result: Outcome["result"],
    refusedAfterMs: readonly number[] = [],
): Outcome => {
    const deadlineMs = service.classes[0]!.deadlineMs;
    const latencyMs = result === "answered" ? endedAt - arrivedAt : deadlineMs;
    return { arrivedAt, endedAt, latencyMs, refusalTimesMs: refusedAfterMs, result };
};

/** One-way delay inside a failure domain. */
export const sameDomainDelayMs = 0.25;
/** One-way delay between failure domains. */
export const crossDomainDelayMs = 1;
/** How long a run goes on after the last arrival. */
export const drainMs = 2_000;
const coldMs = 2_000;
const failingMs = 2_000;
