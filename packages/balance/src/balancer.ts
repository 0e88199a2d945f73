/** Queues the requests of one service, refuses those that can't be served in time, and chooses their servers. */

import { AccountShares } from "./accountshares.js";
import { PauseDetector } from "@bramleymoor/dispatch/pauses";
import { incarnationKey, type RouteKind, type ServerEntry } from "@bramleymoor/model/route";
import { MovingAverage } from "./movingaverage.js";
import { Overload } from "./overload.js";
import { RequestQueue } from "./queue.js";
import type { ServerSpeed } from "./hedging.js";
import { ServerState, slowLatencyRatio } from "./server.js";
import { LatencyModel } from "./latency.js";
import { cheapest } from "./cheapest.js";
import { noLimits, type SendLimiter } from "./limiter.js";
import type { ListedServer, LoadReport, Refusal, Request, Slot, SlotResult } from "./types.js";

/**
 * A dequeued request for which a free slot is reserved, with the servers that may get it. The first one is random, so that
 * probing them in this order doesn't always begin with the one that is already known to be good.
 */
export interface Reservation {
    readonly request: Request;
    readonly candidates: readonly ServerState[];
}

/** A request that is removed from the queue because it has waited too long. */
export interface ExpiredRequest {
    readonly request: Request;
    readonly refusal: Refusal;
}

/** Settings of a balancer. */
export interface BalancerSettings {
    /** Number of servers that are compared for one request. */
    readonly candidateCount: number;
    /** This entry VM's failure domain, whose servers are preferred. */
    readonly domain: string;
}

/** Balances the requests of one service in one entry VM. */
export class Balancer {
    readonly #settings: BalancerSettings;
    readonly #random: () => number;
    readonly #limiter: SendLimiter;
    readonly #servers = new Map<string, ServerState>();
    readonly #queue = new RequestQueue();
    readonly #latency = new LatencyModel();
    readonly #overload = new Overload();
    readonly #accountShares = new AccountShares();
    /** Requests that gave up their place in the queue to others since `takeDisplaced` was last called. */
    #displaced: readonly ExpiredRequest[] = [];
    readonly #pauses = new PauseDetector(maxTickGapMs);
    /** Predictions made when the slots in flight were granted, to be compared with their results. */
    readonly #predictions = new Map<Slot, Prediction>();
    /** Ids of the servers that this entry VM prefers; undefined if it has no preference. */
    #preferred: ReadonlySet<string> | undefined = undefined;
    /** This entry VM's share of the service's requests, and so of the slots that become free. */
    readonly #demandShare = new MovingAverage(demandShareMs);
    /** Reservations that are neither granted nor cancelled; each will take a slot. */
    #openReservations = 0;
    #submittedAt = -Infinity;
    /** Whether any server has reported a slowdown, so that reports without one mean something. */
    #reportsSlowdowns = false;

    /** @param limiter limits the requests to servers that name a limit */
    constructor(settings: BalancerSettings, random: () => number, limiter: SendLimiter = noLimits) {
        this.#settings = settings;
        this.#random = random;
        this.#limiter = limiter;
    }

    /** Number of queued requests. */
    get queued(): number {
        return this.#queue.size;
    }

    /** All known servers of the service. */
    get servers(): readonly ServerState[] {
        return [...this.#servers.values()];
    }

    /** Expected time from the grant of a slot to the response, in milliseconds. */
    get expectedLatencyMs(): number {
        return this.#latency.meanLatencyMs;
    }

    /** Replaces the service's servers. A removed server gets no new requests; those in flight continue. */
    updateServers(listed: readonly ListedServer[], now: number): void {
        const seen = new Set<string>();
        for (const server of listed) {
            const { entry } = server;
            const key = incarnationKey(entry);
            seen.add(key);
            const known = this.#servers.get(key) ?? new ServerState(entry, now);
            known.update(server);
            this.#servers.set(key, known);
        }
        for (const key of this.#servers.keys()) {
            if (!seen.has(key)) {
                this.#servers.delete(key);
            }
        }
    }

    /** Number of known servers whose failure domain isn't evacuated. */
    get serversInUse(): number {
        return this.servers.filter(it => !it.isEvacuated).length;
    }

    /** Whether a server's failure domain is evacuated, so that it gets neither requests nor probes. */
    isEvacuated(server: ServerEntry): boolean {
        return this.#servers.get(incarnationKey(server))?.isEvacuated ?? false;
    }

    /** Returns the refusal of all requests if no server may get any because of evacuations; undefined if one may. */
    evacuationRefusal(now: number): Refusal | undefined {
        const isEvacuated = this.servers.some(it => it.isEvacuated) && this.#usableServers(now).length === 0;
        return isEvacuated ? this.#noServer() : undefined;
    }

    /** Sets the ids of the servers that this entry VM prefers to all others; undefined for no preference. */
    setPreferredServers(preferred: ReadonlySet<string> | undefined): void {
        this.#preferred = preferred;
    }

    /**
     * Records which share of the service's requests this entry VM gets at present; 1 if all. Without requests the last share
     * stays, so that requests that move here aren't refused until the average has followed.
     */
    recordDemandShare(share: number, now: number): void {
        if (share > 0) {
            this.#demandShare.add(share, now);
        }
    }

    /**
     * Queues a request and returns undefined, or returns why it is refused. A request that another one gives up its place to is
     * returned by `takeDisplaced`.
     */
    submit(request: Request, now: number): Refusal | undefined {
        this.#submittedAt = now;
        if (request.account !== undefined && request.tried.length === 0) {
            this.#accountShares.recordArrival(request.account, now);
        }
        const usable = this.#usableServers(now);
        if (usable.length === 0) {
            return this.#noServer();
        }
        usable.filter(it => this.#isLimited(it, now)).forEach(it => this.#limiter.recordDemand(it.key, now));
        const startAt = this.#earliestStartAt(usable, now);
        const isTooLate = startAt > now && this.#isTooLate(request, startAt);
        const isFull = this.#countAhead(request, now) > this.#queueLimit(request, now);
        if (isTooLate || (isFull && !this.#displaceFor(request, now))) {
            return this.#overloaded(request, now);
        }
        this.#queue.add(request);
        return undefined;
    }

    /** Returns the requests that have left the queue since the last call, as requests of other accounts took their places. */
    takeDisplaced(): readonly ExpiredRequest[] {
        const displaced = this.#displaced;
        this.#displaced = [];
        return displaced;
    }

    /** Cancels a reservation whose request no longer needs a server. */
    cancelReservation(): void {
        this.#openReservations--;
    }

    /** Removes a request from the queue; false if it wasn't queued. */
    withdraw(request: Request): boolean {
        return this.#queue.remove(request);
    }

    /** Removes and returns the queued requests that would probably get no response before their deadline. */
    expire(now: number): readonly ExpiredRequest[] {
        const startAt = this.#earliestStartAt(this.#usableServers(now), now);
        const removed = this.#queue.removeWhere(it => this.#isTooLate(it, startAt));
        return removed.map(request => ({ request, refusal: this.#overloaded(request, now) }));
    }

    /** Dequeues the next request if there is an unreserved free slot for it, and reserves that slot. */
    reserveNext(now: number): Reservation | undefined {
        if (this.#queue.size === 0) {
            return undefined;
        }
        const free = this.#openServers(now).filter(it => !it.probePending);
        const [best] = this.#cheapest(free, 1, now);
        if (!best || this.#totalFreeSlots(free, now) <= this.#openReservations) {
            return undefined;
        }
        const request = this.#queue.peek(this.#expectedLatencyOn(best, now), it =>
            this.#accountRank(it, now),
        );
        if (!request) {
            return undefined;
        }
        const untried = free.filter(it => !request.tried.includes(it.entry.id));
        const allowed = untried.length > 0 ? untried : free;
        this.#queue.remove(request);
        this.#openReservations++;
        const candidates = this.#cheapest(allowed, this.#settings.candidateCount, now, request.kind);
        const first = Math.floor(this.#random() * candidates.length);
        return { request, candidates: [...candidates.slice(first), ...candidates.slice(0, first)] };
    }

    /** Whether requests wait, or have been refused within the last second, so that none should be sent twice. */
    isOverloaded(now: number): boolean {
        return this.#queue.size > 0 || this.#overload.isRecent(now);
    }

    /**
     * Reserves an idle slot for the second send of a request whose first one is in flight; undefined if there is none, or the
     * service is overloaded.
     *
     * @param request names the servers that it was sent to, the first send's included
     */
    reserveHedge(request: Request, now: number): Reservation | undefined {
        const idle = this.#openServers(now).filter(it => this.#mayHedgeAt(it, request, now));
        if (this.isOverloaded(now) || this.#totalFreeSlots(idle, now) <= this.#openReservations) {
            return undefined;
        }
        this.#openReservations++;
        return {
            request,
            candidates: this.#cheapest(idle, this.#settings.candidateCount, now, request.kind),
        };
    }

    /**
     * Grants a slot for a second send; undefined if no candidate is known to be idle at this moment, or the service has become
     * overloaded.
     */
    grantHedge({ request, candidates }: Reservation, now: number): Slot | undefined {
        this.#openReservations--;
        const idle = candidates.filter(
            it =>
                it.isUsable(now) &&
                it.isFresh(now) &&
                this.#isOpen(it, now) &&
                !this.#limiter.mustProbe(it.key, now) &&
                this.#mayHedgeAt(it, request, now),
        );
        const [best] = this.isOverloaded(now) ? [] : this.#cheapest(idle, 1, now, request.kind);
        return best && this.#openSlot(best, request, now);
    }

    /** Whether to probe a slot's server to learn its speed. A limited server isn't probed, as probes would add to its load. */
    needsSpeed(slot: Slot, now: number): boolean {
        const server = this.#servers.get(incarnationKey(slot.server));
        return (
            server !== undefined &&
            this.#reportsSlowdowns &&
            this.speedOf(slot) === "unknown" &&
            !this.#isLimited(server, now)
        );
    }

    /** Returns what is known of the speed of a slot's server since the slot was granted. */
    speedOf({ server, grantedAt }: Slot): ServerSpeed {
        const slowdown = this.#servers.get(incarnationKey(server))?.slowdownSince(grantedAt);
        if (slowdown === undefined || !this.#reportsSlowdowns) {
            return "unknown";
        }
        return slowdown >= slowLatencyRatio ? "slow" : "normal";
    }

    /** Number of servers that would be open but for a pending probe. */
    heldServers(now: number): number {
        return this.#openServers(now).filter(it => it.probePending).length;
    }

    /**
     * Grants a slot of the best candidate; queues the request again if no candidate has a free slot any more.
     *
     * @param allowsUnknownLoad whether a candidate may be chosen of which it isn't known how busy it is
     */
    grant(reservation: Reservation, now: number, allowsUnknownLoad = true): Slot | undefined {
        this.#openReservations--;
        const free = reservation.candidates.filter(
            it =>
                it.isUsable(now) &&
                !it.probePending &&
                !this.#limiter.mustProbe(it.key, now) &&
                (allowsUnknownLoad || it.isLoadKnown(now) || this.#isLimited(it, now)) &&
                this.#isOpen(it, now),
        );
        const [best] = this.#cheapest(free, 1, now, reservation.request.kind);
        if (!best) {
            this.#queue.add(reservation.request);
            return undefined;
        }
        if (reservation.request.account !== undefined && reservation.request.tried.length === 0) {
            this.#accountShares.recordStart(reservation.request.account, now);
        }
        return this.#openSlot(best, reservation.request, now);
    }

    /** Records that the process runs; to be called often, so that a longer gap is a pause of the process. */
    tick(now: number): void {
        this.#pauses.tick(now);
    }

    /**
     * Takes requests that keep coming as demand for servers that have become cold, as a claim takes a good part of a cold period to
     * settle. To be called often for a service with a slow start.
     */
    recordColdDemand(now: number): void {
        if (now - this.#submittedAt < demandMemoryMs) {
            this.#usableServers(now)
                .filter(it => this.#limiter.isCold(it.key, now))
                .forEach(it => this.#limiter.recordDemand(it.key, now));
        }
    }

    /** Records that the head of the response to a slot's request has arrived. */
    recordResponseHead(slot: Slot): void {
        this.#servers.get(incarnationKey(slot.server))?.recordResponseHead(slot);
    }

    /** Records how a slot's request ended and frees the slot. */
    settle(slot: Slot, result: SlotResult, now: number): void {
        const server = this.#servers.get(incarnationKey(slot.server));
        const prediction = this.#predictions.get(slot);
        this.#predictions.delete(slot);
        this.#limiter.recordEnd(incarnationKey(slot.server), slot.grantedAt);
        const wasPaused = slot.grantedAt < this.#pauses.runningSince(now);
        const succeeded = result.kind === "answered" && result.status < firstServerErrorStatus;
        // The latency of an overtaken send is at least its age.
        const isOvertaken = result.kind === "cancelled" && result.overtaken === true;
        if (prediction && (succeeded || isOvertaken) && !wasPaused) {
            const saturated = prediction.saturated || (server?.isSaturated ?? false);
            const latencyMs = now - slot.grantedAt;
            const factor = saturated ? this.#latency.saturationFactor : 1;
            server?.recordLatencyRatio(
                (latencyMs * prediction.unreportedSlowdown) /
                    (this.#latency.baselineMs * factor * prediction.baseCost),
                now,
            );
            this.#latency.record(latencyMs, saturated, prediction.baseCost);
        }
        server?.settle(slot, result, now);
        if (result.kind === "lost" || result.kind === "unreachable" || result.kind === "timeout") {
            this.#limiter.recordFailure(incarnationKey(slot.server), now);
        }
    }

    /**
     * Whether to probe a server before a send. An evacuated server isn't probed, nor is a limited one for its load, as probes would
     * add to it; any other is probed if it may be cold.
     */
    needsProbe(server: ServerState, now: number): boolean {
        return (
            !server.isEvacuated &&
            (this.#limiter.mustProbe(server.key, now) ||
                (!server.isFresh(now) && !this.#isLimited(server, now)))
        );
    }

    /** Whether a candidate must answer a probe, as none may be sent the request before it has answered one. */
    requiresProbe({ candidates }: Reservation, candidate: ServerState, now: number): boolean {
        return (
            this.#limiter.mustProbe(candidate.key, now) &&
            !candidates.some(
                it => it.isUsable(now) && this.#isOpen(it, now) && !this.#limiter.mustProbe(it.key, now),
            )
        );
    }

    /** Returns the servers that this entry VM should probe without a request: preferred ones that it sends requests to. */
    serversDueForProbe(now: number): readonly ServerState[] {
        return this.servers.filter(
            it =>
                this.#limiter.isProbeDue(it.key, now) &&
                (!this.#preferred || this.#preferred.has(it.entry.id)) &&
                it.isUsable(now),
        );
    }

    /** Records a server's load report, made at `takenAt` at the earliest. */
    recordLoad(server: ServerEntry, report: LoadReport, takenAt: number, receivedAt = takenAt): void {
        this.#reportsSlowdowns ||= report.slowdown !== 1;
        this.#servers.get(incarnationKey(server))?.recordLoad(report, takenAt, receivedAt);
    }

    /** Records that a probe was sent; the server gets no requests before it responds. */
    recordProbeSent(server: ServerEntry): void {
        const key = incarnationKey(server);
        this.#servers.get(key)?.recordProbeSent();
        this.#limiter.recordProbe(key);
    }

    /** Records a response to a probe that contains no load report. */
    recordResponseWithoutLoad(server: ServerEntry): void {
        this.#servers.get(incarnationKey(server))?.recordResponseWithoutLoad();
    }

    /** Whether a candidate is known to be fast and to have slots to spare, so that no other is much better. */
    hasIdealCandidate(reservation: Reservation, now: number): boolean {
        return reservation.candidates.some(
            it => it.isUsable(now) && it.isIdeal(now) && !this.#limiter.mustProbe(it.key, now),
        );
    }

    /** Records that a probe got no response. */
    recordUnansweredProbe(server: ServerEntry, now: number): void {
        const key = incarnationKey(server);
        this.#servers.get(key)?.recordUnansweredProbe(now);
        this.#limiter.recordUnansweredProbe(key, now);
    }

    #usableServers(now: number): readonly ServerState[] {
        return this.servers.filter(it => it.isUsable(now));
    }

    /** Whether a server may get a second send: an idle one, neither limited nor cold, that the request wasn't sent to. */
    #mayHedgeAt(server: ServerState, request: Request, now: number): boolean {
        return (
            !request.tried.includes(server.entry.id) &&
            !server.probePending &&
            server.hasIdleSlots(now) &&
            !server.isEjected(now, this.#pauses.runningSince(now)) &&
            !server.isWarmingUp(now) &&
            !this.#limiter.isCold(server.key, now) &&
            !this.#isLimited(server, now)
        );
    }

    #openSlot(server: ServerState, request: Request, now: number): Slot {
        const slot: Slot = {
            request,
            server: server.entry,
            grantedAt: now,
            load: server.loadSnapshot(now),
        };
        this.#predictions.set(slot, {
            saturated: server.wouldSaturate(now),
            baseCost: server.baseCost(now),
            unreportedSlowdown: server.unreportedSlowdown(now),
        });
        server.start(slot);
        this.#limiter.recordSend(server.key, now);
        return slot;
    }

    /** Servers that have a free slot and aren't in a slow period; ejected ones only if all servers are ejected. */
    #openServers(now: number): readonly ServerState[] {
        const usable = this.#usableServers(now);
        const runningSince = this.#pauses.runningSince(now);
        const healthy = usable.filter(it => !it.isEjected(now, runningSince));
        return (healthy.length > 0 ? healthy : usable).filter(it => this.#isOpen(it, now));
    }

    #isOpen(server: ServerState, now: number): boolean {
        return (
            server.freeSlots(now) > 0 &&
            !server.isInSlowPeriod(now, this.#latency.baselineMs) &&
            this.#limiter.nextSendAt(server.key, now) <= now
        );
    }

    #isLimited(server: ServerState, now: number): boolean {
        return this.#limiter.shareOf(server.key, now) !== Infinity;
    }

    /** Returns when the first of the servers may be sent a request; Infinity if none may. */
    #earliestStartAt(servers: readonly ServerState[], now: number): number {
        const earliest = Math.min(...servers.map(it => this.#limiter.nextSendAt(it.key, now)));
        return servers.length === 0 ? now : Math.max(now, earliest);
    }

    /** Whether a request that starts at `startAt` would probably get no response before its deadline. */
    #isTooLate(request: Request, startAt: number): boolean {
        return startAt + this.expectedLatencyMs * minRemainingShare > request.deadlineAt;
    }

    /** Free slots of the servers; a limited server takes one request at a time. */
    #totalFreeSlots(servers: readonly ServerState[], now: number): number {
        return servers.reduce((sum, it) => {
            const free = it.freeSlots(now);
            return sum + (this.#isLimited(it, now) ? Math.min(1, free) : free);
        }, 0);
    }

    #expectedLatencyOn(server: ServerState, now: number): number {
        return this.#latency.baselineMs * server.cost(now, this.#latency.saturationFactor);
    }

    /** Returns the `count` servers of lowest cost, in ascending order. */
    #cheapest(
        servers: readonly ServerState[],
        count: number,
        now: number,
        kind: RouteKind = "idempotent",
    ): readonly ServerState[] {
        const factor = this.#latency.saturationFactor;
        const costs = servers.map(it => {
            const distanceFactor = it.entry.domain === this.#settings.domain ? 1 : remoteDomainCosts[kind];
            const preferenceFactor =
                !this.#preferred || this.#preferred.has(it.entry.id) ? 1 : nonPreferredCost;
            return {
                it,
                cost:
                    (this.#limiter.isDue(it.key, now) ? 0 : it.cost(now, factor)) *
                    distanceFactor *
                    preferenceFactor *
                    (1 + this.#random() * tieBreakSpread),
            };
        });
        return cheapest(costs, count).map(({ it }) => it);
    }

    /** Number of requests that have to start until a new one gets a slot, including itself. */
    #countAhead({ priority }: Request, now: number): number {
        const free = this.#totalFreeSlots(this.#openServers(now), now);
        return this.#queue.countAhead(priority) + 1 - Math.max(0, free - this.#openReservations);
    }

    /** Returns the rank of a request's account: underserved ones first, those with too many requests waiting last. */
    #accountRank({ account }: Request, now: number): number {
        if (account === undefined) {
            return accountRanks.usual;
        }
        if (this.#accountShares.isUnderserved(account, now)) {
            return accountRanks.underserved;
        }
        return this.#queue.isOverShare(account) ? accountRanks.overShare : accountRanks.usual;
    }

    /**
     * Frees a place in the queue for a request by refusing one of an account of higher rank, of the same priority or a less urgent
     * one. Returns whether there was one. A request that can't meet its target doesn't take the place of one that can: it would go
     * behind all of those, and mostly wait in vain until its deadline.
     */
    #displaceFor(request: Request, now: number): boolean {
        const rank = this.#accountRank(request, now);
        const isLate = (it: Request): boolean => this.#slackMs(it, now) < 0;
        const isLateItself = isLate(request);
        const displaced = this.#queue.latestWhere(
            it =>
                it.priority >= request.priority &&
                (!isLateItself || isLate(it)) &&
                this.#accountRank(it, now) > rank,
        );
        if (!displaced) {
            return false;
        }
        this.#queue.remove(displaced);
        this.#displaced = [
            ...this.#displaced,
            { request: displaced, refusal: this.#overloaded(displaced, now) },
        ];
        return true;
    }

    /** Number of queued requests up to which a new one can still meet its target. */
    #queueLimit(request: Request, now: number): number {
        const lateLimit = lateQueueLimit * (this.#demandShare.value ?? 1);
        return Math.max(
            lateLimit,
            (this.#slackMs(request, now) * queueableSlackShare) / this.#startIntervalMs(now),
        );
    }

    #noServer(): Refusal {
        return { reason: "no-server", retryAfterMs: noServerRetryMs * (1 + this.#random()) };
    }

    #overloaded(request: Request, now: number): Refusal {
        this.#overload.recordRefusal(now);
        const refused = {
            leftMs: Math.max(0, request.callerDeadlineAt - now),
            slackMs: this.#slackMs(request, now),
            closedMs: this.#earliestStartAt(this.#usableServers(now), now) - now,
            drainMs: this.#queue.size * this.#startIntervalMs(now),
        };
        return {
            reason: "overloaded",
            retryAfterMs: this.#overload.returnDelayMs(refused, this.#random(), now),
        };
    }

    /** Time by which a request's start may be delayed so that it still meets its target; negative if it can't. */
    #slackMs(request: Request, now: number): number {
        return request.targetAt - now - this.expectedLatencyMs;
    }

    /** Expected time between two starts of requests at this entry VM while the service is fully loaded. */
    #startIntervalMs(now: number): number {
        const all = this.#usableServers(now);
        const unpaused = all.filter(it => !this.#limiter.isPaused(it.key, now));
        const usable = unpaused.length > 0 ? unpaused : all;
        const limited = usable.filter(it => this.#isLimited(it, now));
        const slotShare = this.#latency.degradesWhenSaturated ? unsaturatedShare : 1;
        const slotsOf = (it: ServerState): number => it.entry.slots * slotShare;
        const unlimitedSlots = usable
            .filter(it => !limited.includes(it))
            .reduce((sum, it) => sum + slotsOf(it), 0);
        const limitedSlots = limited.reduce((sum, it) => {
            const share = this.#limiter.shareOf(it.key, now);
            return sum + Math.min(slotsOf(it), (share * this.expectedLatencyMs) / msPerSecond);
        }, 0);
        const minSlots = limited.length > 0 && limited.length === usable.length ? minUsedSlots : 1;
        const ownSlots = unlimitedSlots * (this.#demandShare.value ?? 1) + limitedSlots;
        return this.expectedLatencyMs / Math.max(minSlots, ownSlots);
    }
}

/** Ranks of accounts among requests of equal priority. */
const accountRanks = { underserved: 0, usual: 1, overShare: 2 } as const;

/** Expected effects on a request's latency when its slot was granted. */
interface Prediction {
    readonly saturated: boolean;
    readonly baseCost: number;
    /** Factor of `baseCost` that the server's reports don't show. */
    readonly unreportedSlowdown: number;
}

/** Shortest retry time without a server; new and returning ones become known within about a second. */
const noServerRetryMs = 400;
/**
 * A request that can no longer meet its target may wait for the next idle slot, but not behind others; at all entry VMs
 * together, as those that are in time go first and it would wait in vain.
 */
const lateQueueLimit = 1;
/** Share of the slack before the target that may be spent in the queue; the rest is for slower servers. */
const queueableSlackShare = 0.4;
/** With less than this share of the expected latency left, a request would probably get no response in time. */
const minRemainingShare = 0.5;
/** Share of the slots in use under load if the service degrades when its servers are saturated. */
const unsaturatedShare = 0.6;
/** Time over which this entry VM's share of the requests is averaged, as the rates of half a second vary by chance. */
const demandShareMs = 2_000;
/** Slots in use that are assumed at least if all servers are limited: a request in about ten seconds. */
const minUsedSlots = 0.02;
const msPerSecond = 1_000;
/** Random spread of costs, so that entry VMs with the same knowledge don't all choose the same server. */
const tieBreakSpread = 0.05;
/** Cost factor of a server left to other entry VMs: less than the cost of a preferred one with a request running. */
const nonPreferredCost = 1.2;
/** Cost factor of a server in another failure domain: more latency, and for downloads much traffic on paid links. */
const remoteDomainCosts: Readonly<Record<RouteKind, number>> = {
    idempotent: 1.05,
    "non-idempotent": 1.05,
    download: 3,
};
const firstServerErrorStatus = 500;
/** Time after a request in which an entry VM that gets few of them expects the next one. */
const demandMemoryMs = 3_000;
/** A longer gap between two ticks is a pause: a quarter of the silence from which a server counts as unresponsive. */
const maxTickGapMs = 500;
