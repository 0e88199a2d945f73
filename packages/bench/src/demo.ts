/** The demo: the brief's first deployment under mixed load and faults, checked against the counts of the servers. */

import { SeededRandom } from "@bramleymoor/dispatch/random";
import { delay } from "./clock.js";
import { Fleet } from "./fleet.js";
import { ratibaDomains, RatibaServers, ratibaStreams } from "./ratiba.js";
import { TrafficGenerator, type ServiceTally, type TrafficResult } from "./traffic.js";

const entryCount = 5;
const ttlMs = 1_000;
const phaseMs = 5_000;
const probeCostMs = 6;
const runMs = 4 * phaseMs;
const totalSlots: Readonly<Record<string, number>> = {
    "stops-lookup": 28,
    "publish-desk": 16,
    "bulk-export": 12,
    "notice-desk": 12,
};

const print = (text: string): void => console.log(text);

const row = (cells: readonly (string | number)[]): string =>
    cells.map((cell, i) => (i === 0 ? String(cell).padEnd(14) : String(cell).padStart(10))).join("");

const formatPercentile = (tally: ServiceTally, percentile: number): string =>
    (tally.latencies.getValueAtPercentile(percentile) / 1_000).toFixed(1);

const report = async (fleet: Fleet, servers: RatibaServers, result: TrafficResult): Promise<void> => {
    const hedges = await countHedges(fleet);
    print(
        row([
            "service",
            "calls",
            "answered",
            "p50 ms",
            "p99 ms",
            "hedges",
            "measuring",
            "refused",
            "lost",
            "cut",
        ]),
    );
    for (const tally of result.services) {
        const probes = await servers.probes(tally.service);
        const share = (probes * probeCostMs) / (runMs * (totalSlots[tally.service] ?? 1));
        const measuring = `${(100 * share).toFixed(3)}%`;
        const hedged = hedges.get(tally.service) ?? 0;
        const { service, calls, answered, notRun, unknown, cut } = tally;
        print(
            row([
                service,
                calls,
                answered,
                formatPercentile(tally, 50),
                formatPercentile(tally, 99),
                hedged,
                measuring,
                notRun,
                unknown,
                cut,
            ]),
        );
    }
    print(
        `lost ${result.lost}, doubled ${result.doubled}, cut ${result.cut}, ` +
            `told "not run" and ran ${result.falseNotRun}, responses to other requests ${result.foreign}`,
    );
};

const countHedges = async (fleet: Fleet): Promise<ReadonlyMap<string, number>> => {
    const hedges = new Map<string, number>();
    for (const entry of fleet.entries) {
        const text = await entry.fetchText("/metrics").catch(() => "");
        for (const [, service = "", count = "0"] of text.matchAll(
            /bm_hedged_calls_total\{service="([^"]+)"\} (\d+)/g,
        )) {
            hedges.set(service, (hedges.get(service) ?? 0) + Number(count));
        }
    }
    return hedges;
};

const run = async (): Promise<number> => {
    print("Starting the simulated platform, 34 backend servers and 5 entry VMs.");
    const fleet = await Fleet.start();
    try {
        const servers = await RatibaServers.start(fleet);
        fleet.startEntries(entryCount, ratibaDomains, ttlMs);
        await fleet.publishVmList();
        await fleet.publish(servers.configText(), 0, "demo-1");
        await Promise.all(fleet.entries.map(entry => entry.ready()));
        print("Version 1 is in force on all entry VMs; sending calls for 20 s.");
        const entries = fleet.entries.map(entry => entry.callerAddress);
        const traffic = new TrafficGenerator(ratibaStreams, entries, new SeededRandom(1));
        const sending = traffic.run();
        await injectFaults(fleet, servers);
        await traffic.stop();
        await sending;
        const result = traffic.result(await servers.runs());
        await report(fleet, servers, result);
        for (const failure of traffic.failures) {
            print(`  ${failure}`);
        }
        const { lost, doubled, cut, falseNotRun, foreign } = result;
        return lost + doubled + cut + falseNotRun + foreign === 0 ? 0 : 1;
    } finally {
        await fleet.stop();
    }
};

const injectFaults = async (fleet: Fleet, servers: RatibaServers): Promise<void> => {
    const stops = servers.processOf("stops-lookup");
    await delay(phaseMs);
    print("A server of stops-lookup starts to drain.");
    await stops.setBehavior({ draining: true }, stops.ports[0]);
    await delay(phaseMs);
    print("Another server fails fast: it responds with 500 at once.");
    await stops.setBehavior({ failFast: true }, stops.ports[1]);
    await delay(phaseMs);
    const [stopped] = fleet.entries;
    print(`Entry VM ${stopped?.options.id} gets SIGTERM for a planned stop.`);
    const exitStatus = stopped?.child.stop();
    await delay(phaseMs);
    print(`Entry VM ${stopped?.options.id} has exited with status ${await exitStatus}.`);
};

process.exitCode = await run();
