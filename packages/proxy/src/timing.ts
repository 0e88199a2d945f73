/** Measures one call for the observer. */

import type { CallOutcome, CallRecord } from "./observer.js";

/** Collects the times and counts of one call; times are in milliseconds of a monotonic clock. */
export class CallTiming {
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
    #firstByteAt: number | undefined = undefined;

    constructor(now: number) {
        this.#startedAt = now;
    }

    enqueued(now: number): void {
        this.#queuedAt = now;
    }

    slotGranted(hedge: boolean, now: number): void {
        this.#sends++;
        this.#hedges += hedge ? 1 : 0;
        if (!hedge) {
            this.#queueMs += now - this.#queuedAt;
        }
    }

    sending(now: number): void {
        this.#sentAt = now;
    }

    /** Records the first byte of the response, or the failure, of the latest request. */
    firstByteReceived(now: number): void {
        this.#firstByteAt = now;
        if (this.#sentAt > 0) {
            this.#serverMs += now - this.#sentAt;
            this.#sentAt = 0;
        }
    }

    record(outcome: CallOutcome, status: number, now: number): CallRecord {
        const spent = (this.#firstByteAt ?? now) - this.#startedAt;
        return {
            service: this.service,
            tenant: this.tenant,
            class: this.class,
            outcome,
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
