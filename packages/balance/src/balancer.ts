/** Decides for one service which requests wait, which are refused, and which server gets the next one. */

import type { ServerEntry } from "@bramleymoor/model/route";
import { WaitQueue } from "./queue.js";
import { ServerState } from "./server.js";
import type { LoadReport, Refusal, Request, SendEnd, Slot } from "./types.js";

/** A request whose turn it is, with the servers that may get it, cheapest first. */
export interface Turn {
    readonly request: Request;
    readonly candidates: readonly ServerState[];
}

/** Settings of a balancer. */
export interface BalanceSettings {
    /** Servers compared for one request. */
    readonly compared: number;
}

/** Balances the requests of one service in one entry VM. */
export class Balancer {
    readonly #settings: BalanceSettings;
    readonly #random: () => number;
    readonly #servers = new Map<string, ServerState>();
    readonly #queue = new WaitQueue();
    /** Usual time of a request on an idle, calm server, in milliseconds. */
    #usualMs = firstUsualMs;
    /** Mean time between starts of requests from the queue while it was not empty. */
    #betweenStartsMs = 0;
    #startedAt = -Infinity;
    /** Turns handed out and not yet granted or given up; each will take a slot. */
    #openTurns = 0;

    constructor(settings: BalanceSettings, random: () => number) {
        this.#settings = settings;
        this.#random = random;
    }

    /** Requests that wait. */
    get waiting(): number {
        return this.#queue.size;
    }

    /** Every server known, those that still work for us included. */
    get servers(): readonly ServerState[] {
        return [...this.#servers.values()];
    }

    /** Expected time from start to answer now, in milliseconds. */
    get expectedMs(): number {
        return this.#usualMs * typicalCost;
    }

    /** Takes the service's servers; one that is gone gets nothing new, what it is working on goes on. */
    follow(entries: readonly { readonly entry: ServerEntry; readonly lapsed: boolean }[], now: number): void {
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

    /** Queues a request, or tells why not. */
    submit(request: Request, now: number): Refusal | undefined {
        const usable = this.#usable(now);
        if (usable.length === 0) {
            return { why: "no-server", retryAfterMs: noServerRetryMs };
        }
        const waitMs = this.#waitFor(request, usable, now);
        const endsAt = now + waitMs + this.expectedMs;
        const late = endsAt > request.targetAt;
        const slots = usable.reduce((sum, it) => sum + it.entry.slots, 0);
        const crowded = this.#queue.late(now, this.expectedMs) >= Math.ceil(slots * lateShare);
        if (waitMs > 0 && (endsAt > request.deadlineAt || (late && crowded))) {
            return { why: "overloaded", retryAfterMs: this.#retryAfter(waitMs) };
        }
        this.#queue.add(request);
        return undefined;
    }

    /** Ends a turn whose request no longer wants a server. */
    giveUp(): void {
        this.#openTurns--;
    }

    /** Takes a request out of the queue; false if it wasn't there. */
    withdraw(request: Request): boolean {
        return this.#queue.remove(request);
    }

    /** Requests that can no longer be answered in time; they leave the queue. */
    expire(now: number): readonly Request[] {
        return this.#queue.expire(now, 0);
    }

    /** Takes the next request from the queue if there is a free slot for it. */
    next(now: number): Turn | undefined {
        const request = this.#queue.peek(now, this.expectedMs);
        if (!request) {
            return undefined;
        }
        const candidates = this.#candidates(request, now);
        const free = this.#usable(now).reduce((sum, it) => sum + Math.max(0, it.free(now)), 0);
        if (candidates.length === 0 || free <= this.#openTurns) {
            return undefined;
        }
        this.#queue.remove(request);
        this.#openTurns++;
        return { request, candidates };
    }

    /** Gives a request the best of the servers compared; it goes on waiting if none has a free slot any more. */
    grant(turn: Turn, now: number): Slot | undefined {
        this.#openTurns--;
        const free = turn.candidates.filter(it => it.usable(now) && it.free(now) > 0);
        const best = this.#cheapest(free, now)[0];
        if (!best) {
            this.#queue.add(turn.request);
            return undefined;
        }
        const slot: Slot = { request: turn.request, server: best.entry, grantedAt: now };
        best.start(slot);
        this.#noteStart(now);
        return slot;
    }

    /** Takes note of how a send ended. */
    settle(slot: Slot, end: SendEnd, now: number): void {
        const server = this.#servers.get(keyOf(slot.server));
        if (end.kind === "answered" && end.status < 500) {
            const cost = server?.cost(slot.grantedAt) ?? typicalCost;
            this.#usualMs += ((now - slot.grantedAt) / Math.max(1, cost) - this.#usualMs) * usualWeight;
        }
        server?.settle(slot, end, now);
    }

    /** Takes a server's load report, made at `at`. */
    report(server: ServerEntry, report: LoadReport, at: number): void {
        this.#servers.get(keyOf(server))?.reported(report, at);
    }

    /** Takes note of a load question without an answer. */
    unanswered(server: ServerEntry, now: number): void {
        this.#servers.get(keyOf(server))?.unanswered(now);
    }

    #usable(now: number): readonly ServerState[] {
        return this.servers.filter(it => it.usable(now));
    }

    #candidates(request: Request, now: number): readonly ServerState[] {
        const usable = this.#usable(now);
        const untried = usable.filter(it => !request.tried.includes(it.entry.id));
        const allowed = untried.length > 0 ? untried : usable;
        const sound = allowed.filter(it => !it.ejected(now));
        const pool = sound.length > 0 ? sound : allowed;
        return this.#cheapest(
            pool.filter(it => it.free(now) > 0),
            now,
        ).slice(0, this.#settings.compared);
    }

    #cheapest(servers: readonly ServerState[], now: number): readonly ServerState[] {
        const costs = servers.map(it => ({ it, cost: it.cost(now) * (1 + this.#random() * tieSpread) }));
        costs.sort((a, b) => a.cost - b.cost);
        return costs.map(({ it }) => it);
    }

    #waitFor(request: Request, usable: readonly ServerState[], now: number): number {
        const free = usable.reduce((sum, it) => sum + Math.max(0, it.ejected(now) ? 0 : it.free(now)), 0);
        const ahead = this.#queue.ahead(request.priority, request.targetAt, now, this.expectedMs) - free + 1;
        if (ahead <= 0) {
            return 0;
        }
        const slots = usable.reduce((sum, it) => sum + it.entry.slots, 0);
        const byStarts = this.#betweenStartsMs > 0 ? this.#betweenStartsMs : this.expectedMs / slots;
        return ahead * Math.min(byStarts, this.expectedMs / Math.max(1, slots / crowdedCost));
    }

    #retryAfter(waitMs: number): number {
        return Math.max(leastRetryMs, waitMs) * (1 + this.#random());
    }

    #noteStart(now: number): void {
        const gap = now - this.#startedAt;
        this.#startedAt = now;
        if (this.#queue.size > 0 && gap < betweenStartsMostMs) {
            const weight = this.#betweenStartsMs === 0 ? 1 : startsWeight;
            this.#betweenStartsMs += (gap - this.#betweenStartsMs) * weight;
        }
    }
}

/** Tells incarnations apart, also of a server that kept its id over a restart. */
const keyOf = (entry: ServerEntry): string => `${entry.id}@${entry.bornAt}`;

/** Assumed until answers tell more. */
const firstUsualMs = 120;
const usualWeight = 0.05;
/** Mean cost of a server as `ServerState.cost` gives it, for expectations. */
const typicalCost = 1.5;
const crowdedCost = 1.7;
const noServerRetryMs = 400;
const leastRetryMs = 60;
/** Requests that will be late may wait for slots that would stand idle: so many, as a share of the slots. */
const lateShare = 0.25;
/** Random spread of costs, so that dispatchers that see the same don't all choose alike. */
const tieSpread = 0.05;
const startsWeight = 0.1;
const betweenStartsMostMs = 1_000;
