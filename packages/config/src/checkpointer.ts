/** Appends the accepted version as a checkpoint again before retention takes the last one. */

import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import { sleep as realSleep, type Random, type Sleep } from "@bramleymoor/platform/timers";
import { appendCheckpoint, checkpointStream, parseCheckpointEnd } from "./checkpoint.js";
import { configEvent, type ConfigEventHandler } from "./events.js";
import type { Follower } from "./follower.js";
import { configStream } from "./record.js";
import type { Snapshot, SnapshotHead } from "./snapshot.js";

const maxRecordsBehind = 1000;
const looksPerPeriod = 20;
const writingMs = 30_000;

/** What a checkpointer is made of. */
export interface CheckpointerOptions {
    readonly log: LogService;
    readonly follower: Pick<Follower, "snapshot">;
    readonly events: ConfigEventHandler;
    readonly random: Random;
    /** Shortest time that the log keeps a record, in milliseconds. */
    readonly retentionMs: number;
    readonly sleep?: Sleep;
}

/**
 * Looks at the checkpoint stream's end at random times and appends a checkpoint when one is due. Several
 * entry VMs may do so at the same time, or a stale one: readers take a checkpoint as a place to read on from,
 * never as a verdict.
 */
export class Checkpointer {
    readonly #log: LogService;
    readonly #follower: Pick<Follower, "snapshot">;
    readonly #events: ConfigEventHandler;
    readonly #random: Random;
    readonly #periodMs: number;
    readonly #sleep: Sleep;

    constructor(options: CheckpointerOptions) {
        this.#log = options.log;
        this.#follower = options.follower;
        this.#events = options.events;
        this.#random = options.random;
        this.#periodMs = options.retentionMs / 4;
        this.#sleep = options.sleep ?? realSleep;
    }

    /** Looks again and again until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        for (;;) {
            await this.#sleep((this.#periodMs / looksPerPeriod) * 2 * this.#random(), signal);
            if (signal.aborted) {
                return;
            }
            await this.check();
        }
    }

    /** Looks once, and appends a checkpoint if one is due. */
    async check(): Promise<void> {
        const snapshot = this.#follower.snapshot();
        if (!snapshot) {
            return;
        }
        try {
            if (await this.#isDue(snapshot)) {
                await appendCheckpoint(this.#log, snapshot, `${snapshot.number}-${this.#random()}`);
                this.#events(
                    configEvent("checkpoint-appended", `Appended version ${snapshot.number} again.`),
                );
            }
        } catch (err) {
            if (!(err instanceof PlatformError)) {
                throw err;
            }
        }
    }

    async #isDue(own: Snapshot): Promise<boolean> {
        const { next } = await this.#log.read(checkpointStream, Number.MAX_SAFE_INTEGER, 1, 0);
        const { records } = await this.#log.read(checkpointStream, Math.max(0, next - 1), 1, 0);
        const newest = records[0];
        if (!newest) {
            return true;
        }
        const head = parseCheckpointEnd(newest.data);
        if (!head) {
            return newest.ageMs > writingMs;
        }
        if (head.offset === own.offset && head.digest !== own.digest) {
            const text = `A checkpoint of version ${head.number} contradicts the log as read here.`;
            this.#events(configEvent("version-conflict", text));
            return true;
        }
        return this.#isWanting(own, head, newest.ageMs);
    }

    /** Tells whether a checkpoint is old, or leaves publications out that are many, old or gone. */
    async #isWanting(own: Snapshot, head: SnapshotHead, ageMs: number): Promise<boolean> {
        const { records, first, next } = await this.#log.read(configStream, head.upTo, 1, 0);
        if (head.upTo > next) {
            return true;
        }
        if (head.upTo > own.upTo) {
            return false;
        }
        if (ageMs > this.#periodMs) {
            return true;
        }
        const oldMs = records[0]?.ageMs ?? 0;
        const behind = first > head.upTo || next - head.upTo > maxRecordsBehind || oldMs > this.#periodMs;
        return behind && own.upTo > head.upTo;
    }
}
