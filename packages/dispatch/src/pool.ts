/** The backend servers of one service in one dispatcher: which of them may get requests, and how many. */

import type { BackendServer, Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { HealthState } from "./health.js";
import { LatencyModel } from "./latency.js";
import { ServerHealth } from "./health.js";
import { type ConnectionShare, ServerState } from "./server.js";
import type { Call, ServerView, Share, Slot, SlotResult } from "./types.js";

/** Servers of the accepted configuration, and removed ones that still have requests of this dispatcher in flight. */
export class ServerPool {
    #servers: ReadonlyMap<string, ServerState> = new Map();
    #ordered: readonly ServerState[] = [];
    #allocation: readonly number[] = [];
    readonly #removed = new Map<string, ServerState>();
    readonly #latencies = new LatencyModel();
    #leaving: ReadonlySet<string> = new Set();
    #ejectShare = 0;

    /** Servers of the accepted configuration, in its order. */
    get servers(): readonly ServerState[] {
        return this.#ordered;
    }

    /** Applies a new configuration of the service or a new share of its connections. */
    update(service: Service, share: Share): void {
        const before = this.#servers;
        this.#ejectShare = service.ejectShare;
        this.#servers = new Map(service.servers.map(it => [it.address, this.#stateFor(it)]));
        this.#ordered = [...this.#servers.values()];
        this.#ordered.forEach((it, position) => {
            it.setConnections(connectionShareOf(it.server, position, share));
            it.setLimitShare({ index: (share.index + position) % share.count, count: share.count });
        });
        this.#allocation = [];
        for (const [address, state] of before) {
            if (!this.#servers.has(address) && state.inFlight > 0) {
                this.#removed.set(address, state);
            }
        }
        this.markLeaving(this.#leaving);
    }

    /** Sets how many slots of each server this dispatcher may use, by position in the accepted configuration. */
    setAllocation(allocation: readonly number[]): void {
        if (allocation !== this.#allocation) {
            this.#allocation = allocation;
            this.servers.forEach((it, position) => it.setAllocation(allocation[position] ?? 0));
        }
    }

    /** Returns the idle slots that may be used: the position of its server for each. */
    idleSlots(now: number): readonly number[] {
        const states = this.#healthStates(0, now);
        return this.servers.flatMap((it, position) => {
            const idle = Math.max(0, limitOf(it, states, now) - it.inFlight);
            return Array.from({ length: idle }, () => position);
        });
    }

    /** Number of requests in flight at the servers of the accepted configuration. */
    get inFlight(): number {
        return this.servers.reduce((sum, it) => sum + it.inFlight, 0);
    }

    /** Sets the addresses of all servers that are leaving according to the platform's list. */
    markLeaving(addresses: ReadonlySet<string>): void {
        this.#leaving = addresses;
        this.#servers.forEach((state, address) => state.markLeaving(addresses.has(address)));
    }

    /** Records a server's load report that is `ageMs` old. */
    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#state(address)?.recordLoad(report, ageMs, now);
    }

    /** Records the request limit that a server named at `namedAt`; Infinity if it named none. */
    recordLimit(address: string, perSecond: number, namedAt: number, now: number): void {
        this.#state(address)?.recordLimit(perSecond, namedAt, now);
    }

    /** Records that the first byte of the response to a slot's request has arrived. */
    recordFirstByte(slot: Slot, now: number): void {
        if (this.#state(slot.server.address)?.recordFirstByte(slot, now)) {
            this.#latencies.record(now - slot.grantedAt);
        }
    }

    /** Records how a slot's request ended; throws an Error if the slot is already settled. */
    settle(slot: Slot, result: SlotResult, now: number): void {
        const { address } = slot.server;
        if (result.kind === "answered" && result.status < 500) {
            this.recordFirstByte(slot, now);
        }
        if (!this.#state(address)?.settle(slot, result, now)) {
            throw new Error(`slot of call ${slot.call.id} at ${address} is already settled`);
        }
        if (this.#removed.get(address)?.inFlight === 0) {
            this.#removed.delete(address);
        }
    }

    /** Whether any server isn't leaving. */
    hasAvailable(now: number): boolean {
        return this.servers.some(it => it.isAvailable(now));
    }

    /** Earliest time at which the request limits of the servers that aren't leaving allow a request. */
    earliestSendAt(now: number): number {
        const available = this.servers.filter(it => it.isAvailable(now));
        return Math.min(...available.map(it => it.nextSendAt));
    }

    /** Returns the servers that aren't leaving and have a connection to spare; untried ones if there are any. */
    available(call: Call, now: number): readonly ServerState[] {
        return untried(
            this.servers.filter(
                it => it.isAvailable(now) && it.nextSendAt <= now && it.inFlight < it.connections,
            ),
            call,
        );
    }

    /**
     * Returns the servers with a free slot for a call that has waited for `waitedMs`; untried ones if there are
     * any. The longer the wait, the less it matters that a server may be slow, so the limit on its odds rises.
     */
    withFreeSlot(call: Call, waitedMs: number, now: number): readonly ServerState[] {
        const states = this.#healthStates(waitedMs, now);
        const free = this.servers.filter(it => it.inFlight < limitOf(it, states, now));
        return untried(free, call);
    }

    /**
     * Returns servers that may be sent one request more although every slot is in use, so that a slot doesn't
     * idle for the round trip between two requests. Among these only the servers with the oldest request are
     * returned, as they are the most likely to have a free slot soon; untried ones if there are any.
     */
    sendAheadCandidates(call: Call, waitedMs: number, now: number): readonly ServerState[] {
        if (!this.#latencies.isReady || this.#latencies.medianMs > maxSendAheadMedianMs) {
            return [];
        }
        const states = this.#healthStates(waitedMs, now);
        const all = this.servers;
        const allocated = all.reduce((sum, it) => sum + it.allocated, 0);
        const sentAhead = all.reduce((sum, it) => sum + Math.max(0, it.inFlight - it.allocated), 0);
        if (sentAhead >= sendAheadShare * allocated) {
            return [];
        }
        const fullServers = all.filter(
            it =>
                it.isAvailable(now) &&
                it.nextSendAt <= now &&
                it.inFlight === it.allocated &&
                it.allocated > 0 &&
                it.spareConnections > 0 &&
                !states.has(it),
        );
        const oldest = fullServers.reduce((max, it) => Math.max(max, it.oldestAgeMs(now)), 0);
        return untried(
            fullServers.filter(it => it.oldestAgeMs(now) === oldest),
            call,
        );
    }

    /** Latency model of the service, which judges its servers and calls. */
    get latencies(): LatencyModel {
        return this.#latencies;
    }

    /** Log-odds that the server is slow now. */
    slowLogOdds(address: string, now: number): number {
        return this.#state(address)?.slowLogOdds(now) ?? -Infinity;
    }

    /**
     * Returns the state of each server that operators see.
     *
     * @param lent positions of the servers of which slots are lent to another dispatcher
     */
    view(lent: ReadonlySet<number>, now: number): readonly ServerView[] {
        const states = this.#healthStates(0, now);
        return this.servers.map((it, position) =>
            it.view(limitOf(it, states, now), states.get(it) ?? "healthy", lent.has(position), now),
        );
    }

    /**
     * Returns the servers whose use is limited by their health: ejected ones up to the share that may be ejected,
     * and slow ones and those on trial unless ejected and slow ones together exceed that share.
     */
    #healthStates(waitedMs: number, now: number): ReadonlyMap<ServerState, HealthState> {
        const logOddsLimit =
            slowLogOddsLimit + (waitedMs / this.#latencies.medianMs) * logOddsPerMedianWaited;
        const unhealthy = this.servers.flatMap((it): readonly [ServerState, HealthState][] => {
            const health = it.healthState(logOddsLimit, now);
            return health === "healthy" ? [] : [[it, health]];
        });
        const maxEjected = Math.floor(this.#ejectShare * this.#servers.size);
        const ejected = unhealthy.filter(([, health]) => health === "ejected").slice(0, maxEjected);
        const slow = unhealthy.filter(([, health]) => health !== "ejected");
        const slowCount = slow.filter(([, health]) => health === "slow").length;
        return new Map(ejected.length + slowCount > maxEjected ? ejected : [...ejected, ...slow]);
    }

    #state(address: string): ServerState | undefined {
        return this.#servers.get(address) ?? this.#removed.get(address);
    }

    #stateFor(server: BackendServer): ServerState {
        const known = this.#state(server.address);
        this.#removed.delete(server.address);
        if (!known) {
            return new ServerState(server, new ServerHealth(this.#latencies, this.#latencies.isReady));
        }
        known.update(server);
        return known;
    }
}

const limitOf = (state: ServerState, states: ReadonlyMap<ServerState, HealthState>, now: number): number => {
    if (!state.isAvailable(now) || state.nextSendAt > now) {
        return 0;
    }
    const health = states.get(state) ?? "healthy";
    // The slots of a limited server are mostly idle, so a share of its limit may be used without an allocated slot.
    return Math.min(Math.max(state.allocated, state.isLimited ? 1 : 0), slotLimits[health]);
};

/**
 * Returns a dispatcher's share of a server's connections. The spare ones, beyond the slots, are divided evenly, or all
 * connections for choosers that don't share slots. The remainder of the latter is assigned in turn by the server's
 * position, so that no dispatcher is left without any.
 */
const connectionShareOf = (
    { slots, connections }: BackendServer,
    position: number,
    share: Share,
): ConnectionShare => {
    const spare = Math.floor(Math.max(0, connections - slots) / share.count);
    const remainder = (share.index + position) % share.count < connections % share.count ? 1 : 0;
    return { spare, total: Math.floor(connections / share.count) + remainder };
};

/** Requests in flight at a server at most. */
const slotLimits: Readonly<Record<HealthState, number>> = {
    healthy: Infinity,
    trial: 1,
    slow: 0,
    ejected: 0,
};

const untried = (states: readonly ServerState[], call: Call): readonly ServerState[] => {
    const untriedStates = states.filter(it => !call.tried.includes(it.server.address));
    return untriedStates.length > 0 ? untriedStates : states;
};

/** Median latency above which the idle time of a round trip is too small to send requests ahead. */
const maxSendAheadMedianMs = 40;
/** Requests sent ahead of a free slot at most, as a share of the allocated slots. */
const sendAheadShare = 0.5;

/** Log-odds of being slow above which a server gets no newly arrived call. */
const slowLogOddsLimit = 1.5;
/** Log-odds added to the limit for each median latency that a call has waited. */
const logOddsPerMedianWaited = 10;
