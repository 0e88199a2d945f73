/** Discrete-event simulation of balancers under load: replays a scenario and scores what its callers get. */

import { Balancer } from "@bramleymoor/balance/balancer";
import type { Request } from "@bramleymoor/balance/types";
import { SeededRandom, type Random } from "@bramleymoor/dispatch/random";
import { SimulatedServerPool, type BehaviorAt, type Job, type ServerPoolOptions } from "./replayservers.js";

/** Callers of a scenario. */
export interface ReplayCallers {
    /** Mean processing time of a request on an idle server. */
    readonly workMs: number;
    /** Target latency, from a caller's first attempt. */
    readonly targetMs: number;
    /** Time after the first attempt at which a caller gives up. */
    readonly deadlineMs: number;
    /** Timeout of one attempt. */
    readonly timeoutMs: number;
    /** Retries after refusals, at most. */
    readonly retries: number;
    /** Share of refused callers that retry at once, whatever the refusal's retry-after time. */
    readonly immediateRetryShare: number;
}

/** Load, server behavior and callers of one run. */
export interface ReplayScenario {
    readonly name: string;
    readonly servers: ServerPoolOptions;
    readonly callers: ReplayCallers;
    /** New requests per second at a time since the start. */
    readonly rate: (atMs: number) => number;
    /** Faults of the servers; all are healthy if absent. */
    readonly behavior?: BehaviorAt;
    readonly durationMs: number;
    readonly seed: number;
    /** Number of entry VMs that serve the callers; one that sees all requests if absent. */
    readonly entryVms?: number;
}

/** Outcomes of a scenario's requests. */
export interface ReplayResult {
    readonly requests: number;
    readonly inTarget: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
    /** Mean utility of a request: 1 if answered within the target latency, 0.1 if answered late, else 0. */
    readonly utility: number;
    /** Mean utility over the worst tenth of the run's seconds. */
    readonly worstTenthUtility: number;
    /** Mean utility for each second of the run, by the time of a request's first attempt. */
    readonly utilityBySecond: readonly number[];
    /** Longest time that a request was queued before it was refused. */
    readonly maxRefusalDelayMs: number;
}

interface Caller {
    readonly firstAt: number;
    readonly workMs: number;
    attempts: number;
    outcome: "open" | "target" | "late" | "refused" | "failed";
}

/**
 * Runs a scenario against as many balancers as it names.
 *
 * @param seed seed of the balancers' random numbers; the scenario's own are drawn apart from them
 */
export const replayScenario = (scenario: ReplayScenario, seed = scenario.seed): ReplayResult => {
    const random = new SeededRandom(seed);
    const balancers = Array.from(
        { length: scenario.entryVms ?? 1 },
        () => new Balancer({ candidateCount: 3, domain: "a" }, () => random.next()),
    );
    balancers.forEach(it => it.recordDemandShare(1 / balancers.length, 0));
    return new Replay(scenario, balancers).run();
};

/** An attempt of a caller at one entry VM. */
interface Attempt {
    readonly caller: Caller;
    readonly balancer: Balancer;
}

/** Runs one scenario against the balancers of one or several entry VMs, of which each attempt uses a random one. */
export class Replay {
    readonly #scenario: ReplayScenario;
    readonly #balancers: readonly Balancer[];
    readonly #random: Random;
    readonly #servers: SimulatedServerPool<Attempt>;
    readonly #callers: Caller[] = [];
    readonly #pending = new Map<Request, Attempt>();
    readonly #retries: { readonly at: number; readonly caller: Caller }[] = [];
    #arrivalsDue = 0;
    #maxRefusalDelayMs = 0;
    #lastId = 0;

    constructor(scenario: ReplayScenario, balancers: readonly Balancer[]) {
        this.#scenario = scenario;
        this.#balancers = balancers;
        this.#random = new SeededRandom(scenario.seed);
        const alwaysHealthy: BehaviorAt = () => "healthy";
        this.#servers = new SimulatedServerPool(
            scenario.servers,
            scenario.behavior ?? alwaysHealthy,
            this.#random,
        );
    }

    run(): ReplayResult {
        const { durationMs, callers } = this.#scenario;
        for (let now = 0; now < durationMs + callers.deadlineMs; now += stepMs) {
            if (now % serverListIntervalMs === 0) {
                this.#updateServers(now);
            }
            this.#servers.updateSlowdowns(now);
            if (now < durationMs) {
                this.#generateArrivals(now);
            }
            this.#submitRetries(now);
            this.#advanceServers(now);
            for (const balancer of this.#balancers) {
                this.#expire(balancer, now);
                this.#dispatchQueued(balancer, now);
            }
        }
        return this.#result();
    }

    /** Updates the balancers' server lists, which lag behind as they do in an entry VM. */
    #updateServers(now: number): void {
        const known = this.#servers.knownEntries(now).map(entry => ({ entry, lapsed: false }));
        this.#balancers.forEach(it => it.updateServers(known, now));
    }

    #generateArrivals(now: number): void {
        this.#arrivalsDue += (this.#scenario.rate(now) * stepMs) / msPerSecond;
        for (; this.#arrivalsDue >= 1; this.#arrivalsDue--) {
            const workFactor = 0.7 + 0.6 * this.#random.next();
            const caller: Caller = {
                firstAt: now,
                workMs: this.#scenario.callers.workMs * workFactor,
                attempts: 0,
                outcome: "open",
            };
            this.#callers.push(caller);
            this.#submit(caller, now);
        }
    }

    #submit(caller: Caller, now: number): void {
        const { targetMs, deadlineMs, timeoutMs } = this.#scenario.callers;
        const balancer = this.#randomBalancer();
        caller.attempts++;
        const request: Request = {
            id: ++this.#lastId,
            kind: "idempotent",
            priority: 1,
            arrivedAt: now,
            targetAt: caller.firstAt + targetMs - oneWayDelayMs,
            deadlineAt: Math.min(caller.firstAt + deadlineMs, now + timeoutMs),
            callerDeadlineAt: caller.firstAt + deadlineMs,
            tried: [],
        };
        const refusal = balancer.submit(request, now);
        if (refusal) {
            this.#handleRefusal(caller, refusal.retryAfterMs, 0, now);
        } else {
            this.#pending.set(request, { caller, balancer });
        }
    }

    /** Doesn't draw a random number for a single balancer. */
    #randomBalancer(): Balancer {
        const count = this.#balancers.length;
        const balancer = this.#balancers[count === 1 ? 0 : Math.floor(this.#random.next() * count)];
        if (!balancer) {
            throw new RangeError("a replay needs a balancer");
        }
        return balancer;
    }

    /** Schedules a retry after `retryAfterMs`, but a third of the time left at most; at once for some callers. */
    #handleRefusal(caller: Caller, retryAfterMs: number, queuedMs: number, now: number): void {
        const { deadlineMs, retries, immediateRetryShare } = this.#scenario.callers;
        this.#maxRefusalDelayMs = Math.max(this.#maxRefusalDelayMs, queuedMs);
        const leftMs = caller.firstAt + deadlineMs - now;
        const waitMs = this.#random.next() < immediateRetryShare ? 0 : Math.min(retryAfterMs, leftMs / 3);
        if (caller.attempts > retries || waitMs >= leftMs) {
            caller.outcome = "refused";
        } else {
            this.#retries.push({ at: now + waitMs + 2 * oneWayDelayMs, caller });
        }
    }

    #submitRetries(now: number): void {
        for (let i = this.#retries.length - 1; i >= 0; i--) {
            const retry = this.#retries[i];
            if (retry && retry.at <= now) {
                this.#retries.splice(i, 1);
                this.#submit(retry.caller, now);
            }
        }
    }

    #advanceServers(now: number): void {
        this.#servers.advance(stepMs, now).forEach(job => this.#handleEnd(job, now));
    }

    #handleEnd(job: Job<Attempt>, now: number): void {
        const { server } = job.slot;
        const { caller, balancer } = job.owner;
        balancer.recordLoad(server, this.#servers.loadReport(server), now);
        if (job.behavior === "down" || job.behavior === "failing") {
            const unreachable = job.behavior === "down";
            balancer.settle(
                job.slot,
                unreachable ? { kind: "unreachable" } : { kind: "answered", status: 500 },
                now,
            );
            this.#resubmit(job, unreachable ? maxUnreachableAttempts : maxAttempts, now);
            return;
        }
        if (job.remainingMs > 0) {
            caller.outcome = "failed";
            balancer.settle(job.slot, { kind: "timeout" }, now);
            return;
        }
        const inTarget = now - caller.firstAt <= this.#scenario.callers.targetMs - oneWayDelayMs;
        caller.outcome = inTarget ? "target" : "late";
        balancer.settle(job.slot, { kind: "answered", status: 200 }, now);
    }

    /** Submits a failed request again if its attempt limit allows it. */
    #resubmit({ slot, owner }: Job<Attempt>, limit: number, now: number): void {
        const tried = [...slot.request.tried, slot.server.id];
        const request = { ...slot.request, id: ++this.#lastId, arrivedAt: now, tried };
        if (tried.length >= limit || owner.balancer.submit(request, now)) {
            owner.caller.outcome = "failed";
        } else {
            this.#pending.set(request, owner);
        }
    }

    #expire(balancer: Balancer, now: number): void {
        for (const { request, refusal } of balancer.expire(now)) {
            const attempt = this.#pending.get(request);
            this.#pending.delete(request);
            if (attempt) {
                this.#handleRefusal(attempt.caller, refusal.retryAfterMs, now - request.arrivedAt, now);
            }
        }
    }

    #dispatchQueued(balancer: Balancer, now: number): void {
        for (let turn = balancer.reserveNext(now); turn; turn = balancer.reserveNext(now)) {
            for (const { entry } of turn.candidates) {
                if (this.#servers.answersProbe(entry, now)) {
                    balancer.recordLoad(entry, this.#servers.loadReport(entry), now);
                } else {
                    balancer.recordUnansweredProbe(entry, now);
                }
            }
            const slot = balancer.grant(turn, now);
            const attempt = this.#pending.get(turn.request);
            if (slot && attempt) {
                this.#pending.delete(turn.request);
                this.#servers.start(slot, attempt, attempt.caller.workMs);
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
        const utilityBySecond = [...seconds.values()].map(utilityOf);
        const sorted = [...utilityBySecond].sort((a, b) => a - b);
        const worst = sorted.slice(0, Math.max(1, Math.ceil(sorted.length / 10)));
        return {
            requests: this.#callers.length,
            inTarget: count("target"),
            late: count("late"),
            refused: count("refused") + count("open"),
            failed: count("failed"),
            utility: utilityOf(this.#callers),
            worstTenthUtility: worst.reduce((sum, it) => sum + it, 0) / worst.length,
            utilityBySecond,
            maxRefusalDelayMs: this.#maxRefusalDelayMs,
        };
    }
}

const utilityOf = (callers: readonly Caller[]): number =>
    callers.reduce(
        (sum, it) => sum + (it.outcome === "target" ? 1 : it.outcome === "late" ? lateUtility : 0),
        0,
    ) / callers.length;

const stepMs = 1;
const msPerSecond = 1_000;
/** One-way delay between callers and entry VMs. */
const oneWayDelayMs = 8;
const lateUtility = 0.1;
const serverListIntervalMs = 500;
const maxAttempts = 2;
const maxUnreachableAttempts = 4;
