/** The periodic tasks of an entry process, each a loop of its own. */

import type { Membership } from "@bramleymoor/membership/membership";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import type { OnceTable } from "@bramleymoor/once/table";
import type { ListedVm, VmList } from "@bramleymoor/platform/vmlist";
import { WeightController } from "@bramleymoor/placement/weight";
import { fromEvent, interval, lastValueFrom, takeUntil, tap } from "rxjs";
import type { PeerClient } from "./peerclient.js";
import type { ProbeSender } from "./probesender.js";
import type { ServiceTable } from "./services.js";

const leastTickMs = 1;
const mostTickMs = 5;
/** While no request is in flight; the first one's hedge may come so much later. */
const idleTickMs = 20;
const probePeriodMs = 100;
const listPeriodMs = 1_000;
const ratePeriodMs = 5_000;
const sweepPeriodMs = 1_000;

/** What the tasks work on. */
export interface PeriodicTasksOptions {
    readonly membership: Membership;
    readonly services: ServiceTable;
    readonly once: OnceTable;
    readonly client: PeerClient;
    readonly probes: ProbeSender;
    readonly vmList: VmList;
    readonly events: EventLog;
    readonly self: EntryVm;
    readonly clock: () => number;
    readonly delay: (ms: number, signal: AbortSignal) => Promise<void>;
}

/** Runs the tasks. */
export class PeriodicTasks {
    readonly #parts: PeriodicTasksOptions;
    readonly #weight: WeightController;
    #listDownAt: number | undefined;

    constructor(parts: PeriodicTasksOptions) {
        this.#parts = parts;
        this.#weight = new WeightController(parts.self.id);
    }

    /** Runs every task until the signal aborts; rejects if one of them fails. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            this.#dispatch(signal),
            this.#every(probePeriodMs, signal, () => this.#probe()),
            this.#every(ratePeriodMs, signal, now => this.#rate(now)),
            this.#every(sweepPeriodMs, signal, now => this.#parts.once.sweep(now)),
            this.#followList(signal),
            this.#gossip(signal),
        ]);
    }

    async #every(ms: number, signal: AbortSignal, act: (now: number) => void): Promise<void> {
        const times = interval(ms).pipe(takeUntil(fromEvent(signal, "abort")));
        await lastValueFrom(times.pipe(tap(() => act(this.#parts.clock()))), { defaultValue: 0 });
    }

    async #followList(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#readList(this.#parts.clock());
            await this.#parts.delay(listPeriodMs, signal);
        }
    }

    async #gossip(signal: AbortSignal): Promise<void> {
        const { membership, clock, delay } = this.#parts;
        while (!signal.aborted) {
            const next = membership.tick(clock());
            await delay(Math.max(1, next - clock()), signal);
        }
    }

    async #dispatch(signal: AbortSignal): Promise<void> {
        const { services, clock, delay } = this.#parts;
        while (!signal.aborted) {
            const now = clock();
            const due = services.hosted.map(hosted => hosted.dispatcher.tickIfDue(now));
            const mostMs = services.hosted.some(hosted => hosted.dispatcher.hasRequestsInFlight)
                ? mostTickMs
                : idleTickMs;
            const waitMs = Math.min(...due) - now;
            await delay(Math.min(mostMs, Math.max(leastTickMs, waitMs)), signal);
        }
    }

    // Not awaited: a slow answer must not keep the probers from noticing that the process runs.
    #probe(): void {
        for (const hosted of this.#parts.services.hosted) {
            void this.#parts.probes.probeNext(hosted);
        }
    }

    async #readList(now: number): Promise<void> {
        const { vmList, membership, services, clock } = this.#parts;
        try {
            const listed = await vmList.list();
            this.#listUp(now);
            membership.updateVmList(listed.filter(isEntry), clock());
            services.setLeaving(
                new Set(listed.filter(isLeavingBackend).map(vm => vm.callerAddress)),
                clock(),
            );
        } catch (err) {
            this.#listDown(now, err);
        }
    }

    #listUp(now: number): void {
        if (this.#listDownAt !== undefined) {
            this.#parts.events.emit("vm-list-up", { downMs: Math.round(now - this.#listDownAt) });
            this.#listDownAt = undefined;
        }
    }

    #listDown(now: number, err: unknown): void {
        if (this.#listDownAt === undefined) {
            this.#listDownAt = now;
            this.#parts.events.emit("vm-list-down", { reason: String(err) });
        }
    }

    #rate(now: number): void {
        const { services, membership } = this.#parts;
        services.updateRates(now);
        membership.setLoad(services.callsPerSecond);
        const loads = membership.current.map(vm => vm.load);
        const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
        membership.setPayload("weight", this.#weight.update(services.callsPerSecond, mean, now));
        for (const [peer, rates] of this.#ratesByPeer()) {
            this.#tell(peer, rates);
        }
    }

    // One message for each other dispatcher, whatever number of services both dispatch. A service without calls
    // is left out: the rate told last expires at the peer.
    #ratesByPeer(): ReadonlyMap<EntryVm, readonly ServiceRate[]> {
        const { services, self } = this.#parts;
        const byId = new Map<string, EntryVm>();
        const rates = new Map<EntryVm, readonly ServiceRate[]>();
        for (const { service, callsPerSecond: rate } of services.hosted.filter(
            hosted => hosted.callsPerSecond > 0,
        )) {
            for (const placed of services.dispatchersOf(service.name)) {
                const vm = byId.get(placed.id) ?? placed;
                byId.set(placed.id, vm);
                if (vm.id !== self.id) {
                    rates.set(vm, [...(rates.get(vm) ?? []), { service: service.name, perSecond: rate }]);
                }
            }
        }
        return rates;
    }

    #tell(peer: EntryVm, rates: readonly ServiceRate[]): void {
        const { client, self } = this.#parts;
        // A lost message costs nothing: the next period sends a newer one.
        client.hint(peer.peerAddress, { v: 1, from: self.id, rates }).catch(() => undefined);
    }
}

interface ServiceRate {
    readonly service: string;
    readonly perSecond: number;
}

const isEntry = (vm: ListedVm): boolean => vm.role === "entry";

const isLeavingBackend = (vm: ListedVm): boolean => vm.role === "backend" && vm.leaving;
