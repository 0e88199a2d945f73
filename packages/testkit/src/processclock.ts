/** The time that a process has had. */

import { openSync, readSync } from "node:fs";

/**
 * A monotonic clock that stands while the process could run and is kept from the processor, so that a test beside others measures
 * what the code under test does. A busy event loop counts. Where the system doesn't tell that time, all time counts.
 */
export class ProcessClock {
    readonly #file = openSchedulingFile();
    readonly #buffer = Buffer.alloc(maxFileBytes);
    #waitedMs = 0;
    #readAt = -Infinity;
    #last = 0;

    /** Returns milliseconds. */
    now(): number {
        const now = performance.now();
        if (this.#file !== undefined && now - this.#readAt >= readIntervalMs) {
            this.#readAt = now;
            const bytes = readSync(this.#file, this.#buffer, 0, maxFileBytes, 0);
            // Time on the processor, time waiting for it, number of turns.
            const [, waitedNs] = this.#buffer.toString("latin1", 0, bytes).split(" ");
            this.#waitedMs = Number(waitedNs) / nsPerMs;
        }
        this.#last = Math.max(this.#last, now - this.#waitedMs);
        return this.#last;
    }
}

/** Opens what Linux says of the scheduling of this process's main thread. */
const openSchedulingFile = (): number | undefined => {
    try {
        return openSync("/proc/self/schedstat", "r");
    } catch {
        return undefined;
    }
};

/** The file holds three numbers of at most 20 digits. */
const maxFileBytes = 64;
/** A read takes some microseconds, and tests read their clock for each request. */
const readIntervalMs = 1;
const nsPerMs = 1e6;
