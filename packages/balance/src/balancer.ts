/** Decides for one service which requests wait, which are refused, and which server gets the next one. */

import type { RouteKind, ServerEntry } from "@bramleymoor/model/route";
import { RequestQueue } from "./queue.js";
import { ServerState } from "./server.js";
import { LatencyModel } from "./latency.js";
import type { LoadReport, Refusal, Request, SlotResult, Slot } from "./types.js";

/** A request whose turn it is, with the servers that may get it, cheapest first. */
export interface Reservation {
    readonly request: Request;
    readonly candidates: readonly ServerState[];
}

/** A request that leaves the queue without a server. */
export interface ExpiredRequest {
    readonly request: Request;
    readonly refusal: Refusal;
}

/** Settings of a balancer. */
export interface BalancerSettings {
    /** Servers compared for one request. */
    readonly candidateCount: number;
    /** This entry VM's failure domain, whose servers are preferred. */
    readonly domain: string;
}

/** Balances the requests of one service in one entry VM. */
export class Balancer {
    readonly #settings: BalancerSettings;
    readonly #random: () => number;
    readonly #servers = new Map<string, ServerState>();
    readonly #queue = new RequestQueue();
    readonly #speed = new LatencyModel();
    /** What is needed of slots in flight to learn from their ends. */
    readonly #starts = new Map<Slot, Start>();
    /** Ids of the servers that are left to this entry VM by preference; undefined if it has no part of its own. */
    #own: ReadonlySet<string> | undefined = undefined;
    /** Turns handed out and not yet granted or given up; each will take a slot. */
    #openTurns = 0;

    constructor(settings: BalancerSettings, random: () => number) {
        this.#settings = settings;
        this.#random = random;
    }

    /** Requests that wait. */
    get queued(): number {
        return this.#queue.size;
    }

    /** Every server known, those that still work for us included. */
    get servers(): readonly ServerState[] {
        return [...this.#servers.values()];
    }

    /** Expected time from start to answer now, in milliseconds. */
    get expectedLatencyMs(): number {
        return this.#speed.meanLatencyMs;
    }

    /** Takes the service's servers; one that is gone gets nothing new, what it is working on goes on. */
    updateServers(
        entries: readonly { readonly entry: ServerEntry; readonly lapsed: boolean }[],
        now: number,
    ): void {
        const seen = new Set<string>();
        for (const { entry, lapsed } of entries) {
            const key = keyOf(entry);
            seen.add(key);
            const known = this.#servers.get(key) ?? new ServerState(entry, now);
            known.follow(entry, lapsed);
            this.#servers.set(key, known);
        }
        for (const key of this.#servers.keys()) {
            if (!seen.has(key)) {
                this.#servers.delete(key);
            }
        }
    }

    /** Takes which servers the service's entry VMs leave to this one by preference; undefined if it has no part. */
    setPreferredServers(own: ReadonlySet<string> | undefined): void {
        this.#own = own;
    }

    /** Queues a request, or tells why not. */
    submit(request: Request, now: number): Refusal | undefined {
        const usable = this.#usable(now);
        if (usable.length === 0) {
            return { reason: "no-server", retryAfterMs: noServerRetryMs * (1 + this.#random()) };
        }
        if (this.#ahead(request, now) > this.#queueLimit(request, now)) {
            return this.#overloaded(request, now);
        }
        this.#queue.add(request);
        return undefined;
    }

    /** Ends a turn whose request no longer wants a server. */
    cancelReservation(): void {
        this.#openTurns--;
    }

    /** Takes a request out of the queue; false if it wasn't there. */
    withdraw(request: Request): boolean {
        return this.#queue.remove(request);
    }

    /** Takes out the requests that have waited too long, with when to come back. */
    expire(now: number): readonly ExpiredRequest[] {
        const over = this.#queue.removeWhere(
            it => now + this.expectedLatencyMs * leastRunShare > it.deadlineAt,
        );
        return over.map(request => ({ request, refusal: this.#overloaded(request, now) }));
    }

    /** Takes the next request from the queue if there is a free slot for it. */
    reserveNext(now: number): Reservation | undefined {
        if (this.#queue.size === 0) {
            return undefined;
        }
        const free = this.#free(now).filter(it => !it.awaited);
        const [best] = this.#cheapest(free, 1, now);
        if (!best || slotsOf(free, now) <= this.#openTurns) {
            return undefined;
        }
        const request = this.#queue.peek(this.#timeOn(best, now));
        if (!request) {
            return undefined;
        }
        const untried = free.filter(it => !request.tried.includes(it.entry.id));
        const allowed = untried.length > 0 ? untried : free;
        this.#queue.remove(request);
        this.#openTurns++;
        return {
            request,
            candidates: this.#cheapest(allowed, this.#settings.candidateCount, now, request.kind),
        };
    }

    /** Gives a request the best of the servers compared; it goes on waiting if none has a free slot any more. */
    grant(turn: Reservation, now: number): Slot | undefined {
        this.#openTurns--;
        const free = turn.candidates.filter(it => it.usable(now) && !it.awaited && this.#isOpen(it, now));
        const [best] = this.#cheapest(free, 1, now, turn.request.kind);
        if (!best) {
            this.#queue.add(turn.request);
            return undefined;
        }
        const slot: Slot = {
            request: turn.request,
            server: best.entry,
            grantedAt: now,
            load: best.belief(now),
        };
        this.#starts.set(slot, {
            crowded: best.crowded(now),
            ownCost: best.ownCost(now),
            untold: best.untoldSlowness(now),
        });
        best.start(slot);
        return slot;
    }

    /** Takes note of how a send ended. */
    settle(slot: Slot, end: SlotResult, now: number): void {
        const server = this.#servers.get(keyOf(slot.server));
        const start = this.#starts.get(slot);
        this.#starts.delete(slot);
        if (start && end.kind === "answered" && end.status < serverErrors) {
            const crowded = start.crowded || (server?.crowdedNow ?? false);
            const ms = now - slot.grantedAt;
            const factor = crowded ? this.#speed.saturationFactor : 1;
            server?.paced((ms * start.untold) / (this.#speed.baselineMs * factor * start.ownCost), now);
            this.#speed.record(ms, crowded, start.ownCost);
        }
        server?.settle(slot, end, now);
    }

    /** Takes a server's load report, made at `at`. */
    recordLoad(server: ServerEntry, report: LoadReport, at: number): void {
        this.#servers.get(keyOf(server))?.reported(report, at);
    }

    /** Takes note of a load question on its way; until its answer comes the server gets nothing. */
    recordLoadQuery(server: ServerEntry): void {
        this.#servers.get(keyOf(server))?.asked();
    }

    /** Takes note of an answer to a load question that says nothing of load. */
    recordAnswerWithoutLoad(server: ServerEntry): void {
        this.#servers.get(keyOf(server))?.answeredWithoutLoad();
    }

    /** Whether one of a turn's servers is known to be calm and idle, so that no other is much better. */
    hasIdealCandidate(turn: Reservation, now: number): boolean {
        return turn.candidates.some(it => it.usable(now) && it.isIdeal(now));
    }

    /** Takes note of a load question without an answer. */
    recordUnansweredQuery(server: ServerEntry, now: number): void {
        this.#servers.get(keyOf(server))?.unanswered(now);
    }

    #usable(now: number): readonly ServerState[] {
        return this.servers.filter(it => it.usable(now));
    }

    /** Servers with a free slot that aren't in a slow spell; those that fail only if there are no others. */
    #free(now: number): readonly ServerState[] {
        const usable = this.#usable(now);
        const sound = usable.filter(it => !it.ejected(now));
        return (sound.length > 0 ? sound : usable).filter(it => this.#isOpen(it, now));
    }

    #isOpen(server: ServerState, now: number): boolean {
        return server.free(now) > 0 && !server.knownSlow(now, this.#speed.baselineMs);
    }

    #timeOn(server: ServerState, now: number): number {
        return this.#speed.baselineMs * server.cost(now, this.#speed.saturationFactor);
    }

    /** The `count` cheapest servers, in order. */
    #cheapest(
        servers: readonly ServerState[],
        count: number,
        now: number,
        kind: RouteKind = "idempotent",
    ): readonly ServerState[] {
        const factor = this.#speed.saturationFactor;
        const costs = servers.map(it => {
            const far = it.entry.domain === this.#settings.domain ? 1 : farCosts[kind];
            const foreign = !this.#own || this.#own.has(it.entry.id) ? 1 : foreignCost;
            return { it, cost: it.cost(now, factor) * far * foreign * (1 + this.#random() * tieSpread) };
        });
        const best: { readonly it: ServerState; readonly cost: number }[] = [];
        for (const one of costs) {
            const last = best[count - 1];
            if (!last || one.cost < last.cost) {
                const at = best.findIndex(it => one.cost < it.cost);
                best.splice(at === -1 ? best.length : at, 0, one);
                best.length = Math.min(best.length, count);
            }
        }
        return best.map(({ it }) => it);
    }

    /** Requests that would have to start before a new one gets a slot, itself included. */
    #ahead({ priority }: Request, now: number): number {
        const free = slotsOf(this.#free(now), now);
        return this.#queue.countAhead(priority) + 1 - Math.max(0, free - this.#openTurns);
    }

    /** So many may wait that a new one can still meet its target. */
    #queueLimit(request: Request, now: number): number {
        const slackMs = request.targetAt - now - this.expectedLatencyMs;
        return Math.max(lateLimit, (slackMs * slackShare) / this.#startEveryMs(now));
    }

    /** A slot is likely to be free when the requests that wait now are gone; those told to return are spread. */
    #overloaded(request: Request, now: number): Refusal {
        const leftMs = Math.max(0, request.deadlineAt - now);
        const drainMs = this.#queue.size * this.#startEveryMs(now);
        const retryAfterMs = Math.min(leftMs / 3, Math.max(leastRetryMs, drainMs)) * (1 + this.#random());
        return { reason: "overloaded", retryAfterMs };
    }

    #startEveryMs(now: number): number {
        const slots = this.#usable(now).reduce((sum, it) => sum + it.entry.slots, 0);
        const used = this.#speed.degradesWhenSaturated ? slots * uncrowdedShare : slots;
        return this.expectedLatencyMs / Math.max(1, used);
    }
}

/** What was expected of a send at its start. */
interface Start {
    readonly crowded: boolean;
    readonly ownCost: number;
    /** Part of that cost which the server's reports didn't tell. */
    readonly untold: number;
}

const slotsOf = (servers: readonly ServerState[], now: number): number =>
    servers.reduce((sum, it) => sum + it.free(now), 0);

/** Tells incarnations apart, also of a server that kept its id over a restart. */
const keyOf = (entry: ServerEntry): string => `${entry.id}@${entry.bornAt}`;

/** Servers that come or return are known within about a second. */
const noServerRetryMs = 400;
/** A caller that comes back sooner than a usual request takes finds the same queue. */
const leastRetryMs = 120;
/** A request that can no longer meet its target may wait for a slot that falls idle, but not behind others. */
const lateLimit = 1;
/** Part of the time to spare before the target that may be spent waiting; the rest is for slower servers. */
const slackShare = 0.4;
/** With less than this share of the expected time left, a request would probably not be answered. */
const leastRunShare = 0.5;
/** Share of the slots that a service which suffers from crowding uses under load. */
const uncrowdedShare = 0.6;
/** Random spread of costs, so that dispatchers that see the same don't all choose alike. */
const tieSpread = 0.05;
/** Cost of a server that is another entry VM's by preference: less than that of one with a request running. */
const foreignCost = 1.2;
/** Cost of a server in another failure domain: a longer way, and for downloads many bytes on links that are paid for. */
const farCosts: Readonly<Record<RouteKind, number>> = {
    idempotent: 1.05,
    "non-idempotent": 1.05,
    download: 3,
};
const serverErrors = 500;
