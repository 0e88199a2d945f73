/** Replays patterns of overload against a balancer under virtual time: servers, callers and what they earn. */

import type { Balancer } from "@bramleymoor/balance/balancer";
import type { Request } from "@bramleymoor/balance/types";
import { SeededRandom, type Random } from "@bramleymoor/dispatch/random";
import { SimulatedServerPool, type BehaviorAt, type Job, type ServerPoolOptions } from "./replayservers.js";

/** Callers of a replay. */
export interface ReplayCallers {
    readonly workMs: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
    readonly timeoutMs: number;
    readonly retries: number;
    /** Share of callers that come back at once instead of when they are told to. */
    readonly immediateRetryShare: number;
}

/** One pattern. */
export interface ReplayScenario {
    readonly name: string;
    readonly servers: ServerPoolOptions;
    readonly callers: ReplayCallers;
    /** New requests per second at a moment. */
    readonly rate: (atMs: number) => number;
    /** What a server does at a moment; all are sound if absent. */
    readonly behavior?: BehaviorAt;
    readonly durationMs: number;
    readonly seed: number;
}

/** What became of a pattern's requests. */
export interface ReplayResult {
    readonly requests: number;
    readonly inTarget: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
    /** Worth per request: 1 in the target, 0.1 late. */
    readonly utility: number;
    /** The same in the worst tenth of the seconds. */
    readonly worstTenthUtility: number;
    /** The same second by second, by the moment at which the callers first came. */
    readonly utilityBySecond: readonly number[];
    /** Longest time for which a request was held that was then refused. */
    readonly maxRefusalDelayMs: number;
}

interface Caller {
    readonly firstAt: number;
    readonly workMs: number;
    attempts: number;
    outcome: "open" | "target" | "late" | "refused" | "failed";
}

/** Runs one pattern against one balancer. */
export class Replay {
    readonly #pattern: ReplayScenario;
    readonly #balancer: Balancer;
    readonly #random: Random;
    readonly #fleet: SimulatedServerPool<Caller>;
    readonly #callers: Caller[] = [];
    readonly #open = new Map<Request, Caller>();
    readonly #returns: { readonly at: number; readonly caller: Caller }[] = [];
    #due = 0;
    #heldMs = 0;
    #lastId = 0;

    constructor(pattern: ReplayScenario, balancer: Balancer) {
        this.#pattern = pattern;
        this.#balancer = balancer;
        this.#random = new SeededRandom(pattern.seed);
        const sound: BehaviorAt = () => "sound";
        this.#fleet = new SimulatedServerPool(pattern.servers, pattern.behavior ?? sound, this.#random);
    }

    run(): ReplayResult {
        const { durationMs: lengthMs, callers } = this.#pattern;
        for (let now = 0; now < lengthMs + callers.deadlineMs; now += stepMs) {
            if (now % newsEveryMs === 0) {
                this.#tellServers(now);
            }
            this.#fleet.updateSlowdowns(now);
            if (now < lengthMs) {
                this.#arrive(now);
            }
            this.#comeBack(now);
            this.#work(now);
            this.#expire(now);
            this.#place(now);
        }
        return this.#result();
    }

    /** The balancer learns which servers are there as late as entry VMs do. */
    #tellServers(now: number): void {
        this.#balancer.updateServers(
            this.#fleet.knownEntries(now).map(entry => ({ entry, lapsed: false })),
            now,
        );
    }

    #arrive(now: number): void {
        this.#due += (this.#pattern.rate(now) * stepMs) / msPerSecond;
        for (; this.#due >= 1; this.#due--) {
            const spread = 0.7 + 0.6 * this.#random.next();
            const caller: Caller = {
                firstAt: now,
                workMs: this.#pattern.callers.workMs * spread,
                attempts: 0,
                outcome: "open",
            };
            this.#callers.push(caller);
            this.#attempt(caller, now);
        }
    }

    #attempt(caller: Caller, now: number): void {
        const { targetMs, deadlineMs, timeoutMs } = this.#pattern.callers;
        caller.attempts++;
        const request: Request = {
            id: ++this.#lastId,
            kind: "idempotent",
            priority: 1,
            arrivedAt: now,
            targetAt: caller.firstAt + targetMs - wayMs,
            deadlineAt: Math.min(caller.firstAt + deadlineMs, now + timeoutMs),
            tried: [],
        };
        const refusal = this.#balancer.submit(request, now);
        if (refusal) {
            this.#refused(caller, refusal.retryAfterMs, 0, now);
        } else {
            this.#open.set(request, caller);
        }
    }

    /** A caller returns when it was told to, up to a third of the time that it has left, or at once if impatient. */
    #refused(caller: Caller, retryAfterMs: number, heldMs: number, now: number): void {
        const { deadlineMs, retries, immediateRetryShare: impatient } = this.#pattern.callers;
        this.#heldMs = Math.max(this.#heldMs, heldMs);
        const leftMs = caller.firstAt + deadlineMs - now;
        const waitMs = this.#random.next() < impatient ? 0 : Math.min(retryAfterMs, leftMs / 3);
        if (caller.attempts > retries || waitMs >= leftMs) {
            caller.outcome = "refused";
        } else {
            this.#returns.push({ at: now + waitMs + 2 * wayMs, caller });
        }
    }

    #comeBack(now: number): void {
        for (let i = this.#returns.length - 1; i >= 0; i--) {
            const back = this.#returns[i];
            if (back && back.at <= now) {
                this.#returns.splice(i, 1);
                this.#attempt(back.caller, now);
            }
        }
    }

    #work(now: number): void {
        this.#fleet.advance(stepMs, now).forEach(job => this.#ended(job, now));
    }

    #ended(job: Job<Caller>, now: number): void {
        const { server } = job.slot;
        this.#balancer.recordLoad(server, this.#fleet.loadReport(server), now);
        if (job.behavior === "gone" || job.behavior === "fails") {
            const gone = job.behavior === "gone";
            this.#balancer.settle(
                job.slot,
                gone ? { kind: "unreachable" } : { kind: "answered", status: 500 },
                now,
            );
            this.#sendAgain(job, gone ? unreachableAtMost : attemptsAtMost, now);
            return;
        }
        if (job.remainingMs > 0) {
            job.owner.outcome = "failed";
            this.#balancer.settle(job.slot, { kind: "timeout" }, now);
            return;
        }
        const inTarget = now - job.owner.firstAt <= this.#pattern.callers.targetMs - wayMs;
        job.owner.outcome = inTarget ? "target" : "late";
        this.#balancer.settle(job.slot, { kind: "answered", status: 200 }, now);
    }

    /** Places a request once more, as long as its route allows. */
    #sendAgain({ slot, owner: caller }: Job<Caller>, most: number, now: number): void {
        const tried = [...slot.request.tried, slot.server.id];
        const request = { ...slot.request, id: ++this.#lastId, arrivedAt: now, tried };
        if (tried.length >= most || this.#balancer.submit(request, now)) {
            caller.outcome = "failed";
        } else {
            this.#open.set(request, caller);
        }
    }

    #expire(now: number): void {
        for (const { request, refusal } of this.#balancer.expire(now)) {
            const caller = this.#open.get(request);
            this.#open.delete(request);
            if (caller) {
                this.#refused(caller, refusal.retryAfterMs, now - request.arrivedAt, now);
            }
        }
    }

    #place(now: number): void {
        for (let turn = this.#balancer.reserveNext(now); turn; turn = this.#balancer.reserveNext(now)) {
            for (const { entry } of turn.candidates) {
                if (this.#fleet.answersLoadQuery(entry, now)) {
                    this.#balancer.recordLoad(entry, this.#fleet.loadReport(entry), now);
                } else {
                    this.#balancer.recordUnansweredQuery(entry, now);
                }
            }
            const slot = this.#balancer.grant(turn, now);
            const caller = this.#open.get(turn.request);
            if (slot && caller) {
                this.#open.delete(turn.request);
                this.#fleet.start(slot, caller, caller.workMs);
            }
        }
    }

    #result(): ReplayResult {
        const count = (outcome: Caller["outcome"]): number =>
            this.#callers.filter(it => it.outcome === outcome).length;
        const seconds = new Map<number, Caller[]>();
        for (const caller of this.#callers) {
            const second = Math.floor(caller.firstAt / msPerSecond);
            seconds.set(second, [...(seconds.get(second) ?? []), caller]);
        }
        const bySecond = [...seconds.values()].map(worthOf);
        const sorted = [...bySecond].sort((a, b) => a - b);
        const worst = sorted.slice(0, Math.max(1, Math.ceil(sorted.length / 10)));
        return {
            requests: this.#callers.length,
            inTarget: count("target"),
            late: count("late"),
            refused: count("refused") + count("open"),
            failed: count("failed"),
            utility: worthOf(this.#callers),
            worstTenthUtility: worst.reduce((sum, it) => sum + it, 0) / worst.length,
            utilityBySecond: bySecond,
            maxRefusalDelayMs: this.#heldMs,
        };
    }
}

const worthOf = (callers: readonly Caller[]): number =>
    callers.reduce(
        (sum, it) => sum + (it.outcome === "target" ? 1 : it.outcome === "late" ? lateWorth : 0),
        0,
    ) / callers.length;

const stepMs = 1;
const msPerSecond = 1_000;
/** One way between callers and entry VMs. */
const wayMs = 8;
const lateWorth = 0.1;
/** How often the balancer gets a list of servers. */
const newsEveryMs = 500;
const attemptsAtMost = 2;
const unreachableAtMost = 4;
