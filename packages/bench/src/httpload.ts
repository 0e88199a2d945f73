/** Plain HTTP load for measuring added time: closed loop for capacity, open loop for latency. */

import { Agent, get, type IncomingMessage } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";
import { delay, monotonicMs } from "./clock.js";
import type { Random } from "@bramleymoor/dispatch/random";

const microsecondsPerMs = 1_000;

/** Latencies of one run. */
export interface LoadRun {
    /** In microseconds. */
    readonly latencies: Histogram;
    readonly failed: number;
    readonly perSecond: number;
}

/** Sends GET requests to one URL over kept connections. */
export class HttpLoad {
    readonly #url: string;
    readonly #agent: Agent;
    readonly #latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    #failed = 0;
    #done = 0;

    /** @param connections kept connections at most */
    constructor(url: string, connections: number) {
        this.#url = url;
        this.#agent = new Agent({ keepAlive: true, maxSockets: connections });
    }

    /** Keeps `concurrency` requests in flight for `ms` milliseconds. */
    async runClosedLoop(concurrency: number, ms: number): Promise<LoadRun> {
        const start = monotonicMs();
        const worker = async (): Promise<void> => {
            while (monotonicMs() - start < ms) {
                await this.#one(monotonicMs());
            }
        };
        await Promise.all(Array.from({ length: concurrency }, worker));
        return this.#end(monotonicMs() - start);
    }

    /** Sends at `rate` a second for `ms`, whether or not answers come; latency counts from the due time. */
    async runOpenLoop(rate: number, ms: number, random: Random): Promise<LoadRun> {
        const start = monotonicMs();
        const pending: Promise<void>[] = [];
        let due = start;
        while (due - start < ms) {
            const ahead = due - monotonicMs();
            if (ahead > 0) {
                await delay(ahead);
            }
            while (due <= monotonicMs() && due - start < ms) {
                pending.push(this.#one(due));
                due += (-Math.log(1 - random.next()) * 1_000) / rate;
            }
        }
        await Promise.all(pending);
        return this.#end(ms);
    }

    async #one(due: number): Promise<void> {
        try {
            await this.#get();
            const microseconds = Math.round((monotonicMs() - due) * microsecondsPerMs);
            this.#latencies.recordValue(Math.max(1, microseconds));
        } catch {
            this.#failed++;
        }
        this.#done++;
    }

    async #get(): Promise<void> {
        const res = await new Promise<IncomingMessage>((resolve, reject) => {
            get(this.#url, { agent: this.#agent }, resolve).on("error", reject);
        });
        res.resume();
        await new Promise<void>((resolve, reject) => {
            res.on("end", resolve);
            res.on("error", reject);
        });
        if (res.statusCode !== 200) {
            throw new Error(`status ${res.statusCode}`);
        }
    }

    #end(ms: number): LoadRun {
        this.#agent.destroy();
        return { latencies: this.#latencies, failed: this.#failed, perSecond: (this.#done * 1_000) / ms };
    }
}
