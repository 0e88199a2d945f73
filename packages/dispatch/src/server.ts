/** What one dispatcher knows of one backend server. */

import type { BackendServer } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/answer";
import type { ServerView, Slot, SlotResult } from "./types.js";

/** A backend server through one dispatcher: its slots in flight and what its answers have told. */
export class ServerState {
    #server: BackendServer;
    #owned: number;
    #leaving = false;
    #drainUntil = 0;
    readonly #slots = new Set<Slot>();
    #peakMs = 0;
    #peakAt = 0;
    #reported: { readonly report: LoadReport; readonly at: number } | undefined;

    /** @param owned how many of its slots this dispatcher may use */
    constructor(server: BackendServer, owned: number) {
        this.#server = server;
        this.#owned = owned;
    }

    get server(): BackendServer {
        return this.#server;
    }

    get inFlight(): number {
        return this.#slots.size;
    }

    /** Requests that this dispatcher may have in flight here now. */
    limit(now: number): number {
        return this.#isLeaving(now) ? 0 : this.#owned;
    }

    free(now: number): number {
        return Math.max(0, this.limit(now) - this.#slots.size);
    }

    /** Latest load report; undefined before the first. */
    get reported(): LoadReport | undefined {
        return this.#reported?.report;
    }

    /** False if the server is known to be leaving. */
    available(now: number): boolean {
        return !this.#isLeaving(now);
    }

    /** Latency that rises at once and decays slowly, in milliseconds. */
    peakLatency(now: number): number {
        return this.#peakMs * Math.exp((this.#peakAt - now) / peakDecayMs);
    }

    follow(server: BackendServer, owned: number): void {
        this.#server = server;
        this.#owned = owned;
    }

    markLeaving(leaving: boolean): void {
        this.#leaving = leaving;
    }

    start(slot: Slot): void {
        this.#slots.add(slot);
    }

    /** Takes note of a slot's end; false if it wasn't in flight. */
    settle(slot: Slot, result: SlotResult, now: number): boolean {
        if (!this.#slots.delete(slot)) {
            return false;
        }
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

    view(now: number): ServerView {
        const limit = this.limit(now);
        const state = this.#isLeaving(now) ? "draining" : this.inFlight >= limit ? "full" : "serving";
        const why = {
            draining: "It is leaving.",
            full: "All its slots are in use.",
            serving: "It has free slots.",
        };
        return { address: this.#server.address, inFlight: this.inFlight, limit, state, why: why[state] };
    }

    #noteLatency(latencyMs: number, now: number): void {
        const weight = Math.exp((this.#peakAt - now) / peakDecayMs);
        const average = this.#peakMs * weight + latencyMs * (1 - weight);
        this.#peakMs = Math.max(latencyMs, average);
        this.#peakAt = now;
    }

    #isLeaving(now: number): boolean {
        return this.#leaving || this.#server.leaving || now < this.#drainUntil;
    }
}

/** How long a server's own word that it is draining holds. */
const drainMemoryMs = 5_000;

/** Time constant of the peak-sensitive latency average. */
const peakDecayMs = 1_000;
