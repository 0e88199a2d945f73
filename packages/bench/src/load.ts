/** Load generator: sends a generated or recorded load; checks that every response is complete and fits its request. */

import { writeFileSync } from "node:fs";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { Command, InvalidArgumentError, Option } from "commander";
import { delay, monotonicMs } from "./clock.js";
import { LoadCaller } from "./loadcaller.js";
import { LoadDeployment } from "./loaddeployment.js";
import { mixes } from "./loadmix.js";
import { generatePlan, readTrace, writeTrace, type PlannedCall } from "./loadplan.js";
import { formatReport, LoadReport, type Report } from "./loadreport.js";

interface Flags {
    readonly entry?: readonly string[];
    readonly entries: number;
    readonly mix: keyof typeof mixes;
    readonly rate: number;
    readonly seconds: number;
    readonly seed: number;
    readonly tenants: number;
    readonly attempts: number;
    readonly check: "own" | "whole";
    readonly roll?: boolean;
    readonly trace?: string;
    readonly record?: string;
    readonly json?: string;
    readonly svg?: string;
}

const parsePositiveNumber = (text: string): number => {
    const value = Number(text);
    if (!(value > 0)) {
        throw new InvalidArgumentError("Expected a number above 0.");
    }
    return value;
};

const parseInteger = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidArgumentError("Expected a whole number.");
    }
    return Number(text);
};

const collect = (value: string, before: readonly string[] | undefined): readonly string[] => [
    ...(before ?? []),
    value,
];

const helpNotes = `
The load is open-loop: calls are sent at their due times, whether or not earlier ones were answered,
and latencies count from the due time. Without --entry a deployment is started on loopback: a
simulated platform, all backend servers of the mix, and entry VMs. With --entry the services of the
mix must exist; --check own needs backend servers that respond with the byte pattern of the request's
id (packages/bench/dist/src/loadserver.js), --check whole works with any others.

Exit status: 0 if no call was cut, foreign, mangled, doubled, lost or untrue; 1 otherwise.

  cut      a response began but was incomplete
  foreign  a response had bytes that don't belong to its request
  mangled  a request reached the server with a different length
  doubled  a non-idempotent request ran more than once
  lost     an answered non-idempotent request never ran
  untrue   a request refused as "not run" did run

The last three are counted by the backend servers, so they stay 0 with --entry.`;

const command = new Command("load")
    .description(
        "Sends a mixed load of calls through entry VMs; checks every response and measures its latency.",
    )
    .option("--entry <address>", "IP:port of an entry VM; may be repeated", collect)
    .option("--entries <count>", "entry VMs to start, without --entry", parseInteger, 3)
    .addOption(new Option("--mix <name>", "workload").choices(Object.keys(mixes)).default("ratiba"))
    .option("--rate <calls>", "calls per second", parsePositiveNumber, 200)
    .option("--seconds <seconds>", "duration of the load", parsePositiveNumber, 20)
    .option("--seed <number>", "random seed of the load", parseInteger, 1)
    .option("--tenants <count>", "number of tenants that send calls", parseInteger, 5)
    .option("--attempts <count>", "attempts per call", parseInteger, 5)
    .addOption(
        new Option("--check <what>", "own: complete and matching the request; whole: complete")
            .choices(["own", "whole"])
            .default("own"),
    )
    .option("--roll", "restart each entry VM in turn during the load, without --entry")
    .option("--trace <file>", "send a recorded load: one call as JSON per line, as written by --record")
    .option("--record <file>", "write the calls of the load to a file")
    .option("--json <file>", "write the report as JSON")
    .option("--svg <file>", "write a plot of the latencies as SVG")
    .addHelpText("after", helpNotes);

const planOf = (flags: Flags): readonly PlannedCall[] => {
    if (flags.trace !== undefined) {
        return readTrace(flags.trace);
    }
    const { rate, seconds, tenants, seed } = flags;
    const { kinds } = mixes[flags.mix];
    return generatePlan({ kinds, rate, seconds, tenants, name: `load-${seed}` }, new SeededRandom(seed));
};

/** Sends every call at its due time; a delayed start counts towards the call's latency. */
const sendAll = async (
    calls: readonly PlannedCall[],
    caller: LoadCaller,
    report: LoadReport,
): Promise<void> => {
    const start = monotonicMs();
    const running: Promise<void>[] = [];
    for (const call of calls) {
        const dueAt = start + call.atMs;
        const waitMs = dueAt - monotonicMs();
        if (waitMs > 0) {
            await delay(waitMs);
        }
        running.push(caller.run(call, dueAt).then(result => report.add(result)));
    }
    await Promise.all(running);
};

const writeOutput = async (flags: Flags, results: LoadReport, report: Report): Promise<void> => {
    console.log(formatReport(report));
    if (flags.json !== undefined) {
        writeFileSync(flags.json, `${JSON.stringify(report, undefined, 2)}\n`);
    }
    if (flags.svg !== undefined) {
        writeFileSync(flags.svg, await results.svg());
    }
};

const run = async (flags: Flags): Promise<boolean> => {
    const calls = planOf(flags);
    if (flags.record !== undefined) {
        writeTrace(flags.record, calls);
    }
    const deployment = flags.entry ? undefined : await LoadDeployment.start(mixes[flags.mix], flags.entries);
    const entries = flags.entry ?? deployment?.entries ?? [];
    const caller = new LoadCaller({ entries, attempts: flags.attempts, checkPattern: flags.check === "own" });
    const results = new LoadReport();
    try {
        const restarts = flags.roll ? deployment?.rollingRestart() : undefined;
        await sendAll(calls, caller, results);
        await restarts;
        const report = results.report(await deployment?.runs());
        await writeOutput(flags, results, report);
        return Object.values(report.faults).every(count => count === 0);
    } finally {
        caller.close();
        await deployment?.stop();
    }
};

command.parse();
process.exitCode = (await run(command.opts())) ? 0 : 1;
