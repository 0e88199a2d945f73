/** The request limits that the backend servers of all services name, as one entry VM knows them. */

import type { SendLimiter } from "@bramleymoor/balance/limiter";
import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import { ServerLimit } from "./serverlimit.js";

/** What was sent to a limited server in a period. */
export interface ReportedUsage {
    /** Incarnation key of the server. */
    readonly key: string;
    readonly perSecond: number;
    readonly requests: number;
    readonly probes: number;
    readonly periodMs: number;
}

/** Counts the requests and probes to servers that name a request limit. */
export class RequestLimits implements SendLimiter {
    readonly #limits = new Map<string, ServerLimit>();
    #reportedAt: number;

    constructor(now: number) {
        this.#reportedAt = now;
    }

    /** Number of servers that name a limit. */
    get limitedServers(): number {
        return this.#limits.size;
    }

    /**
     * Records the limit that a server named in a response.
     *
     * @param perSecond Infinity if it named none
     * @returns whether the limit has changed
     */
    record(server: ServerEntry, perSecond: number): boolean {
        const key = incarnationKey(server);
        const known = this.#limits.get(key);
        if (perSecond === Infinity) {
            return this.#limits.delete(key);
        }
        const limit = known ?? new ServerLimit();
        this.#limits.set(key, limit);
        return limit.record(perSecond);
    }

    recordSend(key: string): void {
        this.#limits.get(key)?.recordSend();
    }

    recordProbe(key: string): void {
        this.#limits.get(key)?.recordProbe();
    }

    /** Returns what was sent to each limited server if a reporting period has ended; otherwise nothing. */
    takeUsage(now: number): readonly ReportedUsage[] {
        const periodMs = now - this.#reportedAt;
        if (periodMs < usagePeriodMs) {
            return [];
        }
        this.#reportedAt = now;
        return [...this.#limits]
            .map(([key, limit]) => ({ key, perSecond: limit.perSecond, ...limit.takeUsage(), periodMs }))
            .filter(it => it.requests + it.probes > 0);
    }
}

/** Bounds the log volume to one line per limited server in this time. */
const usagePeriodMs = 2_000;
