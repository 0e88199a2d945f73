/** Replays a trace through the shipped dispatchers under virtual time. */

import { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import { type Random, SeededRandom } from "@bramleymoor/dispatch/random";
import { RetryBudget } from "@bramleymoor/dispatch/retry";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import type { Call, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { ChooserName, Service } from "@bramleymoor/model/spec";
import { CallError } from "@bramleymoor/protocol/errors";
import { runOmniscientBound } from "./simulationbound.js";
import {
    scheduleArrivals,
    drainMs,
    crossDomainDelayMs,
    createServers,
    sameDomainDelayMs,
    type Outcome,
    outcomeOf,
    type SimulationResult,
    type Scenario,
} from "./simulationscenario.js";
import { type SimulatedServer, type Job, VirtualTimeScheduler } from "./simulationserver.js";
import type { TracedCall } from "./trace.js";

/** Runs a scenario; the same scenario gives the same result. */
export const runScenario = (scenario: Scenario): SimulationResult =>
    scenario.chooser === "omniscient" ? runOmniscientBound(scenario) : new Rig(scenario).run();

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
    readonly #time = new VirtualTimeScheduler();
    readonly #random: Random;
    readonly #service: Service;
    readonly #servers: ReadonlyMap<string, SimulatedServer>;
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
        const servers = createServers(scenario, this.#time);
        this.#servers = new Map(servers.map(it => [it.server.address, it]));
        this.#entries = Array.from({ length: scenario.dispatchers }, (_, index) => this.#makeEntry(index));
        this.#members = this.#entries;
    }

    run(): SimulationResult {
        scheduleArrivals(this.#scenario, this.#time, traced => this.#arrive(traced));
        if (this.#scenario.faults) {
            this.#time.schedule(this.#scenario.durationMs / 2, () => this.#lose(0));
        }
        this.#entries.forEach(entry => this.#tick(entry));
        this.#time.runUntil(this.#scenario.durationMs + drainMs);
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
            this.#after(crossDomainDelayMs, peer, () => {
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
        const first = this.#entries[0]!.alive && this.#random.next() < this.#scenario.firstDispatcherShare;
        const rest = alive.filter(it => it !== this.#entries[0]);
        const entry = first || rest.length === 0 ? alive[0]! : rest[this.#pick(rest.length)]!;
        entry.callers.add(caller);
        entry.retries.recordCall();
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
            respond: status => {
                const report = server.loadReport;
                this.#after(way, entry, () => this.#answered(caller, entry, slot, status));
                const lag = this.#scenario.faults ? staleMs : 0;
                this.#after(way + lag, entry, () =>
                    entry.dispatcher.recordLoad(slot.server.address, report, way, this.#time.now),
                );
            },
            state: "queued",
        };
        const cancel = (): void => this.#time.schedule(this.#time.now + way, () => server.cancel(job));
        caller.open.set(slot, cancel);
        this.#time.schedule(this.#time.now + way, () => server.submit(job));
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
        if (!entry.retries.tryTake(slot.call, result, this.#time.now)) {
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
        this.#time.schedule(this.#time.now + afterMs * (1 + this.#random.next()), () => this.#enter(caller));
    }

    #settle(caller: Caller, entry: EntryFake, slot: Slot, result: SlotResult): boolean {
        if (!caller.open.delete(slot)) {
            return false;
        }
        if (result.kind === "answered") {
            entry.dispatcher.recordFirstByte(slot, this.#time.now);
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
            this.#time.schedule(this.#time.now + resetMs, () => this.#enter(caller));
        }
        this.#time.schedule(this.#time.now + membershipLagMs, () => this.#shareAnew());
    }

    #shareAnew(): void {
        const alive = this.#entries.filter(it => it.alive);
        this.#members = alive;
        alive.forEach((entry, index) => {
            entry.dispatcher.update(this.#service, { index, count: alive.length }, this.#time.now);
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
        this.#time.schedule(this.#time.now + delayMs, () => (entry.alive ? run() : undefined));
    }

    #pick(count: number): number {
        return Math.floor(this.#random.next() * count);
    }
}

const domainOf = (index: number): string => "abc".charAt(index % 3);

const wayMs = (from: string, to: string): number => (from === to ? sameDomainDelayMs : crossDomainDelayMs);

const staleMs = 500;
const resetMs = 16;
const membershipLagMs = 2_000;
