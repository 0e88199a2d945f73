/** The load tool: sends a seeded or recorded load, and checks that every answer is whole and the caller's own. */

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

const number = (text: string): number => {
    const value = Number(text);
    if (!(value > 0)) {
        throw new InvalidArgumentError("Write a number above 0.");
    }
    return value;
};

const whole = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidArgumentError("Write a whole number.");
    }
    return Number(text);
};

const collect = (value: string, before: readonly string[] | undefined): readonly string[] => [
    ...(before ?? []),
    value,
];

const notes = `
Calls are sent when they are due, whether or not earlier ones were answered, and times count from
when a call was due. Without --entry a deployment is started on loopback: the platform's stand-in,
the backend servers of the mix at their full number, and entry VMs. With --entry the services of the
mix have to be there; --check own wants backend servers that answer the pattern of a request's id
(packages/bench/dist/src/loadserver.js), --check whole is for any others.

Exit status: 0 if nothing was cut, foreign, mangled, doubled, lost or untrue; 1 otherwise.

  cut      an answer began and did not come whole
  foreign  an answer had bytes of something else than the request's own answer
  mangled  a request reached the server with another length
  doubled  a non-idempotent request ran more than once
  lost     an answered non-idempotent request never ran
  untrue   a request refused as "not run" ran

The last three are counted by the backend servers, so they stay 0 with --entry.`;

const command = new Command("load")
    .description("Sends a mixed load of real calls through entry VMs, and checks and times every answer.")
    .option("--entry <address>", "IP:port of an entry VM; may be repeated", collect)
    .option("--entries <count>", "entry VMs to start, without --entry", whole, 3)
    .addOption(new Option("--mix <name>", "workload").choices(Object.keys(mixes)).default("ratiba"))
    .option("--rate <calls>", "calls a second", number, 200)
    .option("--seconds <seconds>", "how long calls fall due", number, 20)
    .option("--seed <number>", "seed of the load", whole, 1)
    .option("--tenants <count>", "tenants that the calls come from", whole, 5)
    .option("--attempts <count>", "attempts of a call before its caller gives up", whole, 5)
    .addOption(
        new Option("--check <what>", "what every answer is checked for")
            .choices(["own", "whole"])
            .default("own"),
    )
    .option("--roll", "stop and start each entry VM in turn meanwhile, without --entry")
    .option("--trace <file>", "send a recorded load: one call as JSON on each line, as --record writes it")
    .option("--record <file>", "write the load's calls to a file")
    .option("--json <file>", "write the report as JSON")
    .option("--svg <file>", "write a plot of the latencies as SVG")
    .addHelpText("after", notes);

const planOf = (flags: Flags): readonly PlannedCall[] => {
    if (flags.trace !== undefined) {
        return readTrace(flags.trace);
    }
    const { rate, seconds, tenants, seed } = flags;
    const { kinds } = mixes[flags.mix];
    return generatePlan({ kinds, rate, seconds, tenants, name: `load-${seed}` }, new SeededRandom(seed));
};

/** Sends every call when it is due; a late start counts as the call's own time. */
const send = async (calls: readonly PlannedCall[], caller: LoadCaller, report: LoadReport): Promise<void> => {
    const start = monotonicMs();
    const running: Promise<void>[] = [];
    for (const call of calls) {
        const dueAt = start + call.atMs;
        const aheadMs = dueAt - monotonicMs();
        if (aheadMs > 0) {
            await delay(aheadMs);
        }
        running.push(caller.run(call, dueAt).then(result => report.add(result)));
    }
    await Promise.all(running);
};

const write = async (flags: Flags, collected: LoadReport, report: Report): Promise<void> => {
    console.log(formatReport(report));
    if (flags.json !== undefined) {
        writeFileSync(flags.json, `${JSON.stringify(report, undefined, 2)}\n`);
    }
    if (flags.svg !== undefined) {
        writeFileSync(flags.svg, await collected.svg());
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
    const collected = new LoadReport();
    try {
        const rolled = flags.roll ? deployment?.rollingRestart() : undefined;
        await send(calls, caller, collected);
        await rolled;
        const report = collected.report(await deployment?.runs());
        await write(flags, collected, report);
        return Object.values(report.faults).every(count => count === 0);
    } finally {
        caller.close();
        await deployment?.stop();
    }
};

command.parse();
process.exitCode = (await run(command.opts())) ? 0 : 1;
