/** Plain HTTP load for measuring added latency: closed loop for capacity, open loop for latency. */

import { Agent, get, type IncomingMessage } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";
import { delay, monotonicMs } from "./clock.js";
import type { Random } from "@bramleymoor/dispatch/random";

const microsecondsPerMs = 1_000;

/** Measurements of one run. */
export interface LoadRun {
    /** Latencies in microseconds. */
    readonly latencies: Histogram;
    readonly failed: number;
    readonly perSecond: number;
}

/** Sends GET requests to one URL over keep-alive connections. */
export class HttpLoad {
    readonly #url: string;
    readonly #agent: Agent;
    readonly #latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    #failed = 0;
    #done = 0;

    /** @param connections greatest number of connections */
    constructor(url: string, connections: number) {
        this.#url = url;
        this.#agent = new Agent({ keepAlive: true, maxSockets: connections });
    }

    /** Keeps `concurrency` requests in flight for `ms` milliseconds. */
    async runClosedLoop(concurrency: number, ms: number): Promise<LoadRun> {
        const start = monotonicMs();
        const worker = async (): Promise<void> => {
            while (monotonicMs() - start < ms) {
                await this.#sendOne(monotonicMs());
            }
        };
        await Promise.all(Array.from({ length: concurrency }, worker));
        return this.#finish(monotonicMs() - start);
    }

    /** Sends `rate` requests a second for `ms` milliseconds regardless of responses; latency counts from due time. */
    async runOpenLoop(rate: number, ms: number, random: Random): Promise<LoadRun> {
        const start = monotonicMs();
        const pending: Promise<void>[] = [];
        let dueAt = start;
        while (dueAt - start < ms) {
            const waitMs = dueAt - monotonicMs();
            if (waitMs > 0) {
                await delay(waitMs);
            }
            while (dueAt <= monotonicMs() && dueAt - start < ms) {
                pending.push(this.#sendOne(dueAt));
                dueAt += (-Math.log(1 - random.next()) * 1_000) / rate;
            }
        }
        await Promise.all(pending);
        return this.#finish(ms);
    }

    async #sendOne(dueAt: number): Promise<void> {
        try {
            await this.#get();
            const microseconds = Math.round((monotonicMs() - dueAt) * microsecondsPerMs);
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

    #finish(ms: number): LoadRun {
        this.#agent.destroy();
        return { latencies: this.#latencies, failed: this.#failed, perSecond: (this.#done * 1_000) / ms };
    }
}
