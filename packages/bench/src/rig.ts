/** Replays a trace through the shipped dispatchers, or through one all-knowing queue, under virtual time. */

import { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import { type Random, SeededRandom } from "@bramleymoor/dispatch/random";
import { RetryBudget } from "@bramleymoor/dispatch/retry";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import type { Call, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { ChooserName, Service } from "@bramleymoor/model/spec";
import { CallError } from "@bramleymoor/protocol/kinds";
import { FakeServer, type Job, VirtualTime } from "./rigserver.js";
import { meanServiceMs, noisyNeighbours, replay, type Slowdown, type TracedCall } from "./trace.js";

/** What one run measures. */
export interface Scenario {
    readonly service: Service;
    readonly trace: readonly TracedCall[];
    readonly chooser: ChooserName | "omniscient";
    readonly faults: boolean;
    readonly seed: number;
    readonly durationMs: number;
    /** Arriving work as a share of the slots' capacity at a time. */
    readonly loadAt: (now: number) => number;
    /** Entry VMs that serve the service. */
    readonly dispatchers: number;
    /** Share of the calls that comes to the first of them. */
    readonly firstShare: number;
    /** Times that a caller comes back after a refusal. */
    readonly callerRetries: number;
}

/** What became of one call. */
export interface Outcome {
    readonly arrivedAt: number;
    readonly endedAt: number;
    readonly latencyMs: number;
    /** How long the dispatcher took to tell each refusal, in milliseconds. */
    readonly refusedAfterMs: readonly number[];
    readonly result: "answered" | "failed" | "refused";
}

/** What a run gave. */
export interface RunResult {
    readonly outcomes: readonly Outcome[];
    readonly hedges: number;
    readonly retries: number;
    /** Control bytes that the busiest entry VM sent, per second. */
    readonly controlBytes: number;
    readonly busyMs: number;
}

/** Runs a scenario; the same scenario gives the same result. */
export const runScenario = (scenario: Scenario): RunResult =>
    scenario.chooser === "omniscient" ? betterQueue(scenario) : new Rig(scenario).run();

interface Caller {
    readonly traced: TracedCall;
    readonly arrivedAt: number;
    attempts: number;
    copies: number;
    comebacks: number;
    done: boolean;
    submittedAt: number;
    readonly refusedAfterMs: number[];
    readonly open: Map<Slot, () => void>;
}

interface EntryFake {
    readonly dispatcher: ServiceDispatcher;
    readonly retries: RetryBudget;
    readonly domain: string;
    readonly callers: Set<Caller>;
    alive: boolean;
    nextTick: number;
}

class Rig {
    readonly #scenario: Scenario;
    readonly #time = new VirtualTime();
    readonly #random: Random;
    readonly #service: Service;
    readonly #servers: ReadonlyMap<string, FakeServer>;
    readonly #entries: readonly EntryFake[];
    /** Dispatchers by their index in the share. */
    #members: readonly EntryFake[];
    readonly #outcomes: Outcome[] = [];
    #calls = 0;
    readonly #controlBytes: number[] = [];
    #hedges = 0;
    #retries = 0;

    constructor(scenario: Scenario) {
        this.#scenario = scenario;
        this.#random = new SeededRandom(scenario.seed + 7_919);
        this.#service = { ...scenario.service, chooser: scenario.chooser as ChooserName };
        const servers = makeServers(scenario, this.#time);
        this.#servers = new Map(servers.map(it => [it.server.address, it]));
        this.#entries = Array.from({ length: scenario.dispatchers }, (_, index) => this.#makeEntry(index));
        this.#members = this.#entries;
    }

    run(): RunResult {
        arrivals(this.#scenario, this.#time, traced => this.#arrive(traced));
        if (this.#scenario.faults) {
            this.#time.at(this.#scenario.durationMs / 2, () => this.#lose(0));
        }
        this.#entries.forEach(entry => this.#tick(entry));
        this.#time.run(this.#scenario.durationMs + drainMs);
        const busyMs = [...this.#servers.values()].reduce((sum, it) => sum + it.busyMs, 0);
        const controlBytes = (1_000 * Math.max(0, ...this.#controlBytes)) / this.#scenario.durationMs;
        const { hedges, retries } = { hedges: this.#hedges, retries: this.#retries };
        return { outcomes: this.#outcomes, hedges, retries, controlBytes, busyMs };
    }

    #makeEntry(index: number): EntryFake {
        const share = { index, count: this.#scenario.dispatchers };
        const random = new SeededRandom(this.#scenario.seed * 101 + index);
        return {
            dispatcher: new ServiceDispatcher(this.#service, share, random, 0, {
                send: (to, message) => this.#carry(index, to, message),
            }),
            retries: new RetryBudget(this.#service.retryBudget),
            domain: domainOf(index),
            callers: new Set(),
            alive: true,
            nextTick: Infinity,
        };
    }

    #carry(from: number, to: number, message: PeerMessage): void {
        this.#controlBytes[from] = (this.#controlBytes[from] ?? 0) + JSON.stringify(message).length;
        const peer = this.#members[to];
        if (peer?.alive) {
            this.#after(farMs, peer, () => {
                peer.dispatcher.receive(message, this.#time.now);
                this.#tick(peer);
            });
        }
    }

    #arrive(traced: TracedCall): void {
        const arrivedAt = this.#time.now;
        const open = new Map<Slot, () => void>();
        this.#enter({
            traced,
            arrivedAt,
            attempts: 0,
            copies: 0,
            comebacks: 0,
            done: false,
            submittedAt: 0,
            refusedAfterMs: [],
            open,
        });
    }

    #enter(caller: Caller): void {
        const alive = this.#entries.filter(it => it.alive);
        const first = this.#entries[0]!.alive && this.#random.next() < this.#scenario.firstShare;
        const rest = alive.filter(it => it !== this.#entries[0]);
        const entry = first || rest.length === 0 ? alive[0]! : rest[this.#pick(rest.length)]!;
        entry.callers.add(caller);
        entry.retries.called();
        this.#attempt(caller, entry, []);
    }

    #attempt(caller: Caller, entry: EntryFake, tried: readonly string[]): void {
        const now = this.#time.now;
        const requestClass = this.#service.classes[0]!;
        const call: Call = {
            id: ++this.#calls,
            class: requestClass,
            tenant: caller.traced.tenant,
            deadlineAt: caller.arrivedAt + requestClass.deadlineMs,
            attempt: ++caller.attempts,
            retryBudget: 3 - caller.attempts,
            tried,
        };
        caller.submittedAt = now;
        entry.dispatcher.submit(call, now).subscribe({
            next: slot => this.#send(caller, entry, slot),
            error: (err: unknown) => this.#refused(caller, entry, err),
        });
        this.#tick(entry);
    }

    #send(caller: Caller, entry: EntryFake, slot: Slot): void {
        const server = this.#servers.get(slot.server.address)!;
        const way = wayMs(entry.domain, slot.server.domain);
        this.#hedges += slot.hedge ? 1 : 0;
        const { serviceMs, copyMs } = caller.traced;
        const job: Job = {
            workMs: caller.copies++ % 2 === 0 ? serviceMs : copyMs,
            answer: status => {
                const report = server.report;
                this.#after(way, entry, () => this.#answered(caller, entry, slot, status));
                const lag = this.#scenario.faults ? staleMs : 0;
                this.#after(way + lag, entry, () =>
                    entry.dispatcher.report(slot.server.address, report, way, this.#time.now),
                );
            },
            state: "queued",
        };
        const cancel = (): void => this.#time.at(this.#time.now + way, () => server.cancel(job));
        caller.open.set(slot, cancel);
        this.#time.at(this.#time.now + way, () => server.submit(job));
        this.#after(slot.call.deadlineAt - this.#time.now, entry, () => this.#timedOut(caller, entry, slot));
    }

    #answered(caller: Caller, entry: EntryFake, slot: Slot, status: number): void {
        if (!this.#settle(caller, entry, slot, { kind: "answered", status })) {
            return;
        }
        if (status === 200) {
            this.#finish(caller, entry, "answered");
        } else if (caller.open.size === 0) {
            this.#failed(caller, entry, slot, { kind: "answered", status });
        }
    }

    #timedOut(caller: Caller, entry: EntryFake, slot: Slot): void {
        const cancel = caller.open.get(slot);
        if (cancel && this.#settle(caller, entry, slot, { kind: "timeout" })) {
            cancel();
            this.#finish(caller, entry, "failed");
        }
    }

    #failed(caller: Caller, entry: EntryFake, slot: Slot, result: SlotResult): void {
        if (!entry.retries.mayRetry(slot.call, result, this.#time.now)) {
            this.#finish(caller, entry, "failed");
            return;
        }
        this.#retries++;
        this.#attempt(caller, entry, [...slot.call.tried, slot.server.address]);
    }

    #refused(caller: Caller, entry: EntryFake, err: unknown): void {
        caller.refusedAfterMs.push(this.#time.now - caller.submittedAt);
        const afterMs = err instanceof CallError ? err.retryAfterMs : undefined;
        if (afterMs === undefined || caller.comebacks >= this.#scenario.callerRetries) {
            this.#finish(caller, entry, "refused");
            return;
        }
        caller.comebacks++;
        entry.callers.delete(caller);
        this.#time.at(this.#time.now + afterMs * (1 + this.#random.next()), () => this.#enter(caller));
    }

    #settle(caller: Caller, entry: EntryFake, slot: Slot, result: SlotResult): boolean {
        if (!caller.open.delete(slot)) {
            return false;
        }
        if (result.kind === "answered") {
            entry.dispatcher.answering(slot, this.#time.now);
        }
        entry.dispatcher.settle(slot, result, this.#time.now);
        this.#tick(entry);
        return true;
    }

    #finish(caller: Caller, entry: EntryFake, result: Outcome["result"]): void {
        if (caller.done) {
            return;
        }
        caller.done = true;
        entry.callers.delete(caller);
        for (const [slot, cancel] of [...caller.open]) {
            cancel();
            this.#settle(caller, entry, slot, { kind: "cancelled" });
        }
        this.#outcomes.push(
            outcomeOf(this.#scenario, caller.arrivedAt, this.#time.now, result, caller.refusedAfterMs),
        );
    }

    /** An entry VM dies; servers and callers see their connections reset, and callers go to another. */
    #lose(index: number): void {
        const lost = this.#entries[index]!;
        if (this.#entries.length < 2) {
            return;
        }
        lost.alive = false;
        for (const caller of lost.callers) {
            caller.open.forEach(cancel => cancel());
            caller.open.clear();
            this.#time.at(this.#time.now + resetMs, () => this.#enter(caller));
        }
        this.#time.at(this.#time.now + membershipLagMs, () => this.#shareAnew());
    }

    #shareAnew(): void {
        const alive = this.#entries.filter(it => it.alive);
        this.#members = alive;
        alive.forEach((entry, index) => {
            entry.dispatcher.follow(this.#service, { index, count: alive.length }, this.#time.now);
        });
    }

    #tick(entry: EntryFake): void {
        const next = entry.dispatcher.tick(this.#time.now);
        if (next < entry.nextTick && this.#time.now < this.#scenario.durationMs + drainMs) {
            entry.nextTick = next;
            this.#after(next - this.#time.now, entry, () => {
                if (entry.nextTick <= this.#time.now) {
                    entry.nextTick = Infinity;
                    this.#tick(entry);
                }
            });
        }
    }

    #after(delayMs: number, entry: EntryFake, run: () => void): void {
        this.#time.at(this.#time.now + delayMs, () => (entry.alive ? run() : undefined));
    }

    #pick(count: number): number {
        return Math.floor(this.#random.next() * count);
    }
}

/** First come first served over all slots; knows which servers are impaired; doesn't hedge. */
const omniscientQueue = (scenario: Scenario, patient: boolean): RunResult => {
    const time = new VirtualTime();
    const servers = makeServers(scenario, time);
    const queue: { readonly traced: TracedCall; readonly arrivedAt: number }[] = [];
    const outcomes: Outcome[] = [];
    const serveNext = (): void => {
        const free = servers.filter(it => it.free > 0 && !it.isFailing);
        const server = free.find(it => !it.impaired) ?? (patient ? undefined : free[0]);
        const next = server ? queue.shift() : undefined;
        if (!next || !server) {
            return;
        }
        const answer = (): void => {
            const latencyEnd = time.now + meanRoundTripMs;
            outcomes.push(outcomeOf(scenario, next.arrivedAt, latencyEnd, "answered"));
            serveNext();
        };
        server.submit({ workMs: next.traced.serviceMs, answer, state: "queued" });
        serveNext();
    };
    arrivals(scenario, time, traced => {
        queue.push({ traced, arrivedAt: time.now });
        serveNext();
    });
    time.run(scenario.durationMs + drainMs);
    const busyMs = servers.reduce((sum, it) => sum + it.busyMs, 0);
    return { outcomes, hedges: 0, retries: 0, controlBytes: 0, busyMs };
};

/** The all-knowing queue uses slow servers' free slots or leaves them, whichever gives the lower p99. */
const betterQueue = (scenario: Scenario): RunResult => {
    const [patient, eager] = [omniscientQueue(scenario, true), omniscientQueue(scenario, false)];
    return quantile(patient.outcomes, 0.99) <= quantile(eager.outcomes, 0.99) ? patient : eager;
};

/** Latency quantile in milliseconds. */
export const quantile = (outcomes: readonly Pick<Outcome, "latencyMs">[], q: number): number => {
    const sorted = Float64Array.from(outcomes, it => it.latencyMs).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? Number.NaN;
};

const arrivals = (scenario: Scenario, time: VirtualTime, arrive: (traced: TracedCall) => void): void => {
    const calls = replay(scenario.trace, new SeededRandom(scenario.seed));
    const slots = scenario.service.servers.reduce((sum, it) => sum + it.slots, 0);
    const next = (): void => {
        const traced = calls.next().value;
        const at = time.now + (traced.gap * meanServiceMs) / (slots * scenario.loadAt(time.now));
        if (at < scenario.durationMs) {
            time.at(at, () => {
                arrive(traced);
                next();
            });
        }
    };
    next();
};

const makeServers = (scenario: Scenario, time: VirtualTime): readonly FakeServer[] => {
    const random = new SeededRandom(scenario.seed + 104_729);
    const { durationMs, faults } = scenario;
    const cold = { from: 0.2 * durationMs, to: 0.2 * durationMs + coldMs, factor: 3 };
    const failing = { from: 0.7 * durationMs, to: 0.7 * durationMs + failingMs, factor: 1 };
    return scenario.service.servers.map((server, index) => {
        const noisy = faults ? noisyNeighbours(random, durationMs + drainMs) : [];
        const slowdowns = faults && index === 1 ? withCold(noisy, cold) : noisy;
        return new FakeServer(server, time, slowdowns, faults && index === 2 ? failing : undefined);
    });
};

const withCold = (noisy: readonly Slowdown[], cold: Slowdown): readonly Slowdown[] =>
    [...noisy.filter(it => it.to < cold.from || it.from > cold.to), cold].sort((a, b) => a.from - b.from);

const outcomeOf = (
    { service }: Scenario,
    arrivedAt: number,
    endedAt: number,
    result: Outcome["result"],
    refusedAfterMs: readonly number[] = [],
): Outcome => {
    const deadlineMs = service.classes[0]!.deadlineMs;
    const latencyMs = result === "answered" ? endedAt - arrivedAt : deadlineMs;
    return { arrivedAt, endedAt, latencyMs, refusedAfterMs, result };
};

const domainOf = (index: number): string => "abc".charAt(index % 3);

const wayMs = (from: string, to: string): number => (from === to ? nearMs : farMs);

const nearMs = 0.25;
const farMs = 1;
const meanRoundTripMs = (2 * (nearMs + 2 * farMs)) / 3;
const staleMs = 500;
const coldMs = 2_000;
const failingMs = 2_000;
const resetMs = 16;
const membershipLagMs = 2_000;
const drainMs = 2_000;
