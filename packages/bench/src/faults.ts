/** Real processes under faults: killed and paused entry VMs, a platform that is down, a backend server that cuts. */

import { SeededRandom } from "@bramleymoor/dispatch/random";
import { Command } from "commander";
import { delay } from "./clock.js";
import { Fleet } from "./fleet.js";
import { ratibaDomains, RatibaServers, ratibaStreams } from "./ratiba.js";
import { TrafficGenerator, type TrafficResult } from "./traffic.js";

const entryCount = 7;
const ttlMs = 1_000;
const stepMs = 3_000;
const trafficShare = 0.4;

/** What a run under faults comes to. */
export interface FaultsResult extends TrafficResult {
    readonly calls: number;
    /** Outcomes unknown to their callers; allowed, since processes were killed. */
    readonly unknown: number;
    /** Whether every entry VM, those that started anew included, served the text while the platform was down. */
    readonly recovered: boolean;
    /** Whether every entry VM was on the newest version at the end, published while the platform was back. */
    readonly converged: boolean;
}

interface Step {
    readonly what: string;
    readonly act: () => Promise<void>;
}

/** The "faults" subcommand. */
export const faultsCommand = (): Command =>
    new Command("faults")
        .description(
            "killed and paused entry VMs, platform down, a backend server that cuts, judged by counts",
        )
        .option("--seed <n>", "seed of the traffic", "1")
        .action(async ({ seed }: { readonly seed: string }) => {
            const result = await measureFaults(Number(seed));
            const { calls, unknown, doubled, falseNotRun, foreign, refused, recovered, converged } = result;
            console.log(`${calls} calls: ${unknown} outcomes unknown, ${refused} refused as not run`);
            console.log(
                JSON.stringify({
                    calls,
                    unknown,
                    refused,
                    doubled,
                    falseNotRun,
                    foreign,
                    recovered,
                    converged,
                }),
            );
            const wrong = doubled + falseNotRun + foreign;
            process.exitCode = wrong === 0 && recovered && converged ? 0 : 1;
        });

/** Runs the deployment through the faults, one after another, while calls run. */
export const measureFaults = async (seed: number): Promise<FaultsResult> => {
    const fleet = await Fleet.start();
    try {
        const servers = await RatibaServers.start(fleet);
        fleet.startEntries(entryCount, ratibaDomains, ttlMs, { logLevel: "warn" });
        await fleet.publishVmList();
        await fleet.publish(servers.configText(), 0, "faults-1");
        await untilVersion(fleet, 1);
        const streams = ratibaStreams.map(one => ({ ...one, perSecond: one.perSecond * trafficShare }));
        const entries = fleet.entries.map(entry => entry.callerAddress);
        const traffic = new TrafficGenerator(streams, entries, new SeededRandom(seed));
        const sending = traffic.run();
        for (const { what, act } of steps(fleet, servers)) {
            console.log(what);
            await act();
            await delay(stepMs);
        }
        const recovered = await untilVersion(fleet, 1);
        console.log("the platform is back");
        await fleet.controlPlatform("/test/knobs", { down: false });
        await fleet.publish(servers.configText(new Set(), "500"), 1, "faults-2");
        const converged = await untilVersion(fleet, 2);
        await traffic.stop();
        await sending;
        return summary(traffic.result(await servers.runs()), recovered, converged);
    } finally {
        await fleet.stop();
    }
};

const steps = (fleet: Fleet, servers: RatibaServers): readonly Step[] => {
    const [killed, paused, other] = fleet.entries;
    const desk = servers.processOf("publish-desk");
    const knobs = (body: unknown): Promise<void> => fleet.controlPlatform("/test/knobs", body);
    const signal = (name: NodeJS.Signals, entry = paused) => Promise.resolve(entry?.child.signal(name));
    return [
        { what: "the platform goes down", act: () => knobs({ down: true }) },
        { what: "an entry VM is killed", act: () => signal("SIGKILL", killed) },
        { what: "another one is paused", act: () => signal("SIGSTOP") },
        {
            what: "a server of the publish desk cuts after reading",
            act: () => desk.setKnobs({ cut: "after-reading" }, desk.ports[0]),
        },
        { what: "the paused entry VM wakes", act: () => signal("SIGCONT") },
        {
            what: "the killed entry VM starts anew, the platform still down",
            act: () => Promise.resolve(killed?.restart()),
        },
        { what: "a third entry VM is killed and starts anew at once", act: () => killAndRestart(other) },
        {
            what: "the server cuts before reading",
            act: () => desk.setKnobs({ cut: "before-reading" }, desk.ports[0]),
        },
    ];
};

const killAndRestart = async (entry: Fleet["entries"][number] | undefined): Promise<void> => {
    entry?.child.signal("SIGKILL");
    await entry?.child.exited;
    entry?.restart();
};

const attempts = 200;
const pollMs = 50;

/** Whether every entry VM came to follow the version within 10 s. */
const untilVersion = async (fleet: Fleet, version: number): Promise<boolean> => {
    for (let attempt = 0; attempt < attempts; attempt++) {
        const views = await Promise.all(
            fleet.entries.map(entry =>
                entry
                    .fetchJson<{ readonly version?: { readonly number: number } }>("/status")
                    .catch(() => ({})),
            ),
        );
        if (views.every(view => "version" in view && view.version?.number === version)) {
            return true;
        }
        await delay(pollMs);
    }
    return false;
};

const summary = (result: TrafficResult, recovered: boolean, converged: boolean): FaultsResult => ({
    ...result,
    calls: result.services.reduce((sum, tally) => sum + tally.calls, 0),
    unknown: result.services.reduce((sum, tally) => sum + tally.unknown, 0),
    recovered,
    converged,
});
