/** The `added` measurement: latency that an entry VM adds to a call, compared with direct calls by the same client. */

import { readFileSync } from "node:fs";
import { get, type IncomingMessage } from "node:http";
import { Command } from "commander";
import { builtScriptPath, ScriptProcess } from "./child.js";
import { delay } from "./clock.js";
import { Fleet, type BackendsProcess, type EntryProcess } from "./fleet.js";
import type { LoadSummary } from "./loadchild.js";

const service = "echo";
const serverCount = 4;
const slotsPerServer = 512;
const concurrency = 64;
const capacityRunMs = 5_000;
const latencyRunMs = 8_000;
const warmUpMs = 3_000;
const downloadCount = 1_000;
const downloadBytes = 1_048_576;
const downloadPauseMs = 1_000;
const settleMs = 2_000;
const targetAddedMs = 1.8;
const kilobytesPerMegabyte = 1_024;

interface Setup {
    readonly fleet: Fleet;
    readonly entry: EntryProcess;
    /** URL of the service through the entry VM, and of one backend server without it. */
    readonly throughUrl: string;
    readonly directUrl: string;
    readonly backends: BackendsProcess;
}

/** Returns the `added` subcommand. */
export const addedCommand = (): Command =>
    new Command("added")
        .description("time added to a call by the entry process, its capacity and its memory")
        .option("--seed <n>", "seed of the arrivals", "1")
        .action(async ({ seed }: { readonly seed: string }) => {
            await measure(Number(seed));
        });

const measure = async (seed: number): Promise<void> => {
    const setup = await start();
    try {
        const rssIdleMb = rssOf(setup.entry);
        await runLoad(setup.throughUrl, ["closed", concurrency, warmUpMs]);
        const direct = await runLoad(setup.directUrl, ["closed", concurrency, capacityRunMs]);
        const through = await runLoad(setup.throughUrl, ["closed", concurrency, capacityRunMs]);
        console.log(`capacity: direct ${direct.perSecond}/s, through ${through.perSecond}/s`);
        const third = await measureAdded(setup, through.perSecond / 3, seed);
        const twoThirds = await measureAdded(setup, (through.perSecond * 2) / 3, seed);
        const rssDownloadsMb = await rssDuringDownloads(setup);
        const held = twoThirds.p99 <= targetAddedMs && third.p99 <= targetAddedMs;
        console.log(
            `target added p99 under ${targetAddedMs} ms up to two thirds: ${held ? "held" : "missed"}`,
        );
        console.log(
            JSON.stringify({
                addedP50Ms: round(twoThirds.p50),
                addedP99Ms: round(twoThirds.p99),
                addedP50MsAtThird: round(third.p50),
                addedP99MsAtThird: round(third.p99),
                callsPerSecond: through.perSecond,
                directCallsPerSecond: direct.perSecond,
                rssIdleMb,
                rssDownloadsMb,
            }),
        );
    } finally {
        await setup.fleet.stop();
    }
};

const start = async (): Promise<Setup> => {
    const fleet = await Fleet.start();
    const backends = await fleet.startBackends(serverCount, { serviceMs: 0, slots: slotsPerServer });
    const servers = backends.ports.map(
        port => `server = 127.0.0.1:${port} slots=${slotsPerServer} connections=${slotsPerServer}`,
    );
    const text = [`[service ${service}]`, "queue-limit = 10000", ...servers].join("\n");
    await fleet.publish(text, 0, "added-1");
    fleet.startEntries(1, ["a"], 1_000);
    await fleet.publishVmList();
    const [entry] = fleet.entries;
    const [port] = backends.ports;
    if (!entry || port === undefined) {
        throw new Error("the fleet has no entry VM or no backend server");
    }
    await entry.ready();
    const throughUrl = `http://${entry.callerAddress}/v1/call/${service}/x`;
    return { fleet, entry, throughUrl, directUrl: `http://127.0.0.1:${port}/x`, backends };
};

const runLoad = async (url: string, args: readonly (string | number)[]): Promise<LoadSummary> => {
    const child = new ScriptProcess(builtScriptPath("bench", "loadchild"), [url, ...args.map(String)]);
    const summary = JSON.parse(await child.waitForLine(/^\{/, 60_000)) as LoadSummary;
    await child.exited;
    if (summary.failed > 0) {
        throw new Error(`${summary.failed} calls failed: ${child.recentLines.join("\n")}`);
    }
    return summary;
};

interface AddedLatency {
    readonly p50: number;
    readonly p99: number;
}

const measureAdded = async (setup: Setup, rate: number, seed: number): Promise<AddedLatency> => {
    const args = ["open", Math.round(rate), latencyRunMs, seed] as const;
    const direct = await runLoad(setup.directUrl, args);
    const through = await runLoad(setup.throughUrl, args);
    const added = { p50: through.p50Ms - direct.p50Ms, p99: through.p99Ms - direct.p99Ms };
    console.log(
        `at ${args[1]}/s: direct p50 ${round(direct.p50Ms)} p99 ${round(direct.p99Ms)} p99.9 ${round(direct.p999Ms)} ms; ` +
            `through p50 ${round(through.p50Ms)} p99 ${round(through.p99Ms)} p99.9 ${round(through.p999Ms)} ms; ` +
            `added p50 ${round(added.p50)} p99 ${round(added.p99)} ms`,
    );
    return added;
};

/**
 * Returns the memory of the entry VM in MB while slow callers download. Each caller stops reading after the first
 * chunk, and the entry VM must not buffer the rest.
 */
const rssDuringDownloads = async (setup: Setup): Promise<number> => {
    await setup.backends.setBehavior({ answerBytes: downloadBytes, chunkPauseMs: downloadPauseMs });
    const responses = await Promise.all(
        Array.from({ length: downloadCount }, () => startDownload(setup.throughUrl)),
    );
    await delay(settleMs);
    const rss = rssOf(setup.entry);
    for (const res of responses) {
        res.destroy();
    }
    return rss;
};

const startDownload = async (url: string): Promise<IncomingMessage> =>
    await new Promise((resolve, reject) => {
        const req = get(url, { agent: false }, res => {
            res.once("data", () => res.pause());
            res.on("error", () => undefined);
            resolve(res);
        });
        req.on("error", reject);
    });

const rssOf = (entry: EntryProcess): number => {
    const status = readFileSync(`/proc/${entry.child.pid}/status`, "utf8");
    const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return Math.round(kilobytes / kilobytesPerMegabyte);
};

const round = (ms: number): number => Math.round(ms * 1_000) / 1_000;
