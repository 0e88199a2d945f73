/** Input and output of a simulation run, and what the shipped dispatchers and the bound have in common. */

import { SeededRandom } from "@bramleymoor/dispatch/random";
import type { ChooserName, Service } from "@bramleymoor/model/spec";
import { SimulatedServer, type VirtualTimeScheduler } from "./simulationserver.js";
import {
    meanServiceMs,
    noisyNeighborSlowdowns,
    replayTrace,
    type Slowdown,
    type TracedCall,
} from "./trace.js";

/** Input of one run. */
export interface Scenario {
    readonly service: Service;
    readonly trace: readonly TracedCall[];
    readonly chooser: ChooserName | "omniscient";
    readonly faults: boolean;
    readonly seed: number;
    readonly durationMs: number;
    /** Offered load at a time, as a share of the capacity of all slots. */
    readonly loadAt: (now: number) => number;
    /** Entry VMs that dispatch the service. */
    readonly dispatchers: number;
    /** Share of the calls that arrives at the first of them. */
    readonly firstDispatcherShare: number;
    /** Retries of a caller after refusals, at most. */
    readonly callerRetries: number;
}

/** How one call ended. */
export interface Outcome {
    readonly arrivedAt: number;
    readonly endedAt: number;
    readonly latencyMs: number;
    /** Time from submission to each refusal, in milliseconds. */
    readonly refusalTimesMs: readonly number[];
    readonly result: "answered" | "failed" | "refused";
}

/** Measurements of one run. */
export interface SimulationResult {
    readonly outcomes: readonly Outcome[];
    readonly hedges: number;
    readonly retries: number;
    /** Control bytes that the busiest entry VM sent, per second. */
    readonly controlBytes: number;
    /** Slot time spent on requests, over all servers. */
    readonly busyMs: number;
}

/** Returns the latency at quantile `q`, 0 to 1, in milliseconds; NaN without outcomes. */
export const quantile = (outcomes: readonly Pick<Outcome, "latencyMs">[], q: number): number => {
    const sorted = Float64Array.from(outcomes, it => it.latencyMs).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? Number.NaN;
};

/** Schedules the trace's calls at the rate that gives the scenario's load. */
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

/** Creates the servers; with faults, all slow down at random, one has a cold start and one fails for a time. */
export const createServers = (scenario: Scenario, time: VirtualTimeScheduler): readonly SimulatedServer[] => {
    const random = new SeededRandom(scenario.seed + 104_729);
    const { durationMs, faults } = scenario;
    const coldStart = { from: 0.2 * durationMs, to: 0.2 * durationMs + coldStartMs, factor: 3 };
    const failing = { from: 0.7 * durationMs, to: 0.7 * durationMs + failingMs, factor: 1 };
    return scenario.service.servers.map((server, index) => {
        const noisySlowdowns = faults ? noisyNeighborSlowdowns(random, durationMs + drainMs) : [];
        const slowdowns = faults && index === 1 ? withColdStart(noisySlowdowns, coldStart) : noisySlowdowns;
        return new SimulatedServer(server, time, slowdowns, faults && index === 2 ? failing : undefined);
    });
};

const withColdStart = (noisy: readonly Slowdown[], cold: Slowdown): readonly Slowdown[] =>
    [...noisy.filter(it => it.to < cold.from || it.from > cold.to), cold].sort((a, b) => a.from - b.from);

/** Returns a call's outcome; a call without a response counts with its deadline as latency. */
export const outcomeOf = (
    { service }: Scenario,
    arrivedAt: number,
    endedAt: number,
    result: Outcome["result"],
    refusalTimesMs: readonly number[] = [],
): Outcome => {
    const deadlineMs = service.classes[0]!.deadlineMs;
    const latencyMs = result === "answered" ? endedAt - arrivedAt : deadlineMs;
    return { arrivedAt, endedAt, latencyMs, refusalTimesMs, result };
};

/** One-way delay inside a failure domain. */
export const sameDomainDelayMs = 0.25;
/** One-way delay between failure domains. */
export const crossDomainDelayMs = 1;
/** Time that a run continues after the last arrival. */
export const drainMs = 2_000;
const coldStartMs = 2_000;
const failingMs = 2_000;
