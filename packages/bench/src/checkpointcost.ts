/** The `checkpoints` measurement: how often entry VMs append checkpoints, and how many at the same time. */

import { checkpointStream, parseCheckpointEnd } from "@bramleymoor/config/checkpoint";
import { Checkpointer } from "@bramleymoor/config/checkpointer";
import { configStream } from "@bramleymoor/config/record";
import { snapshotOf, type Snapshot } from "@bramleymoor/config/snapshot";
import { emptyVersion } from "@bramleymoor/config/version";
import type { LogService } from "@bramleymoor/platform/log";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";
import { Command } from "commander";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const msPerDay = 86_400_000;
const retentionMs = 7 * msPerDay;
const logCallMs = 100;
const concurrentWithinMs = 60_000;

/** Activity of the checkpointers of a cluster. */
interface CheckpointCost {
    readonly nodes: number;
    readonly changesPerDay: number;
    readonly days: number;
    readonly checkpoints: number;
    /** Checkpoints appended within a minute after another one. */
    readonly together: number;
    /** Longest interval between two checkpoints, in hours. */
    readonly longestHours: number;
    readonly callsPerNodePerDay: number;
}

/** Returns the `checkpoints` subcommand. */
export const checkpointsCommand = (): Command =>
    new Command("checkpoints")
        .description("how often checkpoints are appended, in virtual time")
        .option("--days <count>", "duration in virtual days", "28")
        .option("--seed <number>", "seed of the random numbers", "1")
        .action(async (options: { readonly days: string; readonly seed: string }) => {
            const rows: CheckpointCost[] = [];
            for (const [nodes, changesPerDay] of [
                [1, 7300],
                [19, 0],
                [19, 7300],
                [76, 7300],
            ] as const) {
                const simulation = new CheckpointSimulation(nodes, changesPerDay, Number(options.seed));
                rows.push(await simulation.run(Number(options.days)));
            }
            console.table(rows);
            process.stdout.write(`${JSON.stringify({ rows })}\n`);
        });

class CheckpointSimulation {
    readonly #time = new VirtualTime();
    readonly #platform = new MemoryPlatform({
        now: () => this.#time.now(),
        sleep: this.#time.sleep,
        retentionMs,
    });
    readonly #nodes: number;
    readonly #changesPerDay: number;
    readonly #random: () => number;
    #changes = 0;
    #calls = 0;

    constructor(nodes: number, changesPerDay: number, seed: number) {
        const generator = xoroshiro128plus(seed);
        this.#nodes = nodes;
        this.#changesPerDay = changesPerDay;
        this.#random = () => uniformFloat64(generator);
    }

    async run(days: number): Promise<CheckpointCost> {
        const stops = Array.from({ length: this.#nodes }, () => new AbortController());
        for (const stop of stops) {
            void this.#newCheckpointer().run(stop.signal);
        }
        const hoursPerStep = 1;
        const times: number[] = [];
        for (let hour = 0; hour < days * 24; hour += hoursPerStep) {
            this.#publish(hour + hoursPerStep);
            await this.#time.advance(hoursPerStep * 3_600_000);
            times.push(...(await this.#newCheckpoints(hoursPerStep * 3_600_000)));
        }
        stops.forEach(stop => stop.abort());
        return this.#summarize(days, times);
    }

    #summarize(days: number, times: readonly number[]): CheckpointCost {
        const gaps = times.slice(1).map((time, index) => time - (times[index] ?? 0));
        return {
            nodes: this.#nodes,
            changesPerDay: this.#changesPerDay,
            days,
            checkpoints: times.length,
            together: gaps.filter(gap => gap < concurrentWithinMs).length,
            longestHours: Math.round(Math.max(0, ...gaps) / 36_000) / 100,
            callsPerNodePerDay: Math.round(this.#calls / this.#nodes / days),
        };
    }

    /** Appends to the config stream the records that are due by the given hour. */
    #publish(hours: number): void {
        for (; this.#changes < (hours * this.#changesPerDay) / 24; this.#changes++) {
            this.#platform.forceAppend(configStream, "");
        }
    }

    /** Returns the times at which checkpoints were completed within the last `ms` milliseconds. */
    async #newCheckpoints(ms: number): Promise<readonly number[]> {
        const { next } = await this.#platform.read(checkpointStream, 0, 0, 0);
        const { records } = await this.#platform.read(checkpointStream, Math.max(0, next - 1000), 1000, 0);
        const ends = records.filter(record => record.ageMs < ms && parseCheckpointEnd(record.data));
        return ends.map(record => this.#time.now() - record.ageMs);
    }

    #newCheckpointer(): Checkpointer {
        const delayedLog: LogService = {
            append: async (...args) => {
                await this.#delayCall();
                return this.#platform.append(...args);
            },
            read: async (...args) => {
                await this.#delayCall();
                return this.#platform.read(...args);
            },
        };
        const snapshot = (): Snapshot => snapshotOf(emptyVersion, this.#changes);
        const common = { random: this.#random, sleep: this.#time.sleep, retentionMs };
        return new Checkpointer({ ...common, log: delayedLog, follower: { snapshot }, events: () => {} });
    }

    #delayCall(): Promise<void> {
        this.#calls++;
        return this.#time.sleep(logCallMs);
    }
}
