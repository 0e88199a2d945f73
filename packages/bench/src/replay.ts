/** Replays patterns of overload against a balancer under virtual time: servers, callers and what they earn. */

import type { ServerEntry } from "@bramleymoor/model/route";
import type { Balancer } from "@bramleymoor/balance/balancer";
import type { Request, Slot } from "@bramleymoor/balance/types";
import { SeededRandom, type Random } from "@bramleymoor/dispatch/random";

/** Backend servers of a replay. */
export interface ReplayServers {
    readonly count: number;
    readonly slots: number;
    /** Share of the time for which a server is slow, how slow, and how long a spell lasts. */
    readonly noise: { readonly share: number; readonly factor: number; readonly everyMs: number };
    /** Above this share of its slots in use a server slows down by a factor. */
    readonly knee: { readonly fill: number; readonly factor: number };
}

/** What a backend server does with the requests that it gets. */
export type Conduct =
    | "sound"
    /** Answers each with an error of its own after a few milliseconds, its health being good. */
    | "fails"
    /** Never answers. */
    | "hangs"
    /** Works much slower than the others, and doesn't tell. */
    | "slow"
    /** Just started: works, but slower. */
    | "cold"
    /** Not there: connections are refused. */
    | "gone";

/** Callers of a replay. */
export interface ReplayCallers {
    readonly workMs: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
    readonly timeoutMs: number;
    readonly retries: number;
    /** Share of callers that come back at once instead of when they are told to. */
    readonly impatient: number;
}

/** One pattern. */
export interface Pattern {
    readonly name: string;
    readonly servers: ReplayServers;
    readonly callers: ReplayCallers;
    /** New requests per second at a moment. */
    readonly rate: (atMs: number) => number;
    /** What a server does at a moment; all are sound if absent. */
    readonly conduct?: (server: number, atMs: number) => Conduct;
    readonly lengthMs: number;
    readonly seed: number;
}

/** What became of a pattern's requests. */
export interface ReplayResult {
    readonly owed: number;
    readonly inTarget: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
    /** Worth per request: 1 in the target, 0.1 late. */
    readonly worth: number;
    /** The same in the worst tenth of the seconds. */
    readonly worst: number;
    /** The same second by second, by the moment at which the callers first came. */
    readonly bySecond: readonly number[];
    /** Longest time for which a request was held that was then refused. */
    readonly heldMs: number;
}

interface Caller {
    readonly firstAt: number;
    readonly workMs: number;
    attempts: number;
    outcome: "open" | "target" | "late" | "refused" | "failed";
}

interface Job {
    readonly slot: Slot;
    readonly caller: Caller;
    /** What the server does with it, settled at its start. */
    readonly conduct: Conduct;
    left: number;
}

/** Runs one pattern against one balancer. */
export class Replay {
    readonly #pattern: Pattern;
    readonly #balancer: Balancer;
    readonly #random: Random;
    readonly #entries: readonly ServerEntry[];
    readonly #jobs: Job[][];
    readonly #slow: boolean[];
    readonly #callers: Caller[] = [];
    readonly #open = new Map<Request, Caller>();
    readonly #returns: { readonly at: number; readonly caller: Caller }[] = [];
    #due = 0;
    #heldMs = 0;
    #lastId = 0;

    constructor(pattern: Pattern, balancer: Balancer) {
        this.#pattern = pattern;
        this.#balancer = balancer;
        this.#random = new SeededRandom(pattern.seed);
        this.#entries = Array.from({ length: pattern.servers.count }, (_, i) =>
            entryOf(i, pattern.servers.slots),
        );
        this.#jobs = this.#entries.map(() => []);
        this.#slow = this.#entries.map(() => false);
    }

    run(): ReplayResult {
        const { lengthMs, callers } = this.#pattern;
        for (let now = 0; now < lengthMs + callers.deadlineMs; now += stepMs) {
            if (now % newsEveryMs === 0) {
                this.#tellServers(now);
            }
            this.#shiftNoise(now);
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
        const known = this.#entries.filter(
            (_, i) => this.#conduct(i, Math.max(0, now - newsAgeMs)) !== "gone",
        );
        this.#balancer.follow(
            known.map(entry => ({ entry, lapsed: false })),
            now,
        );
    }

    #conduct(server: number, now: number): Conduct {
        return this.#pattern.conduct?.(server, now) ?? "sound";
    }

    #shiftNoise(now: number): void {
        const { noise } = this.#pattern.servers;
        this.#slow.forEach((_, i) => {
            if ((now + i * noiseStagger) % noise.everyMs < stepMs) {
                this.#slow[i] = this.#random.next() < noise.share;
            }
        });
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
        const { deadlineMs, retries, impatient } = this.#pattern.callers;
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
        this.#jobs.forEach((jobs, i) => {
            jobs.forEach(job => (job.left -= stepMs));
            const ended = jobs.filter(job => job.left <= 0 || now >= job.slot.request.deadlineAt);
            if (ended.length > 0) {
                this.#jobs[i] = jobs.filter(job => !ended.includes(job));
                ended.forEach(job => this.#ended(job, i, now));
            }
        });
    }

    #ended(job: Job, server: number, now: number): void {
        const entry = this.#entries[server];
        if (entry) {
            this.#report(entry, server, now);
        }
        if (job.conduct === "gone" || job.conduct === "fails") {
            const gone = job.conduct === "gone";
            this.#balancer.settle(
                job.slot,
                gone ? { kind: "unreachable" } : { kind: "answered", status: 500 },
                now,
            );
            this.#sendAgain(job, gone ? unreachableAtMost : attemptsAtMost, now);
            return;
        }
        if (job.left > 0) {
            job.caller.outcome = "failed";
            this.#balancer.settle(job.slot, { kind: "timeout" }, now);
            return;
        }
        const inTarget = now - job.caller.firstAt <= this.#pattern.callers.targetMs - wayMs;
        job.caller.outcome = inTarget ? "target" : "late";
        this.#balancer.settle(job.slot, { kind: "answered", status: 200 }, now);
    }

    /** Places a request once more, as long as its route allows. */
    #sendAgain({ slot, caller }: Job, most: number, now: number): void {
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
        for (let turn = this.#balancer.next(now); turn; turn = this.#balancer.next(now)) {
            turn.candidates.forEach(({ entry }) => this.#ask(entry, now));
            const slot = this.#balancer.grant(turn, now);
            const caller = this.#open.get(turn.request);
            if (slot && caller) {
                this.#open.delete(turn.request);
                this.#start(slot, caller);
            }
        }
    }

    /** A request's time is settled by its server's speed and load at its start. */
    #start(slot: Slot, caller: Caller): void {
        const { noise, knee, slots } = this.#pattern.servers;
        const server = this.#entries.indexOf(slot.server);
        const jobs = this.#jobs[server] ?? [];
        const crowding = (jobs.length + 1) / slots > knee.fill ? knee.factor : 1;
        const conduct = this.#conduct(server, slot.grantedAt);
        const untold = { sound: 1, cold: coldFactor, slow: slowFactor, fails: 1, gone: 1, hangs: 1 }[conduct];
        const working = caller.workMs * (this.#slow[server] ? noise.factor : 1) * crowding * untold;
        const left = {
            sound: working,
            cold: working,
            slow: working,
            fails: failingMs,
            gone: refusingMs,
            hangs: Infinity,
        };
        jobs.push({ slot, caller, conduct, left: left[conduct] });
    }

    #ask(entry: ServerEntry, now: number): void {
        const server = this.#entries.indexOf(entry);
        if (this.#conduct(server, now) === "gone") {
            this.#balancer.unanswered(entry, now);
        } else {
            this.#report(entry, server, now);
        }
    }

    #report(entry: ServerEntry, server: number, now: number): void {
        const { slots, noise } = this.#pattern.servers;
        const running = this.#jobs[server]?.length ?? 0;
        const slowdown = this.#slow[server] ? noise.factor : 1;
        this.#balancer.report(entry, { running, waiting: 0, slots, slowdown }, now);
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
            owed: this.#callers.length,
            inTarget: count("target"),
            late: count("late"),
            refused: count("refused") + count("open"),
            failed: count("failed"),
            worth: worthOf(this.#callers),
            worst: worst.reduce((sum, it) => sum + it, 0) / worst.length,
            bySecond,
            heldMs: this.#heldMs,
        };
    }
}

const worthOf = (callers: readonly Caller[]): number =>
    callers.reduce(
        (sum, it) => sum + (it.outcome === "target" ? 1 : it.outcome === "late" ? lateWorth : 0),
        0,
    ) / callers.length;

const entryOf = (i: number, slots: number): ServerEntry => ({
    id: `s${i}`,
    bornAt: 1,
    service: "svc",
    address: `10.0.0.${i + 1}:80`,
    domain: "a",
    slots,
    leaving: false,
    warmUpMs: 0,
});

const stepMs = 1;
const msPerSecond = 1_000;
/** One way between callers and entry VMs. */
const wayMs = 8;
const lateWorth = 0.1;
/** How old an entry VM's list of servers is, and how often it is renewed. */
const newsAgeMs = 700;
const newsEveryMs = 500;
const failingMs = 5;
const refusingMs = 2;
const coldFactor = 3;
const slowFactor = 4;
const attemptsAtMost = 2;
const unreachableAtMost = 4;
const noiseStagger = 37;
