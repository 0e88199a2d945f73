/** The `overload` measurement: goodput, refusals and recovery before, during and after an overload. */

import { Command } from "commander";
import { runScenario } from "./simulation.js";
import { type Outcome, quantile } from "./simulationscenario.js";
import { deploymentOf } from "./simulationdeployment.js";
import { readTrace } from "./trace.js";

/** Result of one overload run. */
export interface OverloadResult {
    readonly overload: number;
    readonly callerRetries: number;
    /** Calls answered per second: mean before the overload, minimum and mean during it. */
    readonly before: number;
    readonly leastDuring: number;
    readonly during: number;
    /** Goodput during the overload as a share of the slots' capacity. */
    readonly goodputShare: number;
    /** 99th percentile of the time until a refusal, in milliseconds. */
    readonly refusalP99: number;
    /** Time from the overload's end to the last later arrival that is refused, failed or slow, in seconds. */
    readonly recoveryS: number;
    /** 99th percentile of the latency of calls answered during the overload, in milliseconds. */
    readonly answeredP99: number;
}

/** Runs 70% load for 5 s, `overload` (1 is full load) for 10 s, then 70% again for 10 s. */
export const measureOverload = (
    deployment: string,
    overload: number,
    callerRetries: number,
    seed: number,
): OverloadResult => {
    const { service, trace, dispatchers, firstDispatcherShare } = deploymentOf(deployment);
    const loadAt = (now: number): number => (now >= overloadFromMs && now < overloadToMs ? overload : 0.7);
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
        .description("goodput, refusals and recovery around 10 s of overload")
        .option("--deployment <name>", "ratiba (stops lookup) or aqrl (catalogue)", "ratiba")
        .option("--seed <number>", "seed", Number, 1)
        .action(({ deployment, seed }: { readonly deployment: string; readonly seed: number }) => {
            const runs = [1.5, 3].flatMap(overload =>
                [0, 5].map(retries => measureOverload(deployment, overload, retries, seed)),
            );
            console.table(runs);
            runs.forEach(it => console.log(JSON.stringify(it)));
        });

interface OverloadSettings {
    readonly overload: number;
    readonly callerRetries: number;
    readonly slots: number;
}

const summarize = (
    outcomes: readonly Outcome[],
    { overload, callerRetries, slots }: OverloadSettings,
): OverloadResult => {
    const answered = outcomes.filter(it => it.result === "answered");
    const goodput = (from: number, to: number): number => {
        const ended = answered.filter(it => it.endedAt >= from && it.endedAt < to);
        return (1_000 * ended.length) / (to - from);
    };
    const seconds = Array.from(
        { length: (overloadToMs - overloadFromMs) / 1_000 },
        (_, at) => overloadFromMs + 1_000 * at,
    );
    const during = goodput(overloadFromMs, overloadToMs);
    const inOverload = answered.filter(it => it.arrivedAt >= overloadFromMs && it.arrivedAt < overloadToMs);
    const refusals = outcomes.flatMap(it => it.refusalTimesMs.map(latencyMs => ({ ...it, latencyMs })));
    return {
        overload,
        callerRetries,
        before: goodput(1_000, overloadFromMs),
        leastDuring: Math.min(...seconds.map(it => goodput(it, it + 1_000))),
        during,
        goodputShare: during / (slots * 100),
        refusalP99: quantile(refusals, 0.99),
        recoveryS: recoverySeconds(outcomes),
        answeredP99: quantile(inOverload, 0.99),
    };
};

/**
 * Returns when the last refused, failed or slow call arrived, in seconds after the overload. A call is slow above
 * 100 ms, a tenth of the deadline.
 */
const recoverySeconds = (outcomes: readonly Outcome[]): number => {
    const affected = outcomes.filter(
        it => it.arrivedAt >= overloadToMs && (it.result !== "answered" || it.latencyMs > 100),
    );
    const last = affected.reduce((max, it) => Math.max(max, it.arrivedAt), overloadToMs);
    return (last - overloadToMs) / 1_000;
};

const overloadFromMs = 5_000;
const overloadToMs = 15_000;
const durationMs = 25_000;
