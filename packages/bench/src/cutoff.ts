/** The `cutoff` measurement: time until a version is in force on entry VMs whose calls to the log hang. */

import { Follower } from "@bramleymoor/config/follower";
import type { ConfigRequest, ConfigResponse } from "@bramleymoor/config/peers";
import { publish } from "@bramleymoor/config/publisher";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";
import { Command } from "commander";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FaultyLog } from "./faultylog.js";

const publicationIntervalMs = 12_000;
const stepMs = 50;

/** A row of the printed table. */
interface CutoffRow {
    readonly nodes: number;
    /** Number of entry VMs whose calls to the log get no response. */
    readonly cut: number;
    readonly versions: number;
    /** Time from publication until the version is in force on a cut-off entry VM, in milliseconds. */
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
    /** Share of these times above 4 s. */
    readonly late: number;
}

/** Returns the `cutoff` subcommand. */
export const cutoffCommand = (): Command =>
    new Command("cutoff")
        .description("time until a version is in force where calls to the log hang, in virtual time")
        .option("--versions <count>", "versions published", "100")
        .option("--seed <number>", "seed of the random numbers", "1")
        .action(async (options: { readonly versions: string; readonly seed: string }) => {
            const rows: CutoffRow[] = [];
            for (const cut of [1, 6, 12]) {
                const simulation = new CutoffSimulation(19, cut, Number(options.seed));
                rows.push(await simulation.run(Number(options.versions)));
            }
            console.table(rows);
            process.stdout.write(`${JSON.stringify({ rows })}\n`);
        });

class CutoffSimulation {
    readonly #time = new VirtualTime();
    readonly #platform = new MemoryPlatform({ now: () => this.#time.now(), sleep: this.#time.sleep });
    readonly #logs: readonly FaultyLog[];
    readonly #followers: readonly Follower[];
    readonly #cut: number;
    readonly #random: () => number;

    constructor(nodes: number, cut: number, seed: number) {
        const generator = xoroshiro128plus(seed);
        this.#random = () => uniformFloat64(generator);
        this.#cut = cut;
        this.#logs = Array.from({ length: nodes }, () => new FaultyLog(this.#platform, []));
        this.#followers = this.#logs.map(log => this.#newFollower(log));
    }

    async run(versions: number): Promise<CutoffRow> {
        const stops = this.#followers.map(() => new AbortController());
        this.#followers.forEach((follower, index) => void follower.run(stops[index]!.signal));
        await this.#publish(0);
        await this.#time.advance(publicationIntervalMs);
        this.#logs.slice(0, this.#cut).forEach(log => log.setPaused(true));
        await this.#time.advance(2 * publicationIntervalMs);
        const times: number[] = [];
        for (let number = 1; number <= versions; number++) {
            times.push(...(await this.#measurePublication(number)));
        }
        stops.forEach(stop => stop.abort());
        const sorted = times.toSorted((a, b) => a - b);
        const quantile = (share: number): number => sorted[Math.ceil(share * sorted.length) - 1] ?? 0;
        return {
            nodes: this.#followers.length,
            cut: this.#cut,
            versions,
            p50Ms: quantile(0.5),
            p99Ms: quantile(0.99),
            maxMs: quantile(1),
            late: times.filter(ms => ms > 4000).length / times.length,
        };
    }

    /** Publishes a version and returns the time that each cut-off entry VM took, in milliseconds. */
    async #measurePublication(base: number): Promise<readonly number[]> {
        await this.#publish(base);
        const start = this.#time.now();
        const times = new Map<Follower, number>();
        while (this.#time.now() - start < publicationIntervalMs) {
            await this.#time.advance(stepMs);
            for (const follower of this.#followers.slice(0, this.#cut)) {
                if (follower.current?.number === base + 1 && !times.has(follower)) {
                    times.set(follower, this.#time.now() - start);
                }
            }
        }
        return this.#followers
            .slice(0, this.#cut)
            .map(follower => times.get(follower) ?? publicationIntervalMs);
    }

    async #publish(base: number): Promise<void> {
        const text = `[service a]\nserver = 10.0.0.${(base % 250) + 1}:80\n`;
        const result = await publish(this.#platform, text, base, { id: `p${base}`, random: this.#random });
        if (result.kind !== "accepted") {
            throw new Error(`version ${base + 1} was not accepted: ${result.kind}`);
        }
    }

    #newFollower(log: FaultyLog): Follower {
        const queryPeers = async (
            request: ConfigRequest,
            count: number,
        ): Promise<readonly ConfigResponse[]> => {
            const responses = this.#randomPeers(count).map(peer => peer.respond(request));
            return responses.filter(response => response !== undefined);
        };
        const common = { random: this.#random, sleep: this.#time.sleep, events: () => {} };
        const follower: Follower = new Follower({ ...common, log, peers: { query: queryPeers } });
        return follower;
    }

    #randomPeers(count: number): readonly Follower[] {
        const keyed = this.#followers.map(follower => ({ follower, key: this.#random() }));
        return keyed
            .toSorted((a, b) => a.key - b.key)
            .slice(0, count)
            .map(({ follower }) => follower);
    }
}
