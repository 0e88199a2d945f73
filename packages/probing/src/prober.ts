/** Decides when to probe, and which backend server of a service. */

import type { Service } from "@bramleymoor/model/spec";
import { ProbeBudget, type ProbeSettings } from "./budget.js";

/** The part of a dispatcher's view of a backend server that the prober needs. */
export interface ServerLoadView {
    readonly address: string;
    /** This entry VM's requests in flight. */
    readonly inFlight: number;
    /** Maximum number of this entry VM's requests in flight. */
    readonly limit: number;
    readonly state: "serving" | "cold" | "ejected" | "draining" | "full" | "limited" | "lent";
}

/** The part of a dispatcher's view of its service that the prober needs. */
export interface ServiceLoadView {
    readonly queued: number;
    readonly inFlight: number;
    readonly servers: readonly ServerLoadView[];
}

/** Cost of the probes of a process. */
export interface ProbeCost {
    readonly probes: number;
    /** Probes without a valid response. */
    readonly failed: number;
    /** Server time charged by `probeCostMs`, in milliseconds. */
    readonly serverMs: number;
    /** Time that this process spent, in milliseconds. */
    readonly entryMs: number;
    /** Bytes sent and received. */
    readonly bytes: number;
}

/** A server with a report or probe within this time needs no probe; milliseconds. */
export const staleAfterMs = 500;

/** Selects the probes of one service: only servers with stale load that could be chosen next, within the budget. */
export class Prober {
    readonly #settings: ProbeSettings;
    readonly #budget: ProbeBudget;
    readonly #reportedAt = new Map<string, number>();
    readonly #probedAt = new Map<string, number>();
    #cost: ProbeCost = { probes: 0, failed: 0, serverMs: 0, entryMs: 0, bytes: 0 };

    constructor(settings: ProbeSettings, service: Service, now: number) {
        this.#settings = settings;
        this.#budget = new ProbeBudget(settings, service, now);
    }

    /** Cost of all probes of this process so far. */
    get cost(): ProbeCost {
        return this.#cost;
    }

    /** Applies a newly accepted configuration and removes the servers that it no longer has. */
    updateService(service: Service): void {
        this.#budget.updateService(service);
        const addresses = new Set(service.servers.map(server => server.address));
        retainKeys(this.#reportedAt, addresses);
        retainKeys(this.#probedAt, addresses);
    }

    /** Records that a load report of a server arrived, with a probe or piggybacked on a response. */
    recordReport(address: string, now: number): void {
        this.#reportedAt.set(address, now);
    }

    /**
     * Returns the address of the server to probe now, or undefined. The probe must be sent at once and cancelled at
     * `probeTimeoutMs`. Must be called at intervals of at most a quarter of that timeout, so that pauses of the
     * process are detected.
     */
    nextServer(view: ServiceLoadView, now: number): string | undefined {
        this.#budget.detectPause(now);
        const address = this.#stalestServer(view, now);
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

    /** Records how a probe ended and its cost for this process: time in milliseconds and bytes. */
    recordResult(answered: boolean, entryMs: number, bytes: number): void {
        this.#cost = {
            ...this.#cost,
            failed: this.#cost.failed + (answered ? 0 : 1),
            entryMs: this.#cost.entryMs + entryMs,
            bytes: this.#cost.bytes + bytes,
        };
    }

    /** Returns a sentence that says why a probe may or may not be sent now. */
    explain(now: number): string {
        return this.#budget.explain(now);
    }

    #stalestServer(view: ServiceLoadView, now: number): string | undefined {
        const eligible = view.servers.filter(isEligible);
        if (eligible.length < 2 || view.queued + view.inFlight === 0) {
            return undefined;
        }
        const stale = eligible.filter(server => this.#isStale(server.address, now));
        stale.sort((a, b) => this.#lastUpdateAt(a.address) - this.#lastUpdateAt(b.address));
        return stale[0]?.address;
    }

    #isStale(address: string, now: number): boolean {
        return now - this.#lastUpdateAt(address) >= staleAfterMs;
    }

    #lastUpdateAt(address: string): number {
        return Math.max(this.#reportedAt.get(address) ?? -Infinity, this.#probedAt.get(address) ?? -Infinity);
    }
}

const isEligible = (server: ServerLoadView): boolean => {
    const open = server.state === "serving" || server.state === "cold" || server.state === "ejected";
    return open && server.inFlight < server.limit;
};

const retainKeys = (map: Map<string, number>, keep: ReadonlySet<string>): void => {
    for (const key of map.keys()) {
        if (!keep.has(key)) {
            map.delete(key);
        }
    }
};
