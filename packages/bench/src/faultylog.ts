/** One process's way to the in-memory log, with faults of its own. */

import { PlatformError, type LogBatch, type LogService } from "@bramleymoor/platform/log";
import type { MemoryPlatform } from "@bramleymoor/platform/memory";

/** A log service that can be cut off, paused, and lose or delay what goes through it. */
export class FaultyLog implements LogService {
    disconnected = false;
    loseAnswers = 0;
    /** How many of the next appends seem to fail and take effect later. */
    delayAppends = 0;
    readonly #platform: MemoryPlatform;
    readonly #late: (() => void)[];
    #resume: (() => void) | undefined;
    #paused: Promise<void> | undefined;

    /** @param late gets appends that take effect later */
    constructor(platform: MemoryPlatform, late: (() => void)[]) {
        this.#platform = platform;
        this.#late = late;
    }

    /** Stops or wakes the process: nothing it awaits comes back before it is woken. */
    setPaused(paused: boolean): void {
        this.#resume?.();
        this.#resume = undefined;
        this.#paused = paused ? new Promise(resolve => (this.#resume = resolve)) : undefined;
    }

    /** Waits while the process is paused. */
    async untilResumed(): Promise<void> {
        await this.#paused;
    }

    async append(stream: string, data: string): Promise<number> {
        await this.untilResumed();
        this.#check();
        if (this.delayAppends > 0 && !this.#platform.down) {
            this.delayAppends--;
            this.#late.push(() => this.#platform.forceAppend(stream, data));
            throw new PlatformError("unavailable", "late");
        }
        const offset = await this.#platform.append(stream, data);
        await this.untilResumed();
        if (this.loseAnswers > 0) {
            this.loseAnswers--;
            throw new PlatformError("unavailable", "answer lost");
        }
        return offset;
    }

    async read(
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<LogBatch> {
        await this.untilResumed();
        this.#check();
        const batch = await this.#platform.read(stream, from, limit, waitMs, signal);
        await this.untilResumed();
        this.#check();
        return batch;
    }

    #check(): void {
        if (this.disconnected) {
            throw new PlatformError("unavailable", "cut off");
        }
    }
}
