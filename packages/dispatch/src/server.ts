/** State of one backend server as one dispatcher knows it. */

import type { BackendServer } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { ServerHealth } from "./health.js";
import { type HealthState } from "./health.js";
import { RequestLimit } from "./requestlimit.js";
import type { ServerView, Share, Slot, SlotResult } from "./types.js";

/** A backend server: its slots in flight, load and health. */
export class ServerState {
    #server: BackendServer;
    #allocated = 0;
    #connectionShare: ConnectionShare = { spare: 0, total: 0 };
    #leaving = false;
    #drainingUntil = 0;
    #peakLatencyMs = 0;
    #peakLatencyAt = 0;
    readonly #health: ServerHealth;
    readonly #limit = new RequestLimit();
    readonly #slots = new Set<Slot>();
    #latestReport: { readonly report: LoadReport; readonly at: number } | undefined;

    constructor(server: BackendServer, health: ServerHealth) {
        this.#server = server;
        this.#health = health;
    }

    get server(): BackendServer {
        return this.#server;
    }

    get inFlight(): number {
        return this.#slots.size;
    }

    /** Number of the server's slots that are allocated to this dispatcher. */
    get allocated(): number {
        return this.#allocated;
    }

    /** Connections that this dispatcher may use with a chooser that doesn't share slots. */
    get connections(): number {
        return this.#connectionShare.total;
    }

    /** Connections that this dispatcher may use beyond its allocated slots. */
    get spareConnections(): number {
        return this.#connectionShare.spare;
    }

    /** Latest load report; undefined before the first. */
    get loadReport(): LoadReport | undefined {
        return this.#latestReport?.report;
    }

    /** Whether the server isn't known to be leaving. */
    isAvailable(now: number): boolean {
        return !this.#leaving && !this.#server.leaving && now >= this.#drainingUntil;
    }

    healthState(logOddsLimit: number, now: number): HealthState {
        return this.#health.state(logOddsLimit, now);
    }

    /** Age of the oldest request without a first byte of its response, in milliseconds; 0 if there is none. */
    oldestAgeMs(now: number): number {
        return this.#health.oldestAgeMs(now);
    }

    /** Log-odds that the server is slow now. */
    slowLogOdds(now: number): number {
        return this.#health.slowLogOdds(now);
    }

    /** Latency estimate in milliseconds that follows peaks at once and decays slowly. */
    peakLatencyMs(now: number): number {
        return this.#peakLatencyMs * Math.exp((this.#peakLatencyAt - now) / peakDecayMs);
    }

    update(server: BackendServer): void {
        this.#server = server;
    }

    /** Sets how many of the server's slots this dispatcher may use. */
    setAllocation(allocated: number): void {
        this.#allocated = allocated;
    }

    /** Sets this dispatcher's share of the server's connections. */
    setConnections(connections: ConnectionShare): void {
        this.#connectionShare = connections;
    }

    /** Sets this dispatcher's place among those that share the server's request limit. */
    setLimitShare(share: Share): void {
        this.#limit.setShare(share);
    }

    /** Earliest time at which the server's request limit allows the next request. */
    get nextSendAt(): number {
        return this.#limit.nextSendAt();
    }

    /** Whether the server names a request limit. */
    get isLimited(): boolean {
        return this.#limit.perSecond !== Infinity;
    }

    /** Records the request limit that the server named at `namedAt`; Infinity if it named none. */
    recordLimit(perSecond: number, namedAt: number, now: number): void {
        this.#limit.record(perSecond, namedAt, now);
    }

    /** Sets whether the server is leaving according to the platform's list. */
    markLeaving(leaving: boolean): void {
        this.#leaving = leaving;
    }

    start(slot: Slot): void {
        this.#slots.add(slot);
        this.#limit.recordSend(slot.grantedAt);
        this.#health.recordStart(slot);
    }

    /** Records the first byte of a response; false if already recorded. */
    recordFirstByte(slot: Slot, now: number): boolean {
        return this.#health.recordFirstByte(slot, now);
    }

    /** Records how a slot's request ended; false if the slot wasn't in flight. */
    settle(slot: Slot, result: SlotResult, now: number): boolean {
        if (!this.#slots.delete(slot)) {
            return false;
        }
        this.#health.recordEnd(slot, result, now);
        if (result.kind === "answered") {
            this.#recordLatency(now - slot.grantedAt, now);
        }
        if (result.kind === "refused" && result.draining) {
            this.#drainingUntil = now + drainingHoldMs;
        }
        return true;
    }

    /** Records a load report that is `ageMs` old, unless a newer one is known. */
    recordLoad(report: LoadReport, ageMs: number, now: number): void {
        const at = now - Math.max(0, ageMs);
        if (this.#latestReport && this.#latestReport.at > at) {
            return;
        }
        this.#latestReport = { report, at };
        if (report.draining) {
            this.#drainingUntil = now + drainingHoldMs;
        }
    }

    view(limit: number, health: HealthState, lent: boolean, now: number): ServerView {
        const state = this.#viewState(limit, health, lent, now);
        return { address: this.#server.address, inFlight: this.inFlight, limit, state, why: reasons[state] };
    }

    #viewState(limit: number, health: HealthState, lent: boolean, now: number): ServerView["state"] {
        if (!this.isAvailable(now)) {
            return "draining";
        }
        if (health === "ejected" || health === "slow") {
            return "ejected";
        }
        if (lent && this.#allocated === 0) {
            return "lent";
        }
        if (this.nextSendAt > now) {
            return "limited";
        }
        if (health === "trial") {
            return "cold";
        }
        return this.inFlight >= limit ? "full" : "serving";
    }

    #recordLatency(latencyMs: number, now: number): void {
        const weight = Math.exp((this.#peakLatencyAt - now) / peakDecayMs);
        const average = this.#peakLatencyMs * weight + latencyMs * (1 - weight);
        this.#peakLatencyMs = Math.max(latencyMs, average);
        this.#peakLatencyAt = now;
    }
}

/** A dispatcher's share of the connections that a server accepts from all entry VMs together. */
export interface ConnectionShare {
    /** Connections beyond the dispatcher's allocated slots. */
    readonly spare: number;
    /** All connections of a dispatcher whose chooser doesn't share slots. */
    readonly total: number;
}

const reasons: Readonly<Record<ServerView["state"], string>> = {
    serving: "It has free slots.",
    full: "All the slots that this entry VM may use are in use.",
    cold: "It is new or its last answer was a failure; it gets one request at a time.",
    ejected: "It has failed several times or is probably slow; it gets no new work for now.",
    draining: "It is leaving.",
    limited: "It limits its requests per second, and this entry VM has used its share.",
    lent: "Its slots are lent to another entry VM.",
};

/** Time for which a server counts as draining after it has said so. */
const drainingHoldMs = 5_000;
/** Time constant of the peak-sensitive latency average. */
const peakDecayMs = 1_000;
