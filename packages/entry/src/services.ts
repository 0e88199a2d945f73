/** The services of the accepted configuration: those dispatched here, and the entry VMs that dispatch the others. */

import type { AcceptedVersion } from "@bramleymoor/config/version";
import type { Random } from "@bramleymoor/dispatch/random";
import type { Share } from "@bramleymoor/dispatch/types";
import type { Service } from "@bramleymoor/model/spec";
import type { EntryVm } from "@bramleymoor/model/vm";
import { minDispatchers, selectEntryVms, shareOf } from "@bramleymoor/placement/placement";
import { planDispatchers, type DispatcherPlan } from "@bramleymoor/placement/dispatcherplan";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { CallError } from "@bramleymoor/protocol/errors";
import type { LocalRoute, ServiceRoute, ServiceDirectory } from "@bramleymoor/proxy/services";
import { DemandTracker } from "./demandtracker.js";
import type { SlotDatagram } from "./slotchannel.js";
import { HostedService, type HostedServiceOptions } from "./hostedservice.js";

/** A service that has moved to other entry VMs is dispatched here at least this much longer, in milliseconds. */
const keepAfterMoveMs = 60_000;

/** Dependencies of a `ServiceTable`. */
export interface ServiceTableOptions {
    /** Returns this entry VM; not called before the process listens. */
    readonly self: () => EntryVm;
    /** How long callers may cache the addresses of a service, in milliseconds. */
    readonly ttlMs: number;
    readonly hostedServiceOptions: HostedServiceOptions;
    readonly random: Random;
    /** Monotonic milliseconds. */
    readonly clock: () => number;
    /** Issues a ticket of this incarnation of the entry VM. */
    readonly issueTicket: (now: number) => string;
    /** Sends an address query to another entry VM; rejects if it can't be reached. */
    readonly queryPeer: (peer: EntryVm, service: string) => Promise<AddressResponse | undefined>;
    /** Returns the placement weight that an entry VM has announced for itself. */
    readonly weightOf: (vm: EntryVm) => number;
    /** Returns whether a graceful shutdown has begun. */
    readonly isStopping: () => boolean;
}

interface HostedEntry {
    readonly hosted: HostedService;
    /** When the service was first found to be placed elsewhere; undefined while it is placed here. */
    readonly movedAt: number | undefined;
}

/** Finds, places and hosts the services of the accepted configuration for the proxy. */
export class ServiceTable implements ServiceDirectory {
    readonly #options: ServiceTableOptions;
    readonly #entries = new Map<string, HostedEntry>();
    readonly #demandTracker = new DemandTracker();
    /** Dispatchers of each service in order of preference, updated when members, configuration or demand change. */
    readonly #placements = new Map<string, readonly EntryVm[]>();
    #accepted: AcceptedVersion | undefined;
    #members: readonly EntryVm[] = [];
    #leaving: ReadonlySet<string> = new Set();

    constructor(options: ServiceTableOptions) {
        this.#options = options;
    }

    /** The accepted version in use; undefined before the first one. */
    get accepted(): AcceptedVersion | undefined {
        return this.#accepted;
    }

    /** The services that this entry VM dispatches. */
    get hosted(): readonly HostedService[] {
        return [...this.#entries.values()].map(entry => entry.hosted);
    }

    /** Calls per second of all services that this entry VM dispatches. */
    get callsPerSecond(): number {
        return this.hosted.reduce((sum, hosted) => sum + hosted.callsPerSecond, 0);
    }

    /** Applies a newly accepted version. */
    setAccepted(accepted: AcceptedVersion, now: number): void {
        this.#accepted = accepted;
        this.#demandTracker.retainServices(accepted.spec.services);
        this.#placeAll(now);
    }

    /** Applies a new list of members. */
    setMembers(members: readonly EntryVm[], now: number): void {
        this.#members = members;
        this.#placeAll(now);
    }

    /** Sets which backend servers the platform's VM list marks as leaving, by "IP:port". */
    setLeaving(addresses: ReadonlySet<string>, now: number): void {
        this.#leaving = addresses;
        for (const hosted of this.hosted) {
            hosted.dispatcher.markLeaving(addresses, now);
        }
    }

    /** Handles a slot message; the sender's index is taken from this entry VM's own placement, not from the message. */
    receive({ id, service, message }: SlotDatagram, now: number): void {
        const from = this.#placements.get(service)?.findIndex(vm => vm.id === id) ?? -1;
        if (from !== -1) {
            this.find(service)?.dispatcher.receive({ ...message, from }, now);
        }
    }

    /** Returns the peer address of the dispatcher of a service with a given index; undefined if there is none. */
    dispatcherAddress(service: string, index: number): string | undefined {
        return this.#placements.get(service)?.[index]?.peerAddress;
    }

    /** Records the calls per second that another dispatcher of a service receives; ignores services unknown here. */
    recordPeerRate(service: string, peer: string, perSecond: number, now: number): void {
        if (this.#accepted?.spec.services.has(service)) {
            this.#demandTracker.recordRate(service, peer, perSecond, now);
        }
    }

    /** Ends the rate period of every service, and places the services by the updated demand. */
    updateRates(now: number): void {
        for (const hosted of this.hosted) {
            this.#demandTracker.recordRate(
                hosted.service.name,
                this.#options.self().id,
                hosted.endRatePeriod(now),
                now,
            );
        }
        this.#demandTracker.update(now);
        this.#placeAll(now);
    }

    /** Returns the entry VMs that dispatch a service, in order of preference, as far as this entry VM knows. */
    dispatchersOf(name: string): readonly EntryVm[] {
        const { dispatchers: count } = this.#planOf(name);
        return selectEntryVms(name, this.#members, count, this.#options.weightOf);
    }

    /** Returns whether the service is placed here, rather than only dispatched for callers with older addresses. */
    isPlacedHere(name: string): boolean {
        return this.#placements.get(name)?.some(vm => this.#isSelf(vm)) ?? false;
    }

    /** Returns a service that this entry VM dispatches; undefined if it doesn't dispatch it. */
    find(service: string): HostedService | undefined {
        return this.#entries.get(service)?.hosted;
    }

    route(name: string, forwarded: boolean): ServiceRoute | undefined {
        const service = this.#findService(name);
        if (!service) {
            return undefined;
        }
        const others = this.find(name) ? [] : this.#otherDispatchersOf(name);
        if (forwarded || others.length === 0) {
            return this.localRoute(name);
        }
        return { service, passTo: others.map(vm => vm.callerAddress) };
    }

    localRoute(name: string): LocalRoute {
        const service = this.#findService(name);
        if (!service) {
            throw new CallError("unknown-service", `"${name}"`);
        }
        const hosted = this.find(name) ?? this.#host(service, wholeShare, this.#options.clock());
        hosted.recordCall();
        return { service, dispatcher: hosted.dispatcher };
    }

    async addresses(name: string): Promise<AddressResponse> {
        if (!this.#findService(name)) {
            throw new CallError("unknown-service", `"${name}"`);
        }
        const placed = this.dispatchersOf(name);
        const start = this.#planOf(name).balanced
            ? Math.floor(this.#options.random.next() * placed.length)
            : 0;
        const candidates = [...placed.slice(start), ...placed.slice(0, start)];
        for (const vm of candidates) {
            const response = this.#isSelf(vm) ? this.localAddresses(name) : await this.#queryPeer(vm, name);
            if (response) {
                return response;
            }
        }
        return this.#localAddressesOrThrow(name);
    }

    /**
     * Returns the addresses of a service with this entry VM as the first one; undefined while it is stopping, before
     * the first accepted version, or for an unknown service.
     */
    localAddresses(name: string): AddressResponse | undefined {
        const { self, ttlMs, clock, issueTicket, isStopping } = this.#options;
        if (isStopping() || !this.#accepted || !this.#findService(name)) {
            return undefined;
        }
        const others = this.#otherDispatchersOf(name).map(vm => vm.callerAddress);
        return {
            service: name,
            addresses: [self().callerAddress, ...others],
            ttlMs,
            ticket: issueTicket(clock()),
            version: this.#accepted.number,
        };
    }

    #localAddressesOrThrow(name: string): AddressResponse {
        const response = this.localAddresses(name);
        if (!response) {
            throw new CallError("stopping");
        }
        return response;
    }

    async #queryPeer(vm: EntryVm, name: string): Promise<AddressResponse | undefined> {
        try {
            return await this.#options.queryPeer(vm, name);
        } catch {
            return undefined;
        }
    }

    #findService(name: string): Service | undefined {
        if (!this.#accepted) {
            throw new CallError("not-ready");
        }
        return this.#accepted.spec.services.get(name);
    }

    #planOf(name: string): DispatcherPlan {
        const service = this.#accepted?.spec.services.get(name);
        const wanted = this.#demandTracker.dispatchersFor(name);
        return service
            ? planDispatchers(service, wanted, minDispatchers)
            : { dispatchers: wanted, balanced: true };
    }

    #otherDispatchersOf(name: string): readonly EntryVm[] {
        return this.dispatchersOf(name).filter(vm => !this.#isSelf(vm));
    }

    #isSelf(vm: EntryVm): boolean {
        return vm.id === this.#options.self().id;
    }

    #placeAll(now: number): void {
        const services = this.#accepted?.spec.services ?? noServices;
        for (const service of services.values()) {
            this.#placeService(service, now);
        }
        for (const byService of [this.#entries, this.#placements]) {
            for (const name of byService.keys()) {
                if (!services.has(name)) {
                    byService.delete(name);
                }
            }
        }
    }

    // A service that has moved away is still dispatched for callers that have cached older addresses.
    #placeService(service: Service, now: number): void {
        const placed = this.dispatchersOf(service.name);
        this.#placements.set(service.name, placed);
        const share = shareOf(this.#options.self(), placed);
        const entry = this.#entries.get(service.name);
        if (share) {
            this.#host(service, share, now);
        } else if (entry) {
            this.#updateMoved(service, entry, now);
        }
    }

    #updateMoved(service: Service, entry: HostedEntry, now: number): void {
        const movedAt = entry.movedAt ?? now;
        if (now - movedAt > keepAfterMoveMs && !entry.hosted.isBusy(now)) {
            this.#entries.delete(service.name);
            return;
        }
        entry.hosted.update(service, entry.hosted.share, now);
        this.#entries.set(service.name, { hosted: entry.hosted, movedAt });
    }

    #host(service: Service, share: Share, now: number): HostedService {
        const existing = this.find(service.name);
        const hosted = existing ?? new HostedService(service, share, this.#options.hostedServiceOptions, now);
        if (existing) {
            existing.update(service, share, now);
        } else {
            hosted.dispatcher.markLeaving(this.#leaving, now);
        }
        this.#entries.set(service.name, { hosted, movedAt: undefined });
        return hosted;
    }
}

const wholeShare: Share = { index: 0, count: 1 };
const noServices: ReadonlyMap<string, Service> = new Map();
