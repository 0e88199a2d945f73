/** What one dispatcher knows of one backend server. */

import type { BackendServer } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { ServerHealth } from "./health.js";
import { type Trust } from "./health.js";
import type { ServerView, Slot, SlotResult } from "./types.js";

/** A backend server through one dispatcher: its slots in flight and what its answers have told. */
export class ServerState {
    #server: BackendServer;
    #owned = 0;
    #connections: Connections = { spare: 0, even: 0 };
    #leaving = false;
    #drainUntil = 0;
    #averageMs = 0;
    #peakMs = 0;
    #peakAt = 0;
    readonly #health: ServerHealth;
    readonly #slots = new Set<Slot>();
    #reported: { readonly report: LoadReport; readonly at: number } | undefined;

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

    /** Slots that this dispatcher may use when the server is trusted. */
    get owned(): number {
        return this.#owned;
    }

    /** Connections that this dispatcher may use if slots are not shared. */
    get connections(): number {
        return this.#connections.even;
    }

    /** Connections that this dispatcher may use beyond the slots it owns. */
    get spareConnections(): number {
        return this.#connections.spare;
    }

    /** Latest load report; undefined before the first. */
    get reported(): LoadReport | undefined {
        return this.#reported?.report;
    }

    /** Recent latency of its answers in milliseconds; 0 before the first. */
    get averageMs(): number {
        return this.#averageMs;
    }

    /** False if the server is known to be leaving. */
    available(now: number): boolean {
        return !this.#leaving && !this.#server.leaving && now >= this.#drainUntil;
    }

    trust(oddsLimit: number, now: number): Trust {
        return this.#health.trust(oddsLimit, now);
    }

    /** Age of the oldest request without a first byte, in milliseconds; 0 if there is none. */
    oldestAge(now: number): number {
        return this.#health.oldestAge(now);
    }

    /** Log-odds that it is slow now. */
    slowOdds(now: number): number {
        return this.#health.slowOdds(now);
    }

    /** Latency that rises at once and decays slowly, in milliseconds. */
    peakLatency(now: number): number {
        return this.#peakMs * Math.exp((this.#peakAt - now) / peakDecayMs);
    }

    follow(server: BackendServer): void {
        this.#server = server;
    }

    /** Sets how many of its slots this dispatcher may use. */
    allot(owned: number): void {
        this.#owned = owned;
    }

    /** Sets this dispatcher's part of the connections. */
    allotConnections(connections: Connections): void {
        this.#connections = connections;
    }

    markLeaving(leaving: boolean): void {
        this.#leaving = leaving;
    }

    start(slot: Slot): void {
        this.#slots.add(slot);
        this.#health.started(slot);
    }

    /** Takes note of an answer's first byte; false if it came before. */
    answering(slot: Slot, now: number): boolean {
        return this.#health.answering(slot, now);
    }

    /** Takes note of a slot's end; false if it wasn't in flight. */
    settle(slot: Slot, result: SlotResult, now: number): boolean {
        if (!this.#slots.delete(slot)) {
            return false;
        }
        this.#health.ended(slot, result, now);
        if (result.kind === "answered") {
            this.#noteLatency(now - slot.grantedAt, now);
        }
        if (result.kind === "refused" && result.draining) {
            this.#drainUntil = now + drainMemoryMs;
        }
        return true;
    }

    report(report: LoadReport, ageMs: number, now: number): void {
        const at = now - Math.max(0, ageMs);
        if (this.#reported && this.#reported.at > at) {
            return;
        }
        this.#reported = { report, at };
        if (report.draining) {
            this.#drainUntil = now + drainMemoryMs;
        }
    }

    view(limit: number, trust: Trust, lent: boolean, now: number): ServerView {
        const state = this.#viewState(limit, trust, lent, now);
        return { address: this.#server.address, inFlight: this.inFlight, limit, state, why: reasons[state] };
    }

    #viewState(limit: number, trust: Trust, lent: boolean, now: number): ServerView["state"] {
        if (!this.available(now)) {
            return "draining";
        }
        if (trust === "ejected" || trust === "slow") {
            return "ejected";
        }
        if (lent && this.#owned === 0) {
            return "lent";
        }
        if (trust === "trial") {
            return "cold";
        }
        return this.inFlight >= limit ? "full" : "serving";
    }

    #noteLatency(latencyMs: number, now: number): void {
        const weight = Math.exp((this.#peakAt - now) / peakDecayMs);
        const average = this.#peakMs * weight + latencyMs * (1 - weight);
        this.#peakMs = Math.max(latencyMs, average);
        this.#peakAt = now;
        this.#averageMs += (latencyMs - this.#averageMs) * (this.#averageMs === 0 ? 1 : averageWeight);
    }
}

/** A dispatcher's part of the connections that a server accepts from all entry VMs together. */
export interface Connections {
    /** Beyond the slots that the dispatcher owns. */
    readonly spare: number;
    /** In all, for a dispatcher that doesn't share slots. */
    readonly even: number;
}

const reasons: Readonly<Record<ServerView["state"], string>> = {
    serving: "It has free slots.",
    full: "All the slots that this entry VM may use are in use.",
    cold: "It is new or its last answer was a failure; it gets one request at a time.",
    ejected: "It has failed several times or is probably slow; it gets no new work for now.",
    draining: "It is leaving.",
    lent: "Its slots are lent to another entry VM.",
};

/** How long a server's own word that it is draining holds. */
const drainMemoryMs = 5_000;
/** Time constant of the peak-sensitive latency average. */
const peakDecayMs = 1_000;
const averageWeight = 0.2;
