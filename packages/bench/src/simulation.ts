/** Discrete-event simulation that replays a trace through the shipped dispatchers under virtual time. */

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

/** Runs a scenario. Deterministic: the same scenario gives the same result. */
export const runScenario = (scenario: Scenario): SimulationResult =>
    scenario.chooser === "omniscient" ? runOmniscientBound(scenario) : new Simulation(scenario).run();

/** One call with all its attempts. */
interface Caller {
    readonly traced: TracedCall;
    readonly arrivedAt: number;
    attempts: number;
    /** Requests sent so far, hedges and retries included. */
    copies: number;
    refusalRetries: number;
    finished: boolean;
    submittedAt: number;
    /** Time from submission to each refusal. */
    readonly refusalTimesMs: number[];
    /** Slots in use, each with the function that cancels its request. */
    readonly openSlots: Map<Slot, () => void>;
}

interface SimulatedEntryVm {
    readonly dispatcher: ServiceDispatcher;
    readonly retries: RetryBudget;
    readonly domain: string;
    readonly callers: Set<Caller>;
    alive: boolean;
    nextTick: number;
}

class Simulation {
    readonly #scenario: Scenario;
    readonly #time = new VirtualTimeScheduler();
    readonly #random: Random;
    readonly #service: Service;
    readonly #servers: ReadonlyMap<string, SimulatedServer>;
    /** The failure domains of the servers, over which the entry VMs are spread. */
    readonly #domains: readonly string[];
    readonly #entries: readonly SimulatedEntryVm[];
    /** Entry VMs that share the service, by their index in the share. */
    #dispatchers: readonly SimulatedEntryVm[];
    readonly #outcomes: Outcome[] = [];
    #lastCallId = 0;
    readonly #controlBytes: number[] = [];
    #hedges = 0;
    #retries = 0;

    constructor(scenario: Scenario) {
        this.#scenario = scenario;
        this.#random = new SeededRandom(scenario.seed + 7_919);
        this.#service = { ...scenario.service, chooser: scenario.chooser as ChooserName };
        const servers = createServers(scenario, this.#time);
        this.#servers = new Map(servers.map(it => [it.server.address, it]));
        this.#domains = [...new Set(this.#service.servers.map(it => it.domain))];
        this.#entries = Array.from({ length: scenario.dispatchers }, (_, index) =>
            this.#createEntryVm(index),
        );
        this.#dispatchers = this.#entries;
    }

    run(): SimulationResult {
        scheduleArrivals(this.#scenario, this.#time, traced => this.#arrive(traced));
        if (this.#scenario.faults) {
            this.#time.schedule(this.#scenario.durationMs / 2, () => this.#killEntryVm(0));
        }
        this.#entries.forEach(entry => this.#tick(entry));
        this.#time.runUntil(this.#scenario.durationMs + drainMs);
        const busyMs = [...this.#servers.values()].reduce((sum, it) => sum + it.busyMs, 0);
        const controlBytes = (1_000 * Math.max(0, ...this.#controlBytes)) / this.#scenario.durationMs;
        const { hedges, retries } = { hedges: this.#hedges, retries: this.#retries };
        return { outcomes: this.#outcomes, hedges, retries, controlBytes, busyMs };
    }

    #createEntryVm(index: number): SimulatedEntryVm {
        const share = { index, count: this.#scenario.dispatchers };
        const random = new SeededRandom(this.#scenario.seed * 101 + index);
        return {
            dispatcher: new ServiceDispatcher(this.#service, share, random, 0, {
                send: (to, message) => this.#deliver(index, to, message),
            }),
            retries: new RetryBudget(this.#service.retryBudget),
            domain: this.#domains[index % this.#domains.length] ?? "",
            callers: new Set(),
            alive: true,
            nextTick: Infinity,
        };
    }

    #deliver(from: number, to: number, message: PeerMessage): void {
        this.#controlBytes[from] = (this.#controlBytes[from] ?? 0) + JSON.stringify(message).length;
        const peer = this.#dispatchers[to];
        if (peer?.alive) {
            this.#scheduleOn(crossDomainDelayMs, peer, () => {
                peer.dispatcher.receive(message, this.#time.now);
                this.#tick(peer);
            });
        }
    }

    #arrive(traced: TracedCall): void {
        const arrivedAt = this.#time.now;
        const openSlots = new Map<Slot, () => void>();
        this.#assignEntryVm({
            traced,
            arrivedAt,
            attempts: 0,
            copies: 0,
            refusalRetries: 0,
            finished: false,
            submittedAt: 0,
            refusalTimesMs: [],
            openSlots,
        });
    }

    #assignEntryVm(caller: Caller): void {
        const alive = this.#entries.filter(it => it.alive);
        const useFirst = this.#entries[0]!.alive && this.#random.next() < this.#scenario.firstDispatcherShare;
        const rest = alive.filter(it => it !== this.#entries[0]);
        const entry = useFirst || rest.length === 0 ? alive[0]! : rest[this.#randomIndex(rest.length)]!;
        entry.callers.add(caller);
        entry.retries.recordCall();
        this.#submit(caller, entry, []);
    }

    #submit(caller: Caller, entry: SimulatedEntryVm, tried: readonly string[]): void {
        const now = this.#time.now;
        const requestClass = this.#service.classes[0]!;
        const call: Call = {
            id: ++this.#lastCallId,
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
            error: (err: unknown) => this.#handleRefusal(caller, entry, err),
        });
        this.#tick(entry);
    }

    #send(caller: Caller, entry: SimulatedEntryVm, slot: Slot): void {
        const server = this.#servers.get(slot.server.address)!;
        const linkDelayMs = oneWayMs(entry.domain, slot.server.domain);
        this.#hedges += slot.hedge ? 1 : 0;
        const { serviceMs, copyMs } = caller.traced;
        const job: Job = {
            workMs: caller.copies++ % 2 === 0 ? serviceMs : copyMs,
            respond: status => {
                const report = server.loadReport;
                this.#scheduleOn(linkDelayMs, entry, () => this.#handleResponse(caller, entry, slot, status));
                const reportDelayMs = this.#scenario.faults ? staleReportDelayMs : 0;
                this.#scheduleOn(linkDelayMs + reportDelayMs, entry, () =>
                    entry.dispatcher.recordLoad(slot.server.address, report, linkDelayMs, this.#time.now),
                );
            },
            state: "queued",
        };
        const cancel = (): void =>
            this.#time.schedule(this.#time.now + linkDelayMs, () => server.cancel(job));
        caller.openSlots.set(slot, cancel);
        this.#time.schedule(this.#time.now + linkDelayMs, () => server.submit(job));
        this.#scheduleOn(slot.call.deadlineAt - this.#time.now, entry, () =>
            this.#handleTimeout(caller, entry, slot),
        );
    }

    #handleResponse(caller: Caller, entry: SimulatedEntryVm, slot: Slot, status: number): void {
        if (!this.#settle(caller, entry, slot, { kind: "answered", status })) {
            return;
        }
        if (status === 200) {
            this.#finish(caller, entry, "answered");
        } else if (caller.openSlots.size === 0) {
            this.#handleFailure(caller, entry, slot, { kind: "answered", status });
        }
    }

    #handleTimeout(caller: Caller, entry: SimulatedEntryVm, slot: Slot): void {
        const cancel = caller.openSlots.get(slot);
        if (cancel && this.#settle(caller, entry, slot, { kind: "timeout" })) {
            cancel();
            this.#finish(caller, entry, "failed");
        }
    }

    #handleFailure(caller: Caller, entry: SimulatedEntryVm, slot: Slot, result: SlotResult): void {
        if (!entry.retries.tryTake(slot.call, result, this.#time.now)) {
            this.#finish(caller, entry, "failed");
            return;
        }
        this.#retries++;
        this.#submit(caller, entry, [...slot.call.tried, slot.server.address]);
    }

    #handleRefusal(caller: Caller, entry: SimulatedEntryVm, err: unknown): void {
        caller.refusalTimesMs.push(this.#time.now - caller.submittedAt);
        const waitMs = err instanceof CallError ? err.retryAfterMs : undefined;
        if (waitMs === undefined || caller.refusalRetries >= this.#scenario.callerRetries) {
            this.#finish(caller, entry, "refused");
            return;
        }
        caller.refusalRetries++;
        entry.callers.delete(caller);
        this.#time.schedule(this.#time.now + waitMs * (1 + this.#random.next()), () =>
            this.#assignEntryVm(caller),
        );
    }

    #settle(caller: Caller, entry: SimulatedEntryVm, slot: Slot, result: SlotResult): boolean {
        if (!caller.openSlots.delete(slot)) {
            return false;
        }
        if (result.kind === "answered") {
            entry.dispatcher.recordFirstByte(slot, this.#time.now);
        }
        entry.dispatcher.settle(slot, result, this.#time.now);
        this.#tick(entry);
        return true;
    }

    #finish(caller: Caller, entry: SimulatedEntryVm, result: Outcome["result"]): void {
        if (caller.finished) {
            return;
        }
        caller.finished = true;
        entry.callers.delete(caller);
        for (const [slot, cancel] of [...caller.openSlots]) {
            cancel();
            this.#settle(caller, entry, slot, { kind: "cancelled" });
        }
        this.#outcomes.push(
            outcomeOf(this.#scenario, caller.arrivedAt, this.#time.now, result, caller.refusalTimesMs),
        );
    }

    /** Kills an entry VM: its connections are reset, and its callers retry at another entry VM. */
    #killEntryVm(index: number): void {
        const killed = this.#entries[index]!;
        if (this.#entries.length < 2) {
            return;
        }
        killed.alive = false;
        for (const caller of killed.callers) {
            caller.openSlots.forEach(cancel => cancel());
            caller.openSlots.clear();
            this.#time.schedule(this.#time.now + resetDetectionMs, () => this.#assignEntryVm(caller));
        }
        this.#time.schedule(this.#time.now + membershipDelayMs, () => this.#reassignShares());
    }

    #reassignShares(): void {
        const alive = this.#entries.filter(it => it.alive);
        this.#dispatchers = alive;
        alive.forEach((entry, index) => {
            entry.dispatcher.update(this.#service, { index, count: alive.length }, this.#time.now);
        });
    }

    #tick(entry: SimulatedEntryVm): void {
        const next = entry.dispatcher.tick(this.#time.now);
        if (next < entry.nextTick && this.#time.now < this.#scenario.durationMs + drainMs) {
            entry.nextTick = next;
            this.#scheduleOn(next - this.#time.now, entry, () => {
                if (entry.nextTick <= this.#time.now) {
                    entry.nextTick = Infinity;
                    this.#tick(entry);
                }
            });
        }
    }

    #scheduleOn(delayMs: number, entry: SimulatedEntryVm, run: () => void): void {
        this.#time.schedule(this.#time.now + delayMs, () => (entry.alive ? run() : undefined));
    }

    #randomIndex(count: number): number {
        return Math.floor(this.#random.next() * count);
    }
}

const oneWayMs = (from: string, to: string): number => (from === to ? sameDomainDelayMs : crossDomainDelayMs);

/** Extra age of load reports in runs with faults. */
const staleReportDelayMs = 500;
/** Time until a caller notices its reset connection. */
const resetDetectionMs = 16;
/** Time until the remaining entry VMs take over a killed one's share. */
const membershipDelayMs = 2_000;
