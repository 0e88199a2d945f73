/** The `all` measurement: the brief's two measures and its seven properties, a line each. */

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
/** The models that the properties rest on, and their runs. */
const fuzzRuns = { probing: 500, once: 1_000, config: 100 } as const;
/** Entry VMs of the replayed service, and the share of the calls that the first of them gets. */
const replayed = [
    { deployment: "ratiba", dispatchers: 2, firstDispatcherShare: 1, durationMs: 5_000 },
    { deployment: "aqrl", dispatchers: 3, firstDispatcherShare: 1 / 3, durationMs: 2_000 },
] as const;

/** The "all" subcommand; the exit status is 1 if a property did not hold. */
export const allCommand = (): Command =>
    new Command("all")
        .description("the two measures and the seven properties of the brief, a line each")
        .option("--seed <n>", "seed of the traffic", "1")
        .action(async ({ seed }: { readonly seed: string }) => {
            const tails = replayed.map(measureTail);
            const fuzz = await fuzzAll();
            const concert = await runConcert(Number(seed));
            const properties = propertiesOf(concert, fuzz);
            printAll(measuresOf(tails, concert), properties);
            console.log(JSON.stringify(summarize(tails, concert, properties)));
            process.exitCode = properties.every(property => property.held) ? 0 : 1;
        });

/** One line: what, how it was tried, the figure. */
interface Measure {
    readonly name: string;
    readonly tried: string;
    readonly figure: string;
}

interface Property extends Measure {
    readonly held: boolean;
}

/** The shipped chooser in a replay with faults, beside the others. */
interface Tail {
    readonly deployment: string;
    readonly p99Ms: number;
    /** To the all-knowing queue's p99. */
    readonly p99Ratio: number;
    /** The same of the best other chooser. */
    readonly bestOtherP99Ratio: number;
}

/** What the fuzzing of a model came to. */
interface Fuzzed {
    readonly runs: number;
    readonly failure: string | undefined;
}

const measureTail = (replay: (typeof replayed)[number]): Tail => {
    const settings = { ...replay, load, faults: true, seeds: policySeeds };
    const rows = measureChoosers(settings, chooserNames);
    const shipped = rowOf(rows, shippedChooser);
    const others = chooserNames.filter(name => name !== shippedChooser);
    return {
        deployment: replay.deployment,
        p99Ms: rounded(shipped.p99),
        p99Ratio: rounded(shipped.p99Ratio),
        bestOtherP99Ratio: rounded(Math.min(...others.map(name => rowOf(rows, name).p99Ratio))),
    };
};

const rowOf = (rows: readonly PolicyRow[], chooser: PolicyRow["chooser"]): PolicyRow => {
    const found = rows.find(row => row.chooser === chooser);
    if (!found) {
        throw new Error(`no figures of ${chooser}`);
    }
    return found;
};

const fuzzAll = async (): Promise<ReadonlyMap<string, Fuzzed>> => {
    const results = new Map<string, Fuzzed>();
    for (const [name, runs] of Object.entries(fuzzRuns)) {
        const model = fuzzModels.find(one => one.name === name);
        if (!model) {
            throw new Error(`no fuzz model ${name}`);
        }
        const failure = await runFuzzModel(model, { seed: fuzzSeed, runs, endOnFailure: true });
        if (failure !== undefined) {
            console.log(failure);
        }
        results.set(name, { runs, failure });
    }
    return results;
};

const measuresOf = (tails: readonly Tail[], concert: ConcertResult): readonly Measure[] => {
    const seeds = `median of ${policySeeds.length} seeds`;
    const latency = tails.map(({ deployment, p99Ms, p99Ratio, bestOtherP99Ratio }) => ({
        name: "tail latency",
        tried: `${deployment}, replay with faults at load ${load}, ${seeds}`,
        figure:
            `p99 ${p99Ms} ms, ${p99Ratio} times that of an all-knowing queue ` +
            `(best other chooser ${bestOtherP99Ratio})`,
    }));
    const { control } = concert;
    const cost = {
        name: "cost of measuring",
        tried: `probes counted by the backend servers, ${concert.entryVms} entry VMs under load`,
        figure:
            `${percent(worstOf(concert, one => one.share))} of a service's server time at most; ` +
            `control ${percent(control.cpuShare)} of a core and ${Math.round(control.bytesPerSecond)} B/s a node at rest`,
    };
    return [...latency, cost];
};

const propertiesOf = (concert: ConcertResult, fuzz: ReadonlyMap<string, Fuzzed>): readonly Property[] => {
    const { traffic, convergeMs: converge, drainMaxMs, beforeDrain, entryVms } = concert;
    const calls = traffic.services.reduce((sum, tally) => sum + tally.calls, 0);
    const real = `${calls} calls, ${entryVms} entry VMs replaced`;
    const fuzzed = (name: string): string =>
        `${name} fuzz, ${fuzz.get(name)?.runs} runs: ${passed(fuzz, name) ? "no failure" : "FAILED"}`;
    const worstBudget = worstOf(concert, one => one.budgetShare);
    const probes = concert.probeCosts.reduce((sum, one) => sum + one.probes, 0);
    const slowest = Math.max(...converge);
    return [
        {
            name: "measuring stays within its budget",
            tried: `${real}; ${fuzzed("probing")}`,
            figure: `${probes} probes sent, at most ${percent(worstBudget)} of a service's budget`,
            held: worstBudget <= 1 && passed(fuzz, "probing"),
        },
        {
            name: "the whole answer to its own request",
            tried: real,
            figure: `${traffic.foreign} foreign, ${traffic.cut} cut`,
            held: calls > 0 && traffic.foreign + traffic.cut === 0,
        },
        {
            name: 'what is told "not run" did not run',
            tried: `${real}; ${fuzzed("once")}`,
            figure: `${traffic.falseNotRun} ran of ${traffic.refused} told so`,
            held: calls > 0 && traffic.falseNotRun === 0 && passed(fuzz, "once"),
        },
        {
            name: "a non-idempotent request runs at most once",
            tried: `${real}; ${fuzzed("once")}`,
            figure: `${traffic.doubled} doubled`,
            held: calls > 0 && traffic.doubled === 0 && passed(fuzz, "once"),
        },
        {
            name: "a leaving server gets no new work",
            tried: `published as leaving under load, ${beforeDrain} requests in the second before`,
            figure: `last new request after ${Math.round(drainMaxMs)} ms`,
            held: beforeDrain > 0 && drainMaxMs <= targetDrainMs,
        },
        {
            name: "a planned stop cuts nothing",
            tried: `${real}, bulk exports among the calls`,
            figure: `${traffic.cut} cut, ${traffic.lost} lost`,
            held: calls > 0 && traffic.cut + traffic.lost === 0,
        },
        {
            name: "the accepted text is in force everywhere, for good",
            tried: `${converge.length} times seen in force; ${fuzzed("config")}`,
            figure: `slowest after ${Math.round(slowest)} ms`,
            held: slowest <= targetConvergeMs && passed(fuzz, "config"),
        },
    ];
};

const passed = (fuzz: ReadonlyMap<string, Fuzzed>, name: string): boolean => {
    const found = fuzz.get(name);
    return found !== undefined && found.failure === undefined;
};

const worstOf = (
    { probeCosts: measuring }: ConcertResult,
    of: (one: ConcertResult["probeCosts"][number]) => number,
): number => Math.max(...measuring.map(of));

const printAll = (measures: readonly Measure[], properties: readonly Property[]): void => {
    for (const { name, tried, figure } of measures) {
        console.log(`${name} | ${tried} | ${figure}`);
    }
    for (const { name, tried, figure, held } of properties) {
        console.log(`${name} | ${tried} | ${figure} | ${held ? "held" : "NOT HELD"}`);
    }
};

const summarize = (
    tails: readonly Tail[],
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

const rounded = (value: number): number => Number(value.toFixed(2));

const percent = (share: number): string => `${(100 * share).toFixed(3)}%`;
