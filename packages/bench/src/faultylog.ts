/** Fault injection between one process and the in-memory log. */

import { PlatformError, type LogBatch, type LogService } from "@bramleymoor/platform/log";
import type { MemoryPlatform } from "@bramleymoor/platform/memory";

/** A log service that can be disconnected or paused, and that can lose responses and delay appends. */
export class FaultyLog implements LogService {
    disconnected = false;
    /** Number of next appends that take effect but whose response is lost. */
    loseAnswers = 0;
    /** Number of next appends that fail for the process and take effect later. */
    delayAppends = 0;
    readonly #platform: MemoryPlatform;
    readonly #delayedAppends: (() => void)[];
    #resume: (() => void) | undefined;
    #paused: Promise<void> | undefined;

    /** @param delayedAppends receives a function for each delayed append that performs it */
    constructor(platform: MemoryPlatform, delayedAppends: (() => void)[]) {
        this.#platform = platform;
        this.#delayedAppends = delayedAppends;
    }

    /** Pauses or resumes the process; while it is paused, none of its calls returns. */
    setPaused(paused: boolean): void {
        this.#resume?.();
        this.#resume = undefined;
        this.#paused = paused ? new Promise(resolve => (this.#resume = resolve)) : undefined;
    }

    /** Resolves once the process is not paused. */
    async untilResumed(): Promise<void> {
        await this.#paused;
    }

    async append(stream: string, data: string): Promise<number> {
        await this.untilResumed();
        this.#checkConnected();
        if (this.delayAppends > 0 && !this.#platform.down) {
            this.delayAppends--;
            this.#delayedAppends.push(() => this.#platform.forceAppend(stream, data));
            throw new PlatformError("unavailable", "append delayed");
        }
        const offset = await this.#platform.append(stream, data);
        await this.untilResumed();
        if (this.loseAnswers > 0) {
            this.loseAnswers--;
            throw new PlatformError("unavailable", "response lost");
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
        this.#checkConnected();
        const batch = await this.#platform.read(stream, from, limit, waitMs, signal);
        await this.untilResumed();
        this.#checkConnected();
        return batch;
    }

    #checkConnected(): void {
        if (this.disconnected) {
            throw new PlatformError("unavailable", "disconnected");
        }
    }
}
