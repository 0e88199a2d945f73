/** The `policy` measurement: latency of every chooser compared to an omniscient queue on the same trace. */

import type { ChooserName } from "@bramleymoor/model/spec";
import { chooserNames } from "@bramleymoor/model/spec";
import { Command, Option } from "commander";
import { runScenario } from "./simulation.js";
import { quantile, type SimulationResult, type Scenario } from "./simulationscenario.js";
import { deploymentOf } from "./simulationdeployment.js";
import { readTrace } from "./trace.js";

/** One row of the table: a chooser with one setting. Latencies in milliseconds. */
export interface PolicyRow {
    readonly chooser: Scenario["chooser"];
    readonly load: number;
    readonly faults: boolean;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
    /** p99 and p999 as multiples of the omniscient queue's. */
    readonly p99Ratio: number;
    readonly p999Ratio: number;
    /** Shares of all calls: not answered, hedged, retried. */
    readonly refused: number;
    readonly hedges: number;
    readonly retries: number;
    /** Control bytes per second that the busiest entry VM sent. */
    readonly controlBytes: number;
}

/** Settings of a measurement. */
export interface PolicySettings {
    readonly deployment: string;
    readonly load: number;
    readonly faults: boolean;
    readonly seeds: readonly number[];
    /** Entry VMs that dispatch the service with the shipped chooser. */
    readonly dispatchers: number;
    /** Share of the calls that arrives at the first of them. */
    readonly firstDispatcherShare: number;
    /** Virtual duration of a run; the deployment's own if undefined. */
    readonly durationMs?: number;
}

/** Returns one row for each chooser, with the median over the seeds of every figure. */
export const measureChoosers = (
    settings: PolicySettings,
    choosers: readonly ChooserName[],
): readonly PolicyRow[] => {
    const rowsBySeed = settings.seeds.map(seed => measureSeed(settings, choosers, seed));
    return rowsBySeed[0]!.map((row, at) =>
        medianRow(
            row,
            rowsBySeed.map(rows => rows[at]!),
        ),
    );
};

/** The `policy` subcommand. */
export const policyCommand = (): Command =>
    new Command("policy")
        .description("every chooser against an omniscient queue, simulated under virtual time")
        .option("--deployment <name>", "ratiba (stops lookup) or aqrl (catalogue)", "ratiba")
        .option("--load <share>", "share of the slots' capacity", Number, 0.7)
        .option("--seed <number>", "first seed", Number, 1)
        .option("--seeds <count>", "number of seeds; the median is shown", Number, 1)
        .option("--dispatchers <count>", "entry VMs that dispatch the service with late binding", Number)
        .option("--skew <share>", "share of the calls that arrives at the first entry VM", Number)
        .addOption(
            new Option("--faults <which>", "runs with faults, without, or both")
                .choices(Object.keys(faultChoices))
                .default("both"),
        )
        .option("--only <choosers>", "choosers to run, comma-separated")
        .action((options: Options) => report(options));

interface Options {
    readonly deployment: string;
    readonly load: number;
    readonly seed: number;
    readonly seeds: number;
    readonly dispatchers?: number;
    readonly skew?: number;
    readonly faults: keyof typeof faultChoices;
    readonly only?: string;
}

const report = (options: Options): void => {
    const names = options.only?.split(",") ?? chooserNames;
    const choosers = chooserNames.filter(it => names.includes(it));
    const { deployment, load } = options;
    const defaults = deploymentOf(deployment);
    const dispatchers = options.dispatchers ?? defaults.dispatchers;
    const seeds = Array.from({ length: options.seeds }, (_, at) => options.seed + at);
    const defaultShare =
        dispatchers === defaults.dispatchers ? defaults.firstDispatcherShare : 1 / dispatchers;
    const firstDispatcherShare = options.skew ?? defaultShare;
    const settings = { deployment, load, seeds, dispatchers, firstDispatcherShare };
    const rows = faultChoices[options.faults].flatMap(faults =>
        measureChoosers({ ...settings, faults }, choosers),
    );
    console.table(rows.map(formatRow));
    console.log(
        JSON.stringify(
            summarize(
                deployment,
                rows.filter(it => it.faults),
            ),
        ),
    );
};

const summarize = (deployment: string, rows: readonly PolicyRow[]): Readonly<Record<string, unknown>> => {
    const shipped = rows.find(it => it.chooser === chooserNames[0])!;
    const { chooser, load, faults, p99Ratio, p999Ratio } = shipped;
    const baselines = rows.filter(it => it !== shipped && it.chooser !== "omniscient");
    const bestBaselineP99Ratio = Math.min(...baselines.map(it => it.p99Ratio));
    return { chooser, deployment, load, faults, p99Ratio, p999Ratio, bestBaselineP99Ratio };
};

const measureSeed = (
    settings: PolicySettings,
    choosers: readonly ChooserName[],
    seed: number,
): readonly PolicyRow[] => {
    const bound = runScenario(scenarioOf(settings, "omniscient", seed));
    const rowOf = (chooser: Scenario["chooser"], result: SimulationResult): PolicyRow =>
        makeRow(settings, chooser, result, bound);
    const rows = choosers.map(it => rowOf(it, runScenario(scenarioOf(settings, it, seed))));
    return [rowOf("omniscient", bound), ...rows];
};

const scenarioOf = (settings: PolicySettings, chooser: Scenario["chooser"], seed: number): Scenario => {
    const { service, trace, durationMs } = deploymentOf(settings.deployment);
    const isShipped = chooser === chooserNames[0];
    return {
        service,
        trace: readTrace(trace),
        chooser,
        faults: settings.faults,
        seed,
        durationMs: settings.durationMs ?? durationMs,
        loadAt: () => settings.load,
        dispatchers: isShipped ? settings.dispatchers : baselineEntryVms,
        firstDispatcherShare: isShipped ? settings.firstDispatcherShare : 1 / baselineEntryVms,
        callerRetries: 0,
    };
};

const makeRow = (
    { load, faults }: PolicySettings,
    chooser: Scenario["chooser"],
    result: SimulationResult,
    bound: SimulationResult,
): PolicyRow => {
    const [p50, p99, p999] = [0.5, 0.99, 0.999].map(q => quantile(result.outcomes, q)) as [
        number,
        number,
        number,
    ];
    const calls = result.outcomes.length;
    return {
        chooser,
        load,
        faults,
        p50,
        p99,
        p999,
        p99Ratio: p99 / quantile(bound.outcomes, 0.99),
        p999Ratio: p999 / quantile(bound.outcomes, 0.999),
        refused: result.outcomes.filter(it => it.result !== "answered").length / calls,
        hedges: result.hedges / calls,
        retries: result.retries / calls,
        controlBytes: result.controlBytes,
    };
};

const medianRow = (row: PolicyRow, rows: readonly PolicyRow[]): PolicyRow => {
    const entries = Object.entries(row).map(([key, value]) => {
        const values = rows.map(it => it[key as keyof PolicyRow]);
        return [key, typeof value === "number" ? median(values as readonly number[]) : value];
    });
    return Object.fromEntries(entries) as PolicyRow;
};

const median = (values: readonly number[]): number =>
    [...values].sort((a, b) => a - b)[values.length >> 1] ?? Number.NaN;

const formatRow = (row: PolicyRow): Readonly<Record<string, string>> =>
    Object.fromEntries(Object.entries(row).map(([key, value]) => [key, formatValue(value)]));

const formatValue = (value: string | number | boolean): string =>
    typeof value === "number" ? String(Number(value.toPrecision(3))) : String(value);

const faultChoices = { on: [true], off: [false], both: [false, true] } as const;

/** Entry VMs that dispatch the service with any other chooser. */
const baselineEntryVms = 15;
