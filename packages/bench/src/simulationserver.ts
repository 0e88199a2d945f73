/** Event queue and simulated backend servers of the simulation. */

import type { BackendServer } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { Slowdown } from "./trace.js";

/** Runs scheduled events in order of their virtual time in milliseconds; events at the same time run in FIFO order. */
export class VirtualTimeScheduler {
    #now = 0;
    #order = 0;
    readonly #heap: { readonly at: number; readonly order: number; readonly run: () => void }[] = [];

    get now(): number {
        return this.#now;
    }

    schedule(at: number, run: () => void): void {
        const heap = this.#heap;
        const event = { at: Math.max(at, this.#now), order: this.#order++, run };
        let child = heap.push(event) - 1;
        while (child > 0 && this.#isBefore(child, (child - 1) >> 1)) {
            child = this.#swap(child, (child - 1) >> 1);
        }
    }

    runUntil(untilMs: number): void {
        for (let event = this.#heap[0]; event && event.at <= untilMs; event = this.#heap[0]) {
            this.#removeFirst();
            this.#now = event.at;
            event.run();
        }
    }

    #removeFirst(): void {
        const heap = this.#heap;
        this.#swap(0, heap.length - 1);
        heap.pop();
        for (let parent = 0; ;) {
            const [left, right] = [2 * parent + 1, 2 * parent + 2];
            const least = right < heap.length && this.#isBefore(right, left) ? right : left;
            if (least >= heap.length || this.#isBefore(parent, least)) {
                return;
            }
            parent = this.#swap(parent, least);
        }
    }

    #isBefore(one: number, other: number): boolean {
        const [a, b] = [this.#heap[one]!, this.#heap[other]!];
        return a.at < b.at || (a.at === b.at && a.order < b.order);
    }

    #swap(from: number, to: number): number {
        [this.#heap[from], this.#heap[to]] = [this.#heap[to]!, this.#heap[from]!];
        return to;
    }
}

/** A request sent to a server. */
export interface Job {
    readonly workMs: number;
    readonly respond: (status: number) => void;
    state: "queued" | "running" | "done";
}

/** A backend server with slots, a queue, slowdowns and a period in which it responds to every request with 503. */
export class SimulatedServer {
    readonly server: BackendServer;
    readonly #time: VirtualTimeScheduler;
    readonly #slowdowns: readonly Slowdown[];
    readonly #failing: Slowdown | undefined;
    readonly #queue = new Set<Job>();
    #running = 0;
    #latencyMs = 0;
    /** Slot time spent on completed requests. */
    busyMs = 0;

    constructor(
        server: BackendServer,
        time: VirtualTimeScheduler,
        slowdowns: readonly Slowdown[],
        failing: Slowdown | undefined,
    ) {
        this.server = server;
        this.#time = time;
        this.#slowdowns = slowdowns;
        this.#failing = failing;
    }

    get freeSlots(): number {
        return this.server.slots - this.#running;
    }

    /** Whether the server is slow or failing now. */
    get isImpaired(): boolean {
        return this.isFailing || this.#slowdowns.some(it => isDuring(it, this.#time.now));
    }

    get isFailing(): boolean {
        return this.#failing !== undefined && isDuring(this.#failing, this.#time.now);
    }

    get loadReport(): LoadReport {
        return { inFlight: this.#running + this.#queue.size, latencyMs: this.#latencyMs, draining: false };
    }

    submit(job: Job): void {
        if (this.isFailing) {
            this.#time.schedule(this.#time.now + failFastMs, () => job.respond(503));
            return;
        }
        this.#queue.add(job);
        this.#startNext();
    }

    cancel(job: Job): void {
        this.#queue.delete(job);
        this.#running -= job.state === "running" ? 1 : 0;
        job.state = "done";
        this.#startNext();
    }

    #startNext(): void {
        const [job] = this.#queue;
        if (!job || this.freeSlots <= 0) {
            return;
        }
        this.#queue.delete(job);
        this.#running++;
        job.state = "running";
        const startedAt = this.#time.now;
        this.#time.schedule(this.#finishAt(job.workMs), () => this.#finish(job, startedAt));
    }

    #finish(job: Job, startedAt: number): void {
        if (job.state !== "running") {
            return;
        }
        job.state = "done";
        this.#running--;
        this.busyMs += this.#time.now - startedAt;
        this.#latencyMs += (this.#time.now - startedAt - this.#latencyMs) / 8;
        this.#startNext();
        job.respond(200);
    }

    /** Returns when work that starts now ends, given the slowdowns until then. */
    #finishAt(workMs: number): number {
        let [now, left] = [this.#time.now, workMs];
        for (const { from, to, factor } of this.#slowdowns.filter(it => it.to > now)) {
            if (now + left <= from) {
                break;
            }
            left -= Math.max(0, from - now);
            now = Math.max(now, from);
            if (now + left * factor <= to) {
                return now + left * factor;
            }
            left -= (to - now) / factor;
            now = to;
        }
        return now + left;
    }
}

const isDuring = ({ from, to }: Slowdown, now: number): boolean => from <= now && now < to;

const failFastMs = 1;
