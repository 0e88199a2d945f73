/** Decides which backend server of a service to probe, and when none. */

import type { Service } from "@bramleymoor/model/spec";
import { ProbeBudget, type ProbeSettings } from "./budget.js";

/** What the dispatcher believes of one backend server; a part of its view. */
export interface ServerLoadView {
    readonly address: string;
    /** This entry VM's requests in progress. */
    readonly inFlight: number;
    /** Requests that this entry VM may have in progress. */
    readonly limit: number;
    readonly state: "serving" | "cold" | "ejected" | "draining" | "full" | "lent";
}

/** What the dispatcher believes of its service; a part of its view. */
export interface ServiceLoadView {
    readonly queued: number;
    readonly inFlight: number;
    readonly servers: readonly ServerLoadView[];
}

/** What measuring has cost this process so far. */
export interface ProbeCost {
    readonly probes: number;
    /** Probes without a readable answer. */
    readonly failed: number;
    /** Server time by the settings' cost of a probe, in milliseconds. */
    readonly serverMs: number;
    /** Time spent by this process, in milliseconds. */
    readonly entryMs: number;
    /** Bytes sent and received. */
    readonly bytes: number;
}

/** A server that was heard of within so many milliseconds needs no probe. */
export const staleAfterMs = 500;

/** Probes one service: only what is stale and could change the next decision, inside the budget. */
export class Prober {
    readonly #settings: ProbeSettings;
    readonly #budget: ProbeBudget;
    readonly #heardAt = new Map<string, number>();
    readonly #probedAt = new Map<string, number>();
    #cost: ProbeCost = { probes: 0, failed: 0, serverMs: 0, entryMs: 0, bytes: 0 };

    constructor(settings: ProbeSettings, service: Service, now: number) {
        this.#settings = settings;
        this.#budget = new ProbeBudget(settings, service, now);
    }

    /** What measuring has cost this process so far. */
    get cost(): ProbeCost {
        return this.#cost;
    }

    /** Follows a newly accepted text and forgets servers that it no longer has. */
    updateService(service: Service): void {
        this.#budget.updateService(service);
        const addresses = new Set(service.servers.map(server => server.address));
        forget(this.#heardAt, addresses);
        forget(this.#probedAt, addresses);
    }

    /** Takes note of any load report of a server, piggybacked ones above all. */
    recordReport(address: string, now: number): void {
        this.#heardAt.set(address, now);
    }

    /**
     * The server to probe now, or undefined. The probe must be sent at once and cancelled at the settings'
     * timeout. Call this at least every quarter of that timeout, so that pauses of the process are noticed.
     */
    nextServer(belief: ServiceLoadView, now: number): string | undefined {
        this.#budget.detectPause(now);
        const address = this.#stalest(belief, now);
        if (address === undefined || !this.#budget.tryAcquire(now)) {
            return undefined;
        }
        this.#probedAt.set(address, now);
        this.#cost = {
            ...this.#cost,
            probes: this.#cost.probes + 1,
            serverMs: this.#cost.serverMs + this.#settings.probeCostMs,
        };
        return address;
    }

    /** Tells how a probe ended, and what it cost this process. */
    recordResult(answered: boolean, entryMs: number, bytes: number): void {
        this.#cost = {
            ...this.#cost,
            failed: this.#cost.failed + (answered ? 0 : 1),
            entryMs: this.#cost.entryMs + entryMs,
            bytes: this.#cost.bytes + bytes,
        };
    }

    /** Why a probe may or may not be sent now, in one sentence. */
    explain(now: number): string {
        return this.#budget.explain(now);
    }

    #stalest(belief: ServiceLoadView, now: number): string | undefined {
        const choices = belief.servers.filter(isChoice);
        if (choices.length < 2 || belief.queued + belief.inFlight === 0) {
            return undefined;
        }
        const stale = choices.filter(server => this.#isStale(server.address, now));
        stale.sort((a, b) => this.#lastAt(a.address) - this.#lastAt(b.address));
        return stale[0]?.address;
    }

    #isStale(address: string, now: number): boolean {
        return now - this.#lastAt(address) >= staleAfterMs;
    }

    #lastAt(address: string): number {
        return Math.max(this.#heardAt.get(address) ?? -Infinity, this.#probedAt.get(address) ?? -Infinity);
    }
}

const isChoice = (server: ServerLoadView): boolean => {
    const open = server.state === "serving" || server.state === "cold" || server.state === "ejected";
    return open && server.inFlight < server.limit;
};

const forget = (map: Map<string, number>, keep: ReadonlySet<string>): void => {
    for (const key of map.keys()) {
        if (!keep.has(key)) {
            map.delete(key);
        }
    }
};
