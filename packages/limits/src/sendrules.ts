/** Combines all rules on when a request may be sent to a server. */

import type { SendLimiter } from "@bramleymoor/balance/limiter";
import type { ServerAvailability } from "./availability.js";
import type { RequestLimits } from "./limits.js";

/** Applies the servers' request limits, and the times for which they want no requests. */
export class SendRules implements SendLimiter {
    readonly #limits: RequestLimits;
    readonly #availability: ServerAvailability;

    constructor(limits: RequestLimits, availability: ServerAvailability) {
        this.#limits = limits;
        this.#availability = availability;
    }

    shareOf(key: string, now: number): number {
        return this.#limits.shareOf(key, now);
    }

    nextSendAt(key: string, now: number): number {
        return Math.max(this.#limits.nextSendAt(key, now), this.#availability.nextSendAt(key, now));
    }

    isPaused(key: string, now: number): boolean {
        return this.#availability.nextSendAt(key, now) > now;
    }

    isDue(key: string, now: number): boolean {
        return this.#limits.isDue(key, now);
    }

    recordDemand(key: string, now: number): void {
        this.#limits.recordDemand(key, now);
    }

    recordSend(key: string, now: number): void {
        this.#limits.recordSend(key, now);
        this.#availability.recordSend(key, now);
    }

    recordEnd(key: string, sentAt: number): void {
        this.#availability.recordEnd(key, sentAt);
    }

    recordProbe(key: string): void {
        this.#limits.recordProbe(key);
    }
}
