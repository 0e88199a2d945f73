/** Slopes of control traffic, of the at-most-once table and of config updates. */

import { HttpPlatform } from "@bramleymoor/platform/http";
import { startPlatformServer } from "@bramleymoor/testkit/platform";
import { builtScriptPath, ScriptProcess } from "./child.js";
import { monotonicMs } from "./clock.js";
import { GossipNet } from "./gossipnet.js";
import { heapAfterGc, Slope, type Point } from "./slopes-fit.js";
import type { Figures } from "./slopes-capacity.js";
import { measureMembership, type MembershipRow } from "./slopes-membership.js";

const measurementTimeoutMs = 200_000;
const convergenceMs = 30_000;
const warmUpNodes = 16;
const listFetches = 4;

/** Measures membership by the number of entry VMs, up to `max`. */
export const membershipSlopes = async (max: number): Promise<readonly Slope[]> => {
    const sizes = [16, 32, 64, 128, 256].filter(size => size <= max);
    const rows: MembershipRow[] = [];
    const heap: Point[] = [];
    for (const size of sizes) {
        heap.push({ size, value: await membershipHeap(size) });
        rows.push(await measureMembership(size, 1));
    }
    const slope = (name: string, unit: string, valueOf: (row: MembershipRow) => number) =>
        new Slope(
            name,
            unit,
            "entry VM",
            rows.map(row => ({ size: row.nodes, value: valueOf(row) })),
        );
    return [
        new Slope("member-heap", "B", "entry VM", heap),
        slope("membership-calm", "B/s", row => row.idleBytesPerSecond),
        slope("membership-busy", "B/s", row => row.peakBytesPerSecond),
        slope("membership-core", "% of a core", row => row.cpuShare * 100),
        slope("membership-out", "ms", row => row.detectMaxMs),
        slope("membership-heal", "ms", row => row.healMs),
    ];
};

/** Returns the heap of one node in a converged group, its share of the simulated network included. */
const membershipHeap = async (nodes: number): Promise<number> => {
    await convergedNet(warmUpNodes);
    const before = heapAfterGc();
    const net = await convergedNet(nodes);
    const bytes = heapAfterGc() - before;
    return bytes / net.nodes.length;
};

const convergedNet = async (nodes: number): Promise<GossipNet> => {
    const net = new GossipNet(1);
    net.startAll(nodes);
    await net.run(convergenceMs);
    return net;
};

/** Measures fetching and holding the platform's VM list, by its length. */
export const vmListSlopes = async (): Promise<readonly Slope[]> => {
    const bytes: Point[] = [];
    const fetchTime: Point[] = [];
    const heap: Point[] = [];
    const platform = await startPlatformServer({ port: 0 });
    for (const size of [1_150, 2_300, 4_600, 9_200]) {
        platform.memory.setVms(Array.from({ length: size }, (_, index) => vmOf(index)));
        const fetches: Fetch[] = [];
        for (let times = 0; times < listFetches; times++) {
            fetches.push(await fetchList(platform.url));
        }
        bytes.push({ size, value: fetches[0]!.bytes });
        fetchTime.push({ size, value: Math.min(...fetches.map(fetch => fetch.ms)) });
        heap.push({ size, value: fetches.at(-1)!.heapBytes });
    }
    await platform.close();
    const per = "VM on the list";
    return [
        new Slope("vm-list-bytes", "B", `${per}, fetched once`, bytes),
        new Slope(
            "vm-list-time",
            "ms",
            `${per}, fetched once, the simulated platform's work included`,
            fetchTime,
        ),
        new Slope("vm-list-heap", "B", `${per} as held`, heap),
    ];
};

interface Fetch {
    readonly bytes: number;
    readonly ms: number;
    readonly heapBytes: number;
}

/** Fetches the list with a new client, which retains it. */
const fetchList = async (url: string): Promise<Fetch> => {
    const client = new HttpPlatform(url);
    const before = heapAfterGc();
    const start = monotonicMs();
    await client.list();
    const ms = monotonicMs() - start;
    const heapBytes = heapAfterGc() - before;
    client.close();
    return { bytes: client.bytes, ms, heapBytes };
};

const vmOf = (index: number) => ({
    id: `backend-${index}`,
    peerAddress: `10.${index >> 8}.${index & 255}.1:8080`,
    callerAddress: `10.${index >> 8}.${index & 255}.1:8080`,
    region: `r${index % 3}`,
    domain: `domain-${index % 7}`,
    role: "backend" as const,
    leaving: false,
});

interface ConfigCosts {
    readonly costs: readonly {
        readonly servers: number;
        readonly textBytes: number;
        readonly adoptMs: number;
        readonly changeMsP50: number;
    }[];
    readonly traffic: { readonly bytesPerChange: number; readonly bytesPerPoll: number };
}

interface OnceCosts {
    readonly entries: readonly {
        readonly entries: number;
        readonly answerBytes: number;
        readonly heapBytesPerEntry: number;
        readonly claimMicroseconds: number;
    }[];
}

interface CheckpointCosts {
    readonly rows: readonly {
        readonly nodes: number;
        readonly changesPerDay: number;
        readonly days: number;
        readonly checkpoints: number;
        readonly callsPerNodePerDay: number;
    }[];
}

/** Runs another measurement in a child process and returns the JSON of its last line. */
const runMeasurement = async <T>(args: readonly string[]): Promise<T> => {
    const child = new ScriptProcess(builtScriptPath("bench", "measure"), args, ["--expose-gc"]);
    const line = await child.waitForLine(/^\{/, measurementTimeoutMs);
    await child.exited;
    return JSON.parse(line) as T;
};

/** Measures the config text's size, adopting a snapshot and applying a change, and the traffic of following it. */
export const configSlopes = async (): Promise<readonly [readonly Slope[], Figures]> => {
    const { costs, traffic } = await runMeasurement<ConfigCosts>(["config"]);
    const slope = (name: string, unit: string, valueOf: (cost: (typeof costs)[number]) => number) =>
        new Slope(
            name,
            unit,
            "backend server, at 24 a service",
            costs.map(cost => ({ size: cost.servers, value: valueOf(cost) })),
        );
    const slopes = [
        slope("text-bytes", "B", cost => cost.textBytes),
        slope("snapshot-time", "ms", cost => cost.adoptMs),
        slope("change-time", "ms", cost => cost.changeMsP50),
    ];
    const { bytesPerChange, bytesPerPoll } = traffic;
    return [slopes, { "config-bytes-per-change": bytesPerChange, "config-bytes-per-poll": bytesPerPoll }];
};

/** Measures heap and time of the at-most-once table with responses of 200 bytes. */
export const onceSlopes = async (): Promise<readonly Slope[]> => {
    const { entries } = await runMeasurement<OnceCosts>(["once"]);
    const measured = entries.filter(row => row.answerBytes === 200);
    const heap = measured.map(row => ({ size: row.entries, value: row.entries * row.heapBytesPerEntry }));
    const time = measured.map(row => ({ size: row.entries, value: row.claimMicroseconds }));
    return [
        new Slope("once-heap", "B", "entry with an answer of 200 bytes", heap),
        new Slope("once-time", "us", "entry in the table, for check, claim and answer", time),
    ];
};

/** Measures checkpoints per day at 7,300 changes a day, and an entry VM's calls to the log for them. */
export const checkpointFigures = async (): Promise<Figures> => {
    const { rows } = await runMeasurement<CheckpointCosts>(["checkpoints"]);
    const figures = rows
        .filter(row => row.changesPerDay > 0)
        .flatMap(row => [
            [`checkpoints-a-day-${row.nodes}-vms`, Math.round((row.checkpoints / row.days) * 100) / 100],
            [`checkpoint-calls-a-day-${row.nodes}-vms`, row.callsPerNodePerDay],
        ]);
    return Object.fromEntries(figures) as Figures;
};
