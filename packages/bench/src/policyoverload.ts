/** The `overload` measurement: goodput, refusals and recovery around a time of too much load. */

import { Command } from "commander";
import { runScenario } from "./simulation.js";
import { type Outcome, quantile } from "./simulationscenario.js";
import { deploymentOf } from "./simulationdeployment.js";
import { readTrace } from "./trace.js";

/** What one run around an overload showed. */
export interface OverloadResult {
    readonly overload: number;
    readonly callerRetries: number;
    /** Calls answered per second: before the overload, the least and the mean during it. */
    readonly before: number;
    readonly leastDuring: number;
    readonly during: number;
    /** Goodput during the overload as a share of what the slots can do at most. */
    readonly goodputShare: number;
    /** 99th percentile of the time until a refusal is told, in milliseconds. */
    readonly refusalP99: number;
    /** Time from the overload's end until a second in which every call is answered, in seconds. */
    readonly recoveryS: number;
    /** 99th percentile of answered calls' latency during the overload, in milliseconds. */
    readonly answeredP99: number;
}

/** Runs 70% load, then `overload` for 10 s, then 70% again. */
export const measureOverload = (
    deployment: string,
    overload: number,
    callerRetries: number,
    seed: number,
): OverloadResult => {
    const { service, trace, dispatchers, firstDispatcherShare } = deploymentOf(deployment);
    const loadAt = (now: number): number => (now >= fromMs && now < toMs ? overload : 0.7);
    const { outcomes } = runScenario({
        service,
        trace: readTrace(trace),
        chooser: "late-binding",
        faults: false,
        seed,
        durationMs,
        loadAt,
        dispatchers,
        firstDispatcherShare,
        callerRetries,
    });
    return summarize(outcomes, {
        overload,
        callerRetries,
        slots: service.servers.reduce((sum, it) => sum + it.slots, 0),
    });
};

/** The `overload` subcommand. */
export const overloadCommand = (): Command =>
    new Command("overload")
        .description("goodput, refusals and recovery around 10 s of too much load")
        .option("--deployment <name>", "ratiba (stops lookup) or aqrl (catalogue)", "ratiba")
        .option("--seed <number>", "seed", Number, 1)
        .action(({ deployment, seed }: { readonly deployment: string; readonly seed: number }) => {
            const runs = [1.5, 3].flatMap(overload =>
                [0, 5].map(retries => measureOverload(deployment, overload, retries, seed)),
            );
            console.table(runs);
            runs.forEach(it => console.log(JSON.stringify(it)));
        });

interface Setting {
    readonly overload: number;
    readonly callerRetries: number;
    readonly slots: number;
}

const summarize = (
    outcomes: readonly Outcome[],
    { overload, callerRetries, slots }: Setting,
): OverloadResult => {
    const answered = outcomes.filter(it => it.result === "answered");
    const goodput = (from: number, to: number): number => {
        const ended = answered.filter(it => it.endedAt >= from && it.endedAt < to);
        return (1_000 * ended.length) / (to - from);
    };
    const seconds = Array.from({ length: (toMs - fromMs) / 1_000 }, (_, at) => fromMs + 1_000 * at);
    const during = goodput(fromMs, toMs);
    const inOverload = answered.filter(it => it.arrivedAt >= fromMs && it.arrivedAt < toMs);
    const refusals = outcomes.flatMap(it => it.refusalTimesMs.map(latencyMs => ({ ...it, latencyMs })));
    return {
        overload,
        callerRetries,
        before: goodput(1_000, fromMs),
        leastDuring: Math.min(...seconds.map(it => goodput(it, it + 1_000))),
        during,
        goodputShare: during / (slots * 100),
        refusalP99: quantile(refusals, 0.99),
        recoveryS: recovery(outcomes),
        answeredP99: quantile(inOverload, 0.99),
    };
};

/** Counted in steps of 100 ms: arrivals that are all answered, within a tenth of the deadline. */
const recovery = (outcomes: readonly Outcome[]): number => {
    const late = outcomes.filter(
        it => it.arrivedAt >= toMs && (it.result !== "answered" || it.latencyMs > 100),
    );
    const last = late.reduce((max, it) => Math.max(max, it.arrivedAt), toMs);
    return (last - toMs) / 1_000;
};

const fromMs = 5_000;
const toMs = 15_000;
const durationMs = 25_000;
