/** Measures how entry VMs act in concert: a publication storm and a rolling replacement while calls run. */

import { SeededRandom } from "@bramleymoor/dispatch/random";
import type { ConfigSpec } from "@bramleymoor/model/spec";
import { parseConfig } from "@bramleymoor/model/parser";
import { budgetMsOf, budgetWindowMs, probeDefaults } from "@bramleymoor/probing/budget";
import { Command } from "commander";
import { delay, monotonicMs } from "./clock.js";
import { Fleet, type EntryProcess } from "./fleet.js";
import { ratibaDomains, RatibaServers, ratibaStreams } from "./ratiba.js";
import { TrafficGenerator, type CallStream, type TrafficResult } from "./traffic.js";

const entryCount = 19;
const ttlMs = 1_000;
const settleMs = 4_000;
const steadyMs = 8_000;
const publications = 20;
const publicationPeriodMs = 400;
const pollMs = 20;
/** Greatest time until an accepted version is in force everywhere. */
export const targetConvergeMs = 4_000;
const targetControlBytes = 4_096;
const targetControlCpu = 0.043;
/** Greatest time until the last new request to a leaving server. */
export const targetDrainMs = 3_000;
const drainWatchMs = 6_000;
const replacedAtOnce = 4;
const msPerSecond = 1_000;
/** Share of the demo's traffic: 19 processes share one machine with their callers and servers. */
const trafficShare = 0.4;

/** The "concert" subcommand. */
export const concertCommand = (): Command =>
    new Command("concert")
        .description(
            "19 entry VMs: time to converge, control traffic, drains, a rolling replacement under load",
        )
        .option("--seed <n>", "seed of the traffic", "1")
        .action(async ({ seed }: { readonly seed: string }) => report(await runConcert(Number(seed))));

/** Server time that a service's probes cost while the traffic ran. */
export interface ProbeCost {
    readonly service: string;
    readonly probes: number;
    /** Share of the service's server time. */
    readonly share: number;
    /** Share of its probe budget. */
    readonly budgetShare: number;
}

/** What a concert came to. */
export interface ConcertResult {
    readonly entryVms: number;
    readonly control: ControlCost;
    /** For each publication and entry VM the time until it was in force there, in milliseconds. */
    readonly convergeMs: readonly number[];
    /** From the publication that a server is leaving to its last new request. */
    readonly drainMaxMs: number;
    /** Requests that the server got in the second before. */
    readonly beforeDrain: number;
    readonly traffic: TrafficResult;
    readonly probeCosts: readonly ProbeCost[];
}

/** Starts everything, runs the concert once and stops everything. */
export const runConcert = async (seed: number): Promise<ConcertResult> => {
    const fleet = await Fleet.start();
    try {
        return await new Concert(fleet, seed).run();
    } finally {
        await fleet.stop();
    }
};

interface NodeView {
    readonly version?: { readonly number: number };
    readonly members: readonly {
        readonly id: string;
        readonly state: string;
        readonly incarnation: string;
    }[];
    readonly controlBytes: number;
    readonly cpuMs: number;
}

/** What control costs the busiest entry VM at rest. */
export interface ControlCost {
    readonly bytesPerSecond: number;
    readonly cpuShare: number;
}

class Concert {
    readonly #fleet: Fleet;
    readonly #seed: number;
    #version = 0;
    #text = "";

    constructor(fleet: Fleet, seed: number) {
        this.#fleet = fleet;
        this.#seed = seed;
    }

    async run(): Promise<ConcertResult> {
        const servers = await RatibaServers.start(this.#fleet);
        this.#fleet.startEntries(entryCount, ratibaDomains, ttlMs, { logLevel: "info" });
        await this.#fleet.publishVmList();
        await this.#publish(servers.configText());
        await Promise.all(this.#fleet.entries.map(entry => entry.ready()));
        await this.#untilAllMeet();
        const control = await this.#controlAtRest();
        const traffic = new TrafficGenerator(
            ratibaStreams.map(lessen),
            this.#fleet.entries.map(entry => entry.callerAddress),
            new SeededRandom(this.#seed),
        );
        const startedAt = monotonicMs();
        const probesBefore = await probesOf(servers);
        const sending = traffic.run();
        const converge = await this.#storm(servers);
        const { drainMaxMs, beforeDrain } = await this.#drain(servers);
        await this.#replaceAll();
        await traffic.stop();
        await sending;
        const measuring = await this.#measuringCost(servers, probesBefore, monotonicMs() - startedAt);
        const result = traffic.result(await servers.runs());
        traffic.failures.forEach(failure => console.log(`  ${failure}`));
        const drained = { drainMaxMs, beforeDrain };
        return {
            entryVms: entryCount,
            control,
            convergeMs: converge,
            ...drained,
            traffic: result,
            probeCosts: measuring,
        };
    }

    /** Holds the probes that the servers counted against the budget of the last text published. */
    async #measuringCost(
        servers: RatibaServers,
        before: ReadonlyMap<string, number>,
        spanMs: number,
    ): Promise<readonly ProbeCost[]> {
        const after = await probesOf(servers);
        return [...specOf(this.#text).values()].map(service => {
            const probes = (after.get(service.name) ?? 0) - (before.get(service.name) ?? 0);
            const costMs = probes * probeDefaults.probeCostMs;
            const budgetShare = costMs / ((budgetMsOf(service) * spanMs) / budgetWindowMs);
            return { service: service.name, probes, share: budgetShare * service.probeBudget, budgetShare };
        });
    }

    async #publish(text: string): Promise<void> {
        this.#text = text;
        this.#version = await this.#fleet.publish(text, this.#version, `concert-${this.#version + 1}`);
    }

    async #views(): Promise<readonly NodeView[]> {
        return await Promise.all(this.#fleet.entries.map(entry => entry.fetchJson<NodeView>("/status")));
    }

    async #untilAllMeet(): Promise<void> {
        const start = monotonicMs();
        for (;;) {
            const views = await this.#views();
            if (views.every(view => view.members.length === entryCount)) {
                console.log(`all ${entryCount} entry VMs know each other after ${ms(monotonicMs() - start)}`);
                return;
            }
            await delay(pollMs * 5);
        }
    }

    // At rest a node's processor time is all control.
    async #controlAtRest(): Promise<ControlCost> {
        await delay(settleMs);
        const before = await this.#views();
        await delay(steadyMs);
        const after = await this.#views();
        const perNode = (of: (view: NodeView) => number): number => {
            const steps = after.map((view, i) => of(view) - of(before[i] ?? view));
            return Math.max(...steps);
        };
        return {
            bytesPerSecond: (perNode(view => view.controlBytes) * msPerSecond) / steadyMs,
            cpuShare: perNode(view => view.cpuMs) / steadyMs,
        };
    }

    /** Publishes again and again; gives, per publication and entry VM, the time until it was in force there. */
    async #storm(servers: RatibaServers): Promise<readonly number[]> {
        const waits: Promise<readonly number[]>[] = [];
        for (let i = 0; i < publications; i++) {
            const asked = monotonicMs();
            await this.#publish(servers.configText(new Set(), String(1_000 + i)));
            waits.push(this.#inForce(this.#version, asked));
            await delay(Math.max(0, publicationPeriodMs - (monotonicMs() - asked)));
        }
        return (await Promise.all(waits)).flat();
    }

    async #inForce(version: number, asked: number): Promise<readonly number[]> {
        const one = async (entry: EntryProcess): Promise<number> => {
            for (;;) {
                const view = await entry.fetchJson<NodeView>("/status");
                if ((view.version?.number ?? 0) >= version) {
                    return monotonicMs() - asked;
                }
                await delay(pollMs);
            }
        };
        return await Promise.all(this.#fleet.entries.map(one));
    }

    /** Marks the busiest server as leaving by text, and gives the time until its last new request. */
    async #drain(servers: RatibaServers): Promise<Pick<ConcertResult, "drainMaxMs" | "beforeDrain">> {
        const stops = servers.processOf("stops-lookup");
        const earlier = await stops.counts();
        await delay(msPerSecond);
        const gains = (await stops.counts()).map(({ port, ran }, at) => ({
            port,
            ran,
            gain: ran - (earlier[at]?.ran ?? 0),
        }));
        const busiest = gains.reduce((most, one) => (one.gain > most.gain ? one : most));
        const { port, gain: beforeDrain } = busiest;
        const ran = async (): Promise<number> =>
            (await stops.counts()).find(one => one.port === port)?.ran ?? 0;
        let seen = busiest.ran;
        const asked = monotonicMs();
        let last = asked;
        const published = this.#publish(servers.configText(new Set([port])));
        while (monotonicMs() - asked < drainWatchMs) {
            const now = await ran();
            if (now > seen) {
                seen = now;
                last = monotonicMs();
            }
            await delay(pollMs);
        }
        await published;
        return { drainMaxMs: last - asked, beforeDrain };
    }

    /** Replaces every entry VM, a few at a time; each new process serves before the next ones stop. */
    async #replaceAll(): Promise<void> {
        const start = monotonicMs();
        const entries = this.#fleet.entries;
        for (let i = 0; i < entries.length; i += replacedAtOnce) {
            const batch = entries.slice(i, i + replacedAtOnce);
            await Promise.all(batch.map(entry => this.#replace(entry)));
        }
        console.log(`${entries.length} entry VMs replaced in ${ms(monotonicMs() - start)}`);
    }

    async #replace(entry: EntryProcess): Promise<void> {
        const status = await entry.child.stop();
        if (status !== 0) {
            throw new Error(
                `${entry.options.id} ended with ${status}: ${entry.child.recentLines.join("\n")}`,
            );
        }
        entry.restart();
        await entry.ready();
    }
}

const lessen = (stream: CallStream): CallStream => ({
    ...stream,
    perSecond: stream.perSecond * trafficShare,
});

const specOf = (text: string): ConfigSpec["services"] => {
    const parsed = parseConfig(text);
    if (!parsed.ok) {
        throw new Error(parsed.errors.map(err => err.message).join(", "));
    }
    return parsed.spec.services;
};

const probesOf = async (servers: RatibaServers): Promise<ReadonlyMap<string, number>> => {
    const names = [...specOf(servers.configText()).keys()];
    return new Map(await Promise.all(names.map(async name => [name, await servers.probes(name)] as const)));
};

const report = ({ control, convergeMs: converge, drainMaxMs, traffic: result }: ConcertResult): void => {
    const sorted = [...converge].sort((a, b) => a - b);
    const p99 = sorted[Math.ceil(sorted.length * 0.99) - 1] ?? NaN;
    const max = sorted.at(-1) ?? NaN;
    const line = (what: string, figure: string, held: boolean): void =>
        console.log(`${what.padEnd(52)} ${figure.padStart(12)}  ${held ? "held" : "MISSED"}`);
    line(`in force everywhere, p99 of ${converge.length}`, ms(p99), p99 <= targetConvergeMs);
    line("in force everywhere, slowest", ms(max), max <= targetConvergeMs);
    const bytes = Math.round(control.bytesPerSecond);
    line("control bytes per second, busiest node at rest", `${bytes}`, bytes <= targetControlBytes);
    const cpu = `${(100 * control.cpuShare).toFixed(2)}%`;
    line("control processor share, busiest node at rest", cpu, control.cpuShare <= targetControlCpu);
    line("last new request to a leaving server after", ms(drainMaxMs), drainMaxMs <= targetDrainMs);
    const { cut, doubled, lost, falseNotRun } = result;
    const calls = result.services.reduce((sum, tally) => sum + tally.calls, 0);
    const none = cut + doubled + lost + falseNotRun + result.foreign === 0;
    line(
        `of ${calls} calls cut / doubled / lost / falsely not run`,
        `${cut}/${doubled}/${lost}/${falseNotRun}`,
        none,
    );
    console.log(
        JSON.stringify({
            convergeP99Ms: Math.round(p99),
            convergeMaxMs: Math.round(max),
            nodes: entryCount,
            controlBytesPerSecond: bytes,
            controlCpuShare: Number(control.cpuShare.toFixed(4)),
            drainMaxMs: Math.round(drainMaxMs),
            cut,
            doubled,
            lost,
            falseNotRun,
        }),
    );
};

const ms = (value: number): string => `${Math.round(value)} ms`;
