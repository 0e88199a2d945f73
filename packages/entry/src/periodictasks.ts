/** The periodic tasks of an entry process, each in its own loop. */

import type { Membership } from "@bramleymoor/membership/membership";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import type { OnceTable } from "@bramleymoor/once/table";
import type { ListedVm, VmList } from "@bramleymoor/platform/vmlist";
import type { EventLoopLag } from "@bramleymoor/proxy/eventlooplag";
import { WeightController } from "@bramleymoor/placement/weight";
import { fromEvent, interval, lastValueFrom, takeUntil, tap } from "rxjs";
import type { PeerClient } from "./peerclient.js";
import type { ProbeSender } from "./probesender.js";
import type { ServiceTable } from "./services.js";

const minTickDelayMs = 1;
/** Maximum delay between ticks while requests are in flight. */
const maxTickDelayMs = 5;
/** Maximum delay while no request is in flight; the hedge of the first request may be this late. */
const idleTickDelayMs = 20;
const probePeriodMs = 100;
const vmListPeriodMs = 1_000;
const ratePeriodMs = 5_000;
const sweepPeriodMs = 1_000;

/** Dependencies of the tasks. */
export interface PeriodicTasksOptions {
    readonly membership: Membership;
    readonly services: ServiceTable;
    readonly onceTable: OnceTable;
    readonly client: PeerClient;
    readonly probeSender: ProbeSender;
    readonly vmList: VmList;
    readonly events: EventLog;
    /** Told of each run of the task that ticks the dispatchers. */
    readonly lag: EventLoopLag;
    readonly self: EntryVm;
    /** Monotonic milliseconds. */
    readonly clock: () => number;
    readonly delay: (ms: number, signal: AbortSignal) => Promise<void>;
}

/** Runs the periodic tasks. */
export class PeriodicTasks {
    readonly #options: PeriodicTasksOptions;
    readonly #weightController: WeightController;
    #vmListDownAt: number | undefined;

    constructor(options: PeriodicTasksOptions) {
        this.#options = options;
        this.#weightController = new WeightController(options.self.id);
    }

    /** Runs every task until the signal aborts; rejects if one of them fails. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            this.#tickDispatchers(signal),
            this.#runEvery(probePeriodMs, signal, () => this.#sendProbes()),
            this.#runEvery(ratePeriodMs, signal, now => this.#updateRates(now)),
            this.#runEvery(sweepPeriodMs, signal, now => this.#options.onceTable.sweep(now)),
            this.#pollVmList(signal),
            this.#runMembership(signal),
        ]);
    }

    async #runEvery(periodMs: number, signal: AbortSignal, task: (now: number) => void): Promise<void> {
        const times = interval(periodMs).pipe(takeUntil(fromEvent(signal, "abort")));
        await lastValueFrom(times.pipe(tap(() => task(this.#options.clock()))), { defaultValue: 0 });
    }

    async #pollVmList(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#readVmList(this.#options.clock());
            await this.#options.delay(vmListPeriodMs, signal);
        }
    }

    async #runMembership(signal: AbortSignal): Promise<void> {
        const { membership, clock, delay } = this.#options;
        while (!signal.aborted) {
            const next = membership.tick(clock());
            await delay(Math.max(1, next - clock()), signal);
        }
    }

    async #tickDispatchers(signal: AbortSignal): Promise<void> {
        const { services, lag, clock, delay } = this.#options;
        while (!signal.aborted) {
            const now = clock();
            const dueTimes = services.hosted.map(hosted => hosted.dispatcher.tickIfDue(now));
            const maxDelayMs = services.hosted.some(hosted => hosted.dispatcher.hasRequestsInFlight)
                ? maxTickDelayMs
                : idleTickDelayMs;
            const waitMs = Math.min(maxDelayMs, Math.max(minTickDelayMs, Math.min(...dueTimes) - now));
            lag.recordRun(now, now + waitMs);
            await delay(waitMs, signal);
        }
    }

    // Not awaited: the probers take a long time between two calls for a pause of the process, so a slow response must
    // not delay the next call.
    #sendProbes(): void {
        for (const hosted of this.#options.services.hosted) {
            void this.#options.probeSender.probeNext(hosted);
        }
    }

    async #readVmList(now: number): Promise<void> {
        const { vmList, membership, services, clock } = this.#options;
        try {
            const listed = await vmList.list();
            this.#reportVmListUp(now);
            membership.updateVmList(listed.filter(isEntryVm), clock());
            services.setLeaving(
                new Set(listed.filter(isLeavingBackend).map(vm => vm.callerAddress)),
                clock(),
            );
        } catch (err) {
            this.#reportVmListDown(now, err);
        }
    }

    #reportVmListUp(now: number): void {
        if (this.#vmListDownAt !== undefined) {
            this.#options.events.emit("vm-list-up", { downMs: Math.round(now - this.#vmListDownAt) });
            this.#vmListDownAt = undefined;
        }
    }

    #reportVmListDown(now: number, err: unknown): void {
        if (this.#vmListDownAt === undefined) {
            this.#vmListDownAt = now;
            this.#options.events.emit("vm-list-down", { reason: String(err) });
        }
    }

    #updateRates(now: number): void {
        const { services, membership } = this.#options;
        services.updateRates(now);
        membership.setLoad(services.callsPerSecond);
        const loads = membership.current.map(vm => vm.load);
        const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
        membership.setPayload("weight", this.#weightController.update(services.callsPerSecond, mean, now));
        for (const [peer, rates] of this.#ratesByPeer()) {
            this.#sendRates(peer, rates);
        }
    }

    // Groups the rates so that each other dispatcher gets one message, however many services both dispatch. A service
    // without calls is omitted, as the last rate sent expires at the peer.
    #ratesByPeer(): ReadonlyMap<EntryVm, readonly ServiceRate[]> {
        const { services, self } = this.#options;
        const dispatchersById = new Map<string, EntryVm>();
        const rates = new Map<EntryVm, readonly ServiceRate[]>();
        for (const { service, callsPerSecond } of services.hosted.filter(
            hosted => hosted.callsPerSecond > 0,
        )) {
            for (const dispatcher of services.dispatchersOf(service.name)) {
                const vm = dispatchersById.get(dispatcher.id) ?? dispatcher;
                dispatchersById.set(dispatcher.id, vm);
                if (vm.id !== self.id) {
                    rates.set(vm, [
                        ...(rates.get(vm) ?? []),
                        { service: service.name, perSecond: callsPerSecond },
                    ]);
                }
            }
        }
        return rates;
    }

    #sendRates(peer: EntryVm, rates: readonly ServiceRate[]): void {
        const { client, self } = this.#options;
        // Errors are ignored, as the next period sends newer rates.
        client.hint(peer.peerAddress, { v: 1, from: self.id, rates }).catch(() => undefined);
    }
}

interface ServiceRate {
    readonly service: string;
    readonly perSecond: number;
}

const isEntryVm = (vm: ListedVm): boolean => vm.role === "entry";

const isLeavingBackend = (vm: ListedVm): boolean => vm.role === "backend" && vm.leaving;
