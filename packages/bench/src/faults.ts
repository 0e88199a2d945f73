/** The `faults` measurement: killed and paused entry VMs, a platform outage, and a server that cuts connections. */

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

/** Results of a run under faults. */
export interface FaultsResult extends TrafficResult {
    readonly calls: number;
    /** Calls whose callers don't know the outcome; allowed, since processes are killed. */
    readonly unknown: number;
    /** Whether every entry VM, restarted ones included, served the configuration while the platform was down. */
    readonly recovered: boolean;
    /** Whether every entry VM applied the version published after the platform was back. */
    readonly converged: boolean;
}

interface FaultStep {
    readonly description: string;
    readonly run: () => Promise<void>;
}

/** Returns the `faults` subcommand. */
export const faultsCommand = (): Command =>
    new Command("faults")
        .description(
            "killed and paused entry VMs, platform down, a backend server that cuts connections; checked by counts",
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

/** Injects the faults into a deployment one after another while calls run. */
export const measureFaults = async (seed: number): Promise<FaultsResult> => {
    const fleet = await Fleet.start();
    try {
        const servers = await RatibaServers.start(fleet);
        fleet.startEntries(entryCount, ratibaDomains, ttlMs, { logLevel: "warn" });
        await fleet.publishVmList();
        await fleet.publish(servers.configText(), 0, "faults-1");
        await waitForVersion(fleet, 1);
        const streams = ratibaStreams.map(one => ({ ...one, perSecond: one.perSecond * trafficShare }));
        const entries = fleet.entries.map(entry => entry.callerAddress);
        const traffic = new TrafficGenerator(streams, entries, new SeededRandom(seed));
        const sending = traffic.run();
        for (const { description, run } of faultSteps(fleet, servers)) {
            console.log(description);
            await run();
            await delay(stepMs);
        }
        const recovered = await waitForVersion(fleet, 1);
        console.log("the platform is back");
        await fleet.controlPlatform("/test/knobs", { down: false });
        await fleet.publish(servers.configText(new Set(), "500"), 1, "faults-2");
        const converged = await waitForVersion(fleet, 2);
        await traffic.stop();
        await sending;
        return summarize(traffic.result(await servers.runs()), recovered, converged);
    } finally {
        await fleet.stop();
    }
};

const faultSteps = (fleet: Fleet, servers: RatibaServers): readonly FaultStep[] => {
    const [killed, paused, other] = fleet.entries;
    const publishDesk = servers.processOf("publish-desk");
    const setPlatformBehavior = (body: unknown): Promise<void> => fleet.controlPlatform("/test/knobs", body);
    const signal = (name: NodeJS.Signals, entry = paused) => Promise.resolve(entry?.child.signal(name));
    return [
        { description: "the platform goes down", run: () => setPlatformBehavior({ down: true }) },
        { description: "an entry VM is killed", run: () => signal("SIGKILL", killed) },
        { description: "another entry VM is paused", run: () => signal("SIGSTOP") },
        {
            description: "a server of publish-desk cuts connections after reading",
            run: () => publishDesk.setBehavior({ cut: "after-reading" }, publishDesk.ports[0]),
        },
        { description: "the paused entry VM resumes", run: () => signal("SIGCONT") },
        {
            description: "the killed entry VM restarts while the platform is down",
            run: () => Promise.resolve(killed?.restart()),
        },
        {
            description: "a third entry VM is killed and restarts at once",
            run: () => killAndRestart(other),
        },
        {
            description: "the server cuts connections before reading",
            run: () => publishDesk.setBehavior({ cut: "before-reading" }, publishDesk.ports[0]),
        },
    ];
};

const killAndRestart = async (entry: Fleet["entries"][number] | undefined): Promise<void> => {
    entry?.child.signal("SIGKILL");
    await entry?.child.exited;
    entry?.restart();
};

const maxPolls = 200;
const pollMs = 50;

/** Polls until every entry VM has applied the version; returns whether that happened within 10 s. */
const waitForVersion = async (fleet: Fleet, version: number): Promise<boolean> => {
    for (let attempt = 0; attempt < maxPolls; attempt++) {
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

const summarize = (result: TrafficResult, recovered: boolean, converged: boolean): FaultsResult => ({
    ...result,
    calls: result.services.reduce((sum, tally) => sum + tally.calls, 0),
    unknown: result.services.reduce((sum, tally) => sum + tally.unknown, 0),
    recovered,
    converged,
});
