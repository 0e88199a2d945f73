/** The `all` measurement: the two measures and seven properties that the brief requires, one line each. */

import { chooserNames } from "@bramleymoor/model/spec";
import { Command } from "commander";
import { runConcert, targetConvergeMs, targetDrainMs, type ConcertResult } from "./concert.js";
import { runFuzzModel } from "./fuzz-model.js";
import { fuzzModels } from "./fuzz-models.js";
import { measureChoosers, type PolicyRow } from "./policy.js";

const shippedChooser = "late-binding";
const load = 0.7;
const policySeeds = [1, 2, 3];
const fuzzSeed = 1;
/** Fuzz models that verify the properties, and their number of runs. */
const fuzzRuns = { probing: 500, once: 1_000, config: 100 } as const;
/** Replays of the tail latency measure: number of entry VMs, and share of the calls that the first one gets. */
const tailReplays = [
    { deployment: "ratiba", dispatchers: 2, firstDispatcherShare: 1, durationMs: 5_000 },
    { deployment: "aqrl", dispatchers: 3, firstDispatcherShare: 1 / 3, durationMs: 2_000 },
] as const;

/** Returns the `all` subcommand; the exit status is 1 if a property does not hold. */
export const allCommand = (): Command =>
    new Command("all")
        .description("the two measures and the seven properties of the brief, a line each")
        .option("--seed <n>", "seed of the traffic", "1")
        .action(async ({ seed }: { readonly seed: string }) => {
            const tails = tailReplays.map(measureTailLatency);
            const fuzz = await fuzzAll();
            const concert = await runConcert(Number(seed));
            const properties = propertiesOf(concert, fuzz);
            printAll(measuresOf(tails, concert), properties);
            console.log(JSON.stringify(summarize(tails, concert, properties)));
            process.exitCode = properties.every(property => property.held) ? 0 : 1;
        });

/** A printed line: name, how it was measured, and the result. */
interface Measure {
    readonly name: string;
    readonly method: string;
    readonly figure: string;
}

interface Property extends Measure {
    readonly held: boolean;
}

/** Tail latency of the shipped chooser in a replay with faults, compared with the others. */
interface TailLatency {
    readonly deployment: string;
    readonly p99Ms: number;
    /** Ratio to the p99 of the omniscient queue. */
    readonly p99Ratio: number;
    /** The same ratio of the best other chooser. */
    readonly bestOtherP99Ratio: number;
}

/** Result of fuzzing a model. */
interface FuzzResult {
    readonly runs: number;
    readonly failure: string | undefined;
}

const measureTailLatency = (replay: (typeof tailReplays)[number]): TailLatency => {
    const settings = { ...replay, load, faults: true, seeds: policySeeds };
    const rows = measureChoosers(settings, chooserNames);
    const shipped = rowOf(rows, shippedChooser);
    const others = chooserNames.filter(name => name !== shippedChooser);
    return {
        deployment: replay.deployment,
        p99Ms: roundToHundredths(shipped.p99),
        p99Ratio: roundToHundredths(shipped.p99Ratio),
        bestOtherP99Ratio: roundToHundredths(Math.min(...others.map(name => rowOf(rows, name).p99Ratio))),
    };
};

const rowOf = (rows: readonly PolicyRow[], chooser: PolicyRow["chooser"]): PolicyRow => {
    const found = rows.find(row => row.chooser === chooser);
    if (!found) {
        throw new Error(`no results for chooser ${chooser}`);
    }
    return found;
};

const fuzzAll = async (): Promise<ReadonlyMap<string, FuzzResult>> => {
    const results = new Map<string, FuzzResult>();
    for (const [name, runs] of Object.entries(fuzzRuns)) {
        const model = fuzzModels.find(one => one.name === name);
        if (!model) {
            throw new Error(`unknown fuzz model ${name}`);
        }
        const failure = await runFuzzModel(model, { seed: fuzzSeed, runs, endOnFailure: true });
        if (failure !== undefined) {
            console.log(failure);
        }
        results.set(name, { runs, failure });
    }
    return results;
};

const measuresOf = (tails: readonly TailLatency[], concert: ConcertResult): readonly Measure[] => {
    const seeds = `median of ${policySeeds.length} seeds`;
    const latency = tails.map(({ deployment, p99Ms, p99Ratio, bestOtherP99Ratio }) => ({
        name: "tail latency",
        method: `${deployment}, replay with faults at load ${load}, ${seeds}`,
        figure:
            `p99 ${p99Ms} ms, ${p99Ratio} times that of an omniscient queue ` +
            `(best other chooser ${bestOtherP99Ratio})`,
    }));
    const { control } = concert;
    const cost = {
        name: "cost of measuring",
        method: `probes counted by the backend servers, ${concert.entryVms} entry VMs under load`,
        figure:
            `${percent(maxProbeCost(concert, one => one.share))} of a service's server time at most; ` +
            `control ${percent(control.cpuShare)} of a core and ${Math.round(control.bytesPerSecond)} B/s a node at rest`,
    };
    return [...latency, cost];
};

const propertiesOf = (concert: ConcertResult, fuzz: ReadonlyMap<string, FuzzResult>): readonly Property[] => {
    const { traffic, convergeMs, drainMaxMs, beforeDrain, entryVms } = concert;
    const calls = traffic.services.reduce((sum, tally) => sum + tally.calls, 0);
    const trafficMethod = `${calls} calls, ${entryVms} entry VMs replaced`;
    const fuzzMethod = (name: string): string =>
        `${name} fuzz, ${fuzz.get(name)?.runs} runs: ${passed(fuzz, name) ? "no failure" : "FAILED"}`;
    const worstBudget = maxProbeCost(concert, one => one.budgetShare);
    const probes = concert.probeCosts.reduce((sum, one) => sum + one.probes, 0);
    const slowest = Math.max(...convergeMs);
    return [
        {
            name: "measuring stays within its budget",
            method: `${trafficMethod}; ${fuzzMethod("probing")}`,
            figure: `${probes} probes sent, at most ${percent(worstBudget)} of a service's budget`,
            held: worstBudget <= 1 && passed(fuzz, "probing"),
        },
        {
            name: "the whole answer to its own request",
            method: trafficMethod,
            figure: `${traffic.foreign} foreign, ${traffic.cut} cut`,
            held: calls > 0 && traffic.foreign + traffic.cut === 0,
        },
        {
            name: 'what is told "not run" did not run',
            method: `${trafficMethod}; ${fuzzMethod("once")}`,
            figure: `${traffic.falseNotRun} ran of ${traffic.refused} told so`,
            held: calls > 0 && traffic.falseNotRun === 0 && passed(fuzz, "once"),
        },
        {
            name: "a non-idempotent request runs at most once",
            method: `${trafficMethod}; ${fuzzMethod("once")}`,
            figure: `${traffic.doubled} doubled`,
            held: calls > 0 && traffic.doubled === 0 && passed(fuzz, "once"),
        },
        {
            name: "a leaving server gets no new work",
            method: `published as leaving under load, ${beforeDrain} requests in the second before`,
            figure: `last new request after ${Math.round(drainMaxMs)} ms`,
            held: beforeDrain > 0 && drainMaxMs <= targetDrainMs,
        },
        {
            name: "a planned stop cuts nothing",
            method: `${trafficMethod}, bulk exports among the calls`,
            figure: `${traffic.cut} cut, ${traffic.lost} lost`,
            held: calls > 0 && traffic.cut + traffic.lost === 0,
        },
        {
            name: "the accepted text is in force everywhere, for good",
            method: `${convergeMs.length} times seen in force; ${fuzzMethod("config")}`,
            figure: `slowest after ${Math.round(slowest)} ms`,
            held: slowest <= targetConvergeMs && passed(fuzz, "config"),
        },
    ];
};

const passed = (fuzz: ReadonlyMap<string, FuzzResult>, name: string): boolean => {
    const found = fuzz.get(name);
    return found !== undefined && found.failure === undefined;
};

const maxProbeCost = (
    { probeCosts }: ConcertResult,
    of: (one: ConcertResult["probeCosts"][number]) => number,
): number => Math.max(...probeCosts.map(of));

const printAll = (measures: readonly Measure[], properties: readonly Property[]): void => {
    for (const { name, method, figure } of measures) {
        console.log(`${name} | ${method} | ${figure}`);
    }
    for (const { name, method, figure, held } of properties) {
        console.log(`${name} | ${method} | ${figure} | ${held ? "held" : "NOT HELD"}`);
    }
};

const summarize = (
    tails: readonly TailLatency[],
    concert: ConcertResult,
    properties: readonly Property[],
): Readonly<Record<string, unknown>> => {
    const { cut, doubled, lost, falseNotRun, foreign } = concert.traffic;
    return {
        tailLatency: tails,
        measuring: concert.probeCosts,
        convergeMaxMs: Math.round(Math.max(...concert.convergeMs)),
        drainMaxMs: Math.round(concert.drainMaxMs),
        controlBytesPerSecond: Math.round(concert.control.bytesPerSecond),
        controlCpuShare: Number(concert.control.cpuShare.toFixed(4)),
        cut,
        doubled,
        lost,
        falseNotRun,
        foreign,
        notHeld: properties.filter(property => !property.held).map(property => property.name),
    };
};

const roundToHundredths = (value: number): number => Number(value.toFixed(2));

const percent = (share: number): string => `${(100 * share).toFixed(3)}%`;
