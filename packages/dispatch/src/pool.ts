/** The backend servers of one service through one dispatcher: which may get work, and how much. */

import type { BackendServer, Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { Trust } from "./health.js";
import { LatencyModel } from "./latency.js";
import { ServerHealth } from "./health.js";
import { type Connections, ServerState } from "./server.js";
import type { Call, ServerView, Share, Slot, SlotResult } from "./types.js";

/** Servers of the accepted text, and those no longer in it that still work for us. */
export class ServerPool {
    #servers: ReadonlyMap<string, ServerState> = new Map();
    #inOrder: readonly ServerState[] = [];
    #owned: readonly number[] = [];
    readonly #gone = new Map<string, ServerState>();
    readonly #latencies = new LatencyModel();
    #leaving: ReadonlySet<string> = new Set();
    #ejectShare = 0;

    /** Servers of the accepted text. */
    get servers(): readonly ServerState[] {
        return this.#inOrder;
    }

    follow(service: Service, share: Share): void {
        const before = this.#servers;
        this.#ejectShare = service.ejectShare;
        this.#servers = new Map(service.servers.map(it => [it.address, this.#adopt(it)]));
        this.#inOrder = [...this.#servers.values()];
        this.#inOrder.forEach((it, position) =>
            it.allotConnections(connectionsOf(it.server, position, share)),
        );
        this.#owned = [];
        for (const [address, state] of before) {
            if (!this.#servers.has(address) && state.inFlight > 0) {
                this.#gone.set(address, state);
            }
        }
        this.leaving(this.#leaving);
    }

    /** Sets how many slots of each server this dispatcher may use, by position in the accepted text. */
    allot(owned: readonly number[]): void {
        if (owned !== this.#owned) {
            this.#owned = owned;
            this.servers.forEach((it, position) => it.allot(owned[position] ?? 0));
        }
    }

    /** Idle slots that may be used, one entry a slot: positions of their servers. */
    idleSlots(now: number): readonly number[] {
        const trusts = this.#trusts(0, now);
        return this.servers.flatMap((it, position) => {
            const idle = Math.max(0, limitOf(it, trusts, now) - it.inFlight);
            return Array.from({ length: idle }, () => position);
        });
    }

    get inFlight(): number {
        return this.servers.reduce((sum, it) => sum + it.inFlight, 0);
    }

    leaving(addresses: ReadonlySet<string>): void {
        this.#leaving = addresses;
        this.#servers.forEach((state, address) => state.markLeaving(addresses.has(address)));
    }

    report(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#state(address)?.report(report, ageMs, now);
    }

    answering(slot: Slot, now: number): void {
        if (this.#state(slot.server.address)?.answering(slot, now)) {
            this.#latencies.add(now - slot.grantedAt);
        }
    }

    /** Takes note of a slot's end; throws if it was settled before. */
    settle(slot: Slot, result: SlotResult, now: number): void {
        const { address } = slot.server;
        if (result.kind === "answered" && result.status < 500) {
            this.answering(slot, now);
        }
        if (!this.#state(address)?.settle(slot, result, now)) {
            throw new Error(`slot of call ${slot.call.id} at ${address} is already settled`);
        }
        if (this.#gone.get(address)?.inFlight === 0) {
            this.#gone.delete(address);
        }
    }

    /** Whether any server may be given work now or later. */
    anyAvailable(now: number): boolean {
        return this.servers.some(it => it.available(now));
    }

    /** Servers that aren't leaving, those not yet tried for the call if there are any. */
    available(call: Call, now: number): readonly ServerState[] {
        return untried(
            this.servers.filter(it => it.available(now) && it.inFlight < it.connections),
            call,
        );
    }

    /**
     * Servers with a free slot for a call that has waited so long; the longer the wait, the less it matters that
     * a server may be slow. Those not yet tried, if there are any.
     */
    free(call: Call, waitedMs: number, now: number): readonly ServerState[] {
        const trusts = this.#trusts(waitedMs, now);
        const free = this.servers.filter(it => it.inFlight < limitOf(it, trusts, now));
        return untried(free, call);
    }

    /**
     * Servers with every slot in use that may be sent one request more, so that a slot doesn't idle for the
     * round trip between two requests; the one likeliest to have a free slot soon comes first.
     */
    ahead(call: Call, waitedMs: number, now: number): readonly ServerState[] {
        if (!this.#latencies.ready || this.#latencies.medianMs > aheadMedianMs) {
            return [];
        }
        const trusts = this.#trusts(waitedMs, now);
        const all = this.servers;
        const owned = all.reduce((sum, it) => sum + it.owned, 0);
        const sentAhead = all.reduce((sum, it) => sum + Math.max(0, it.inFlight - it.owned), 0);
        if (sentAhead >= aheadShare * owned) {
            return [];
        }
        const full = all.filter(
            it =>
                it.available(now) &&
                it.inFlight === it.owned &&
                it.owned > 0 &&
                it.spareConnections > 0 &&
                !trusts.has(it),
        );
        const oldest = full.reduce((max, it) => Math.max(max, it.oldestAge(now)), 0);
        return untried(
            full.filter(it => it.oldestAge(now) === oldest),
            call,
        );
    }

    /** Whether the service's latencies are known well enough to judge servers and calls by. */
    get latencies(): LatencyModel {
        return this.#latencies;
    }

    /** Log-odds that the server is slow now. */
    slowOdds(address: string, now: number): number {
        return this.#state(address)?.slowOdds(now) ?? -Infinity;
    }

    /** @param lent positions of servers of which slots are lent to another dispatcher */
    view(lent: ReadonlySet<number>, now: number): readonly ServerView[] {
        const trusts = this.#trusts(0, now);
        return this.servers.map((it, position) =>
            it.view(limitOf(it, trusts, now), trusts.get(it) ?? "full", lent.has(position), now),
        );
    }

    /** Servers not fully trusted. Failing ones up to the share that may be ejected; slow ones unless many are. */
    #trusts(waitedMs: number, now: number): ReadonlyMap<ServerState, Trust> {
        const oddsLimit = slowOddsLimit + (waitedMs / this.#latencies.medianMs) * oddsPerWait;
        const doubted = this.servers.flatMap((it): readonly [ServerState, Trust][] => {
            const trust = it.trust(oddsLimit, now);
            return trust === "full" ? [] : [[it, trust]];
        });
        const most = Math.floor(this.#ejectShare * this.#servers.size);
        const ejected = doubted.filter(([, trust]) => trust === "ejected").slice(0, most);
        const slow = doubted.filter(([, trust]) => trust !== "ejected");
        const slowest = slow.filter(([, trust]) => trust === "slow").length;
        return new Map(ejected.length + slowest > most ? ejected : [...ejected, ...slow]);
    }

    #state(address: string): ServerState | undefined {
        return this.#servers.get(address) ?? this.#gone.get(address);
    }

    #adopt(server: BackendServer): ServerState {
        const known = this.#state(server.address);
        this.#gone.delete(server.address);
        if (!known) {
            return new ServerState(server, new ServerHealth(this.#latencies, this.#latencies.ready));
        }
        known.follow(server);
        return known;
    }
}

const limitOf = (state: ServerState, trusts: ReadonlyMap<ServerState, Trust>, now: number): number => {
    if (!state.available(now)) {
        return 0;
    }
    const trust = trusts.get(state) ?? "full";
    return Math.min(state.owned, trustedLimits[trust]);
};

/**
 * This dispatcher's part of a server's connections: spare ones, beyond the slots, are divided evenly; all of them for
 * dispatchers that don't share slots. The remainder goes round by position, so that no dispatcher is left without.
 */
const connectionsOf = (
    { slots, connections }: BackendServer,
    position: number,
    share: Share,
): Connections => {
    const spare = Math.floor(Math.max(0, connections - slots) / share.count);
    const remainder = (share.index + position) % share.count < connections % share.count ? 1 : 0;
    return { spare, even: Math.floor(connections / share.count) + remainder };
};

const trustedLimits: Readonly<Record<Trust, number>> = { full: Infinity, trial: 1, slow: 0, ejected: 0 };

const untried = (states: readonly ServerState[], call: Call): readonly ServerState[] => {
    const fresh = states.filter(it => !call.tried.includes(it.server.address));
    return fresh.length > 0 ? fresh : states;
};

/** Requests sent ahead of a free slot, as a share of the slots. */
/** Median latency above which a round trip is too little to send requests ahead for. */
const aheadMedianMs = 40;
const aheadShare = 0.5;

/** Log-odds of being slow above which a server gets no call that has just come. */
const slowOddsLimit = 1.5;
/** Log-odds added to the limit for each median latency that a call has waited. */
const oddsPerWait = 10;
