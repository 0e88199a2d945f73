/** Combines all rules on when a request may be sent to a server. */

import type { SendLimiter } from "@bramleymoor/balance/limiter";
import type { ServerAvailability } from "./availability.js";
import type { ColdServers } from "./coldservers.js";
import type { RequestLimits } from "./limits.js";

/** Applies the servers' request limits, the times for which they want no requests, and what is known of cold servers. */
export class SendRules implements SendLimiter {
    readonly #limits: RequestLimits;
    readonly #availability: ServerAvailability;
    readonly #cold: ColdServers;

    constructor(limits: RequestLimits, availability: ServerAvailability, cold: ColdServers) {
        this.#limits = limits;
        this.#availability = availability;
        this.#cold = cold;
    }

    shareOf(key: string, now: number): number {
        return this.#limits.shareOf(key, now);
    }

    nextSendAt(key: string, now: number): number {
        return Math.max(
            this.#limits.nextSendAt(key, now),
            this.#availability.nextSendAt(key, now),
            this.#cold.nextProbeAt(key),
        );
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
        this.#cold.recordSend(key);
    }

    recordEnd(key: string, sentAt: number): void {
        this.#availability.recordEnd(key, sentAt);
    }

    recordProbe(key: string): void {
        this.#limits.recordProbe(key);
    }

    /**
     * A server that names a lower limit than a cold one bears isn't probed, as the limit protects it as well and probes count
     * as requests for it.
     */
    mustProbe(key: string, now: number): boolean {
        const named = this.#limits.limitOf(key);
        return !this.#isProtected(key, named) && this.#cold.mustProbe(key, named !== Infinity, now);
    }

    isProbeDue(key: string, now: number): boolean {
        return !this.#isProtected(key, this.#limits.limitOf(key)) && this.#cold.isProbeDue(key, now);
    }

    isCold(key: string, now: number): boolean {
        return this.#cold.isCold(key, now);
    }

    recordFailure(key: string, now: number): void {
        this.#cold.recordFailure(key, now);
    }

    recordUnansweredProbe(key: string, now: number): void {
        this.#cold.recordUnansweredProbe(key, now);
    }

    #isProtected(key: string, namedLimit: number): boolean {
        return namedLimit <= (this.#cold.coldRateOf(key) ?? 0);
    }
}
