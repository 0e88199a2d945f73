/** The `concert` measurement: rapid publications, a drain and a rolling replacement of entry VMs under load. */

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
const idleWindowMs = 8_000;
const publicationCount = 20;
const publicationPeriodMs = 400;
const pollMs = 20;
/** Maximum time until an accepted version is in force on every entry VM, in milliseconds. */
export const targetConvergeMs = 4_000;
const targetControlBytes = 4_096;
const targetControlCpu = 0.043;
/** Maximum time until the last new request to a leaving server, in milliseconds. */
export const targetDrainMs = 3_000;
const drainWatchMs = 6_000;
const replacementBatchSize = 4;
const msPerSecond = 1_000;
/** Share of the demo's traffic, since 19 entry VMs share one machine with their callers and servers. */
const trafficShare = 0.4;

/** Returns the `concert` subcommand. */
export const concertCommand = (): Command =>
    new Command("concert")
        .description(
            "19 entry VMs: time to converge, control traffic, drains, a rolling replacement under load",
        )
        .option("--seed <n>", "seed of the traffic", "1")
        .action(async ({ seed }: { readonly seed: string }) => report(await runConcert(Number(seed))));

/** Server time used by the probes of a service during the traffic. */
export interface ProbeCost {
    readonly service: string;
    readonly probes: number;
    /** Share of the service's server time. */
    readonly share: number;
    /** Share of the service's probe budget. */
    readonly budgetShare: number;
}

/** Results of the measurement. */
export interface ConcertResult {
    readonly entryVms: number;
    readonly control: ControlCost;
    /** Time until each publication was in force on each entry VM, in milliseconds. */
    readonly convergeMs: readonly number[];
    /** Time from publishing that a server is leaving to its last new request, in milliseconds. */
    readonly drainMaxMs: number;
    /** Requests that the leaving server received in the second before. */
    readonly beforeDrain: number;
    readonly traffic: TrafficResult;
    readonly probeCosts: readonly ProbeCost[];
}

/** Starts a fleet, runs the measurement once and stops the fleet. */
export const runConcert = async (seed: number): Promise<ConcertResult> => {
    const fleet = await Fleet.start();
    try {
        return await new ConcertRun(fleet, seed).run();
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

/** Cost of control traffic on the busiest entry VM without calls. */
export interface ControlCost {
    readonly bytesPerSecond: number;
    readonly cpuShare: number;
}

class ConcertRun {
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
        await this.#waitForFullMembership();
        const control = await this.#idleControlCost();
        const traffic = new TrafficGenerator(
            ratibaStreams.map(scaleRate),
            this.#fleet.entries.map(entry => entry.callerAddress),
            new SeededRandom(this.#seed),
        );
        const startedAt = monotonicMs();
        const probesBefore = await countProbes(servers);
        const sending = traffic.run();
        const convergeMs = await this.#measureConvergence(servers);
        const { drainMaxMs, beforeDrain } = await this.#measureDrain(servers);
        await this.#replaceAll();
        await traffic.stop();
        await sending;
        const probeCosts = await this.#probeCosts(servers, probesBefore, monotonicMs() - startedAt);
        const result = traffic.result(await servers.runs());
        traffic.failures.forEach(failure => console.log(`  ${failure}`));
        const drained = { drainMaxMs, beforeDrain };
        return {
            entryVms: entryCount,
            control,
            convergeMs,
            ...drained,
            traffic: result,
            probeCosts,
        };
    }

    /** Compares the probes counted by the servers with the budgets of the last published configuration. */
    async #probeCosts(
        servers: RatibaServers,
        before: ReadonlyMap<string, number>,
        spanMs: number,
    ): Promise<readonly ProbeCost[]> {
        const after = await countProbes(servers);
        return [...parseServices(this.#text).values()].map(service => {
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

    async #waitForFullMembership(): Promise<void> {
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

    /** Measures the cost of control while no calls run, when all processor time of a node is spent on it. */
    async #idleControlCost(): Promise<ControlCost> {
        await delay(settleMs);
        const before = await this.#views();
        await delay(idleWindowMs);
        const after = await this.#views();
        const perNode = (of: (view: NodeView) => number): number => {
            const steps = after.map((view, i) => of(view) - of(before[i] ?? view));
            return Math.max(...steps);
        };
        return {
            bytesPerSecond: (perNode(view => view.controlBytes) * msPerSecond) / idleWindowMs,
            cpuShare: perNode(view => view.cpuMs) / idleWindowMs,
        };
    }

    /** Publishes versions periodically; returns the time until each was in force on each entry VM, in milliseconds. */
    async #measureConvergence(servers: RatibaServers): Promise<readonly number[]> {
        const waits: Promise<readonly number[]>[] = [];
        for (let i = 0; i < publicationCount; i++) {
            const publishedAt = monotonicMs();
            await this.#publish(servers.configText(new Set(), String(1_000 + i)));
            waits.push(this.#convergenceTimes(this.#version, publishedAt));
            await delay(Math.max(0, publicationPeriodMs - (monotonicMs() - publishedAt)));
        }
        return (await Promise.all(waits)).flat();
    }

    async #convergenceTimes(version: number, publishedAt: number): Promise<readonly number[]> {
        const timeUntilInForce = async (entry: EntryProcess): Promise<number> => {
            for (;;) {
                const view = await entry.fetchJson<NodeView>("/status");
                if ((view.version?.number ?? 0) >= version) {
                    return monotonicMs() - publishedAt;
                }
                await delay(pollMs);
            }
        };
        return await Promise.all(this.#fleet.entries.map(timeUntilInForce));
    }

    /** Publishes that the busiest server is leaving and measures the time until its last new request. */
    async #measureDrain(servers: RatibaServers): Promise<Pick<ConcertResult, "drainMaxMs" | "beforeDrain">> {
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
        const publishedAt = monotonicMs();
        let lastRequestAt = publishedAt;
        const published = this.#publish(servers.configText(new Set([port])));
        while (monotonicMs() - publishedAt < drainWatchMs) {
            const current = await ran();
            if (current > seen) {
                seen = current;
                lastRequestAt = monotonicMs();
            }
            await delay(pollMs);
        }
        await published;
        return { drainMaxMs: lastRequestAt - publishedAt, beforeDrain };
    }

    /** Replaces the entry VMs in batches; the processes of a batch are ready before the next batch stops. */
    async #replaceAll(): Promise<void> {
        const start = monotonicMs();
        const entries = this.#fleet.entries;
        for (let i = 0; i < entries.length; i += replacementBatchSize) {
            const batch = entries.slice(i, i + replacementBatchSize);
            await Promise.all(batch.map(entry => this.#replace(entry)));
        }
        console.log(`${entries.length} entry VMs replaced in ${ms(monotonicMs() - start)}`);
    }

    async #replace(entry: EntryProcess): Promise<void> {
        const status = await entry.child.stop();
        if (status !== 0) {
            throw new Error(
                `${entry.options.id} exited with status ${status}: ${entry.child.recentLines.join("\n")}`,
            );
        }
        entry.restart();
        await entry.ready();
    }
}

const scaleRate = (stream: CallStream): CallStream => ({
    ...stream,
    perSecond: stream.perSecond * trafficShare,
});

const parseServices = (text: string): ConfigSpec["services"] => {
    const parsed = parseConfig(text);
    if (!parsed.ok) {
        throw new Error(parsed.errors.map(err => err.message).join(", "));
    }
    return parsed.spec.services;
};

const countProbes = async (servers: RatibaServers): Promise<ReadonlyMap<string, number>> => {
    const names = [...parseServices(servers.configText()).keys()];
    return new Map(await Promise.all(names.map(async name => [name, await servers.probes(name)] as const)));
};

const report = ({ control, convergeMs, drainMaxMs, traffic: result }: ConcertResult): void => {
    const sorted = [...convergeMs].sort((a, b) => a - b);
    const p99 = sorted[Math.ceil(sorted.length * 0.99) - 1] ?? NaN;
    const max = sorted.at(-1) ?? NaN;
    const line = (name: string, figure: string, held: boolean): void =>
        console.log(`${name.padEnd(52)} ${figure.padStart(12)}  ${held ? "held" : "MISSED"}`);
    line(`in force everywhere, p99 of ${convergeMs.length}`, ms(p99), p99 <= targetConvergeMs);
    line("in force everywhere, slowest", ms(max), max <= targetConvergeMs);
    const bytes = Math.round(control.bytesPerSecond);
    line("control bytes per second, busiest node at rest", `${bytes}`, bytes <= targetControlBytes);
    const cpu = `${(100 * control.cpuShare).toFixed(2)}%`;
    line("control processor share, busiest node at rest", cpu, control.cpuShare <= targetControlCpu);
    line("last new request to a leaving server after", ms(drainMaxMs), drainMaxMs <= targetDrainMs);
    const { cut, doubled, lost, falseNotRun } = result;
    const calls = result.services.reduce((sum, tally) => sum + tally.calls, 0);
    const noViolations = cut + doubled + lost + falseNotRun + result.foreign === 0;
    line(
        `of ${calls} calls cut / doubled / lost / falsely not run`,
        `${cut}/${doubled}/${lost}/${falseNotRun}`,
        noViolations,
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
