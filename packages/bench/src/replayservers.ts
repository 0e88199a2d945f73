/** Backend servers of a replay under virtual time: how long their work takes, and what they tell. */

import type { LoadReport, Slot } from "@bramleymoor/balance/types";
import type { Random } from "@bramleymoor/dispatch/random";
import type { ServerEntry } from "@bramleymoor/model/route";
import { serverEntry } from "@bramleymoor/testkit/builders";

/** Backend servers of a replay. */
export interface ServerPoolOptions {
    readonly count: number;
    readonly slots: number;
    /** Share of the time for which a server is slow, how slow, and how long a spell lasts. */
    readonly noise: { readonly share: number; readonly factor: number; readonly intervalMs: number };
    /** Above this share of its slots in use a server slows down by a factor. */
    readonly saturation: { readonly threshold: number; readonly factor: number };
}

/** What a backend server does with the requests that it gets. */
export type ServerBehavior =
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

/** What a server does at a moment, by its place among the servers. */
export type BehaviorAt = (server: number, atMs: number) => ServerBehavior;

/** A request at a server. */
export interface Job<Owner> {
    readonly slot: Slot;
    readonly owner: Owner;
    /** What the server does with it, settled at its start. */
    readonly behavior: ServerBehavior;
    /** Milliseconds until it ends. */
    remainingMs: number;
}

/** All servers of one replay. */
export class SimulatedServerPool<Owner> {
    readonly #servers: ServerPoolOptions;
    readonly #conductOf: BehaviorAt;
    readonly #random: Random;
    readonly #entries: readonly ServerEntry[];
    readonly #jobs: Job<Owner>[][];
    readonly #slow: boolean[];

    constructor(servers: ServerPoolOptions, conductOf: BehaviorAt, random: Random) {
        this.#servers = servers;
        this.#conductOf = conductOf;
        this.#random = random;
        this.#entries = Array.from({ length: servers.count }, (_, i) =>
            serverEntry(`s${i}`, { address: `10.0.0.${i + 1}:80`, slots: servers.slots }),
        );
        this.#jobs = this.#entries.map(() => []);
        this.#slow = this.#entries.map(() => false);
    }

    /** Entries as entry VMs know them, which is some time late. */
    knownEntries(now: number): readonly ServerEntry[] {
        return this.#entries.filter((_, i) => this.#conductOf(i, Math.max(0, now - newsAgeMs)) !== "gone");
    }

    /** Begins and ends slow spells; call it every millisecond. */
    updateSlowdowns(now: number): void {
        const { noise } = this.#servers;
        this.#slow.forEach((_, i) => {
            if ((now + i * noiseStagger) % noise.intervalMs < 1) {
                this.#slow[i] = this.#random.next() < noise.share;
            }
        });
    }

    /** Starts a request; its server's speed and load at this moment settle how long it takes. */
    start(slot: Slot, owner: Owner, workMs: number): void {
        const { noise, saturation: knee, slots } = this.#servers;
        const server = this.#entries.indexOf(slot.server);
        const jobs = this.#jobs[server] ?? [];
        const crowding = (jobs.length + 1) / slots > knee.threshold ? knee.factor : 1;
        const conduct = this.#conductOf(server, slot.grantedAt);
        const working = workMs * (this.#slow[server] ? noise.factor : 1) * crowding;
        jobs.push({ slot, owner, behavior: conduct, remainingMs: timesOf(working)[conduct] });
    }

    /** Works for some milliseconds; gives the jobs that have ended or whose deadline has passed. */
    advance(ms: number, now: number): readonly Job<Owner>[] {
        return this.#jobs.flatMap((jobs, i) => {
            jobs.forEach(job => (job.remainingMs -= ms));
            const ended = jobs.filter(job => job.remainingMs <= 0 || now >= job.slot.request.deadlineAt);
            if (ended.length > 0) {
                this.#jobs[i] = jobs.filter(job => !ended.includes(job));
            }
            return ended;
        });
    }

    /** What a server tells of its load with an answer. */
    loadReport(entry: ServerEntry): LoadReport {
        const server = this.#entries.indexOf(entry);
        const { slots, noise } = this.#servers;
        const slowdown = this.#slow[server] ? noise.factor : 1;
        return { running: this.#jobs[server]?.length ?? 0, waiting: 0, slots, slowdown };
    }

    /** Whether a server answers a load question. */
    answersLoadQuery(entry: ServerEntry, now: number): boolean {
        return this.#conductOf(this.#entries.indexOf(entry), now) !== "gone";
    }
}

const timesOf = (workingMs: number): Readonly<Record<ServerBehavior, number>> => ({
    sound: workingMs,
    cold: workingMs * coldFactor,
    slow: workingMs * slowFactor,
    fails: failingMs,
    gone: refusingMs,
    hangs: Infinity,
});

/** How old an entry VM's list of servers is. */
const newsAgeMs = 700;
const failingMs = 5;
const refusingMs = 2;
const coldFactor = 3;
const slowFactor = 4;
/** Spells of different servers don't begin together. */
const noiseStagger = 37;
