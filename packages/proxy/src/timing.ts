/** Times and counts of one call, told to the observer when it has ended. */

import type { CallOutcome, CallRecord } from "./observer.js";

/** Collects one call's record; times are milliseconds of a monotonic clock. */
export class Timing {
    service = "-";
    tenant = "-";
    class = "-";
    bytesOut = 0;
    retries = 0;
    readonly #startedAt: number;
    #sends = 0;
    #hedges = 0;
    #queuedAt = 0;
    #queueMs = 0;
    #sentAt = 0;
    #serverMs = 0;
    #headAt: number | undefined = undefined;

    constructor(now: number) {
        this.#startedAt = now;
    }

    queued(now: number): void {
        this.#queuedAt = now;
    }

    granted(hedge: boolean, now: number): void {
        this.#sends++;
        this.#hedges += hedge ? 1 : 0;
        if (!hedge) {
            this.#queueMs += now - this.#queuedAt;
        }
    }

    sending(now: number): void {
        this.#sentAt = now;
    }

    /** The first byte of the answer, or the failure, of what was sent last. */
    headed(now: number): void {
        this.#headAt = now;
        if (this.#sentAt > 0) {
            this.#serverMs += now - this.#sentAt;
            this.#sentAt = 0;
        }
    }

    record(end: CallOutcome, status: number, now: number): CallRecord {
        const spent = (this.#headAt ?? now) - this.#startedAt;
        return {
            service: this.service,
            tenant: this.tenant,
            class: this.class,
            outcome: end,
            status,
            queueMs: this.#queueMs,
            serverMs: this.#serverMs,
            addedMs: Math.max(0, spent - this.#queueMs - this.#serverMs),
            totalMs: now - this.#startedAt,
            bytesOut: this.bytesOut,
            sends: this.#sends,
            hedges: this.#hedges,
            retries: this.retries,
        };
    }
}
