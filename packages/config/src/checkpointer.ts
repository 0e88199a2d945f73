/** Appends a checkpoint of the accepted version before the last one expires. */

import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import { sleep as realSleep, type Random, type Sleep } from "@bramleymoor/platform/timers";
import { appendCheckpoint, checkpointStream, parseCheckpointEnd } from "./checkpoint.js";
import { configEvent, type ConfigEventHandler } from "./events.js";
import type { Follower } from "./follower.js";
import { configStream } from "./record.js";
import { appendRestoration } from "./restorations.js";
import type { Snapshot, SnapshotHead } from "./snapshot.js";

/** Records of the log after which the next checkpoint is due. */
const maxRecordsBehind = 1000;
const checksPerPeriod = 20;
/** Age at which a checkpoint without an end record is taken as abandoned. */
const abandonedAfterMs = 30_000;

/** Dependencies and settings of a checkpointer. */
export interface CheckpointerOptions {
    readonly log: LogService;
    readonly follower: Pick<Follower, "snapshot">;
    readonly events: ConfigEventHandler;
    readonly random: Random;
    /** Shortest time for which the log keeps a record, in milliseconds. */
    readonly retentionMs: number;
    readonly sleep?: Sleep;
}

/**
 * Checks the end of the checkpoint stream at random times and appends a checkpoint if one is due. Several entry VMs may
 * append at the same time, or append a stale checkpoint: readers only continue the log from a checkpoint, and never take
 * it as proof that its version is the newest.
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

    /** Checks at random times until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        for (;;) {
            await this.#sleep((this.#periodMs / checksPerPeriod) * 2 * this.#random(), signal);
            if (signal.aborted) {
                return;
            }
            await this.check();
        }
    }

    /** Checks once, and appends a checkpoint if one is due. */
    async check(): Promise<void> {
        const snapshot = this.#follower.snapshot();
        if (!snapshot) {
            return;
        }
        try {
            if (await this.#isDue(snapshot)) {
                await appendCheckpoint(this.#log, snapshot, `${snapshot.number}-${this.#random()}`);
                if (snapshot.era > 0) {
                    await appendRestoration(this.#log, snapshot.era);
                }
                this.#events(
                    configEvent(
                        "checkpoint-appended",
                        `Appended a checkpoint of version ${snapshot.number}.`,
                    ),
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
            return newest.ageMs > abandonedAfterMs;
        }
        if (head.era !== own.era) {
            return head.era < own.era;
        }
        if (head.offset === own.offset && head.digest !== own.digest) {
            const text = `A checkpoint of version ${head.number} contradicts the log as read so far.`;
            this.#events(configEvent("version-conflict", text));
            return true;
        }
        return this.#isOutdated(own, head, newest.ageMs);
    }

    /** Returns whether a checkpoint is old, or is followed by many, old or expired publications. */
    async #isOutdated(own: Snapshot, head: SnapshotHead, ageMs: number): Promise<boolean> {
        const { records, first, next } = await this.#log.read(configStream, head.upTo, 1, 0);
        if (own.upTo > next || head.upTo > next) {
            // The log has lost records. The newest version stays the newest checkpoint, so that publishers notice.
            return own.upTo > head.upTo || ageMs > this.#periodMs;
        }
        if (head.upTo > own.upTo) {
            return false;
        }
        if (ageMs > this.#periodMs) {
            return true;
        }
        const firstMissingAgeMs = records[0]?.ageMs ?? 0;
        const isBehind =
            first > head.upTo || next - head.upTo > maxRecordsBehind || firstMissingAgeMs > this.#periodMs;
        return isBehind && own.upTo > head.upTo;
    }
}
