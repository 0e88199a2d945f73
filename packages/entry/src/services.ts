/** The services of the accepted text as this entry VM serves them: which it dispatches, who dispatches the rest. */

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

const keepAfterMovedMs = 60_000;

/** What the service table needs from the rest of the process. */
export interface ServiceTableOptions {
    /** This entry VM; called only once the process listens. */
    readonly self: () => EntryVm;
    /** How long callers may keep an answer, in milliseconds. */
    readonly ttlMs: number;
    readonly hosting: HostedServiceOptions;
    readonly random: Random;
    readonly clock: () => number;
    /** Issues a ticket of this incarnation. */
    readonly issueTicket: (now: number) => string;
    /** Asks another entry VM for its own answer; rejects when it can't be reached. */
    readonly askPeer: (peer: EntryVm, service: string) => Promise<AddressResponse | undefined>;
    /** Weight of an entry VM in the placement, as it tells itself. */
    readonly weightOf: (vm: EntryVm) => number;
    /** Whether a planned stop has begun. */
    readonly stopping: () => boolean;
}

interface Row {
    readonly hosted: HostedService;
    /** When the service was last found placed elsewhere; undefined while it is placed here. */
    readonly movedAt: number | undefined;
}

/** Implements the proxy's view of the services. */
export class ServiceTable implements ServiceDirectory {
    readonly #parts: ServiceTableOptions;
    readonly #rows = new Map<string, Row>();
    readonly #demand = new DemandTracker();
    /** As found at the last change of members, text or demand. */
    readonly #placements = new Map<string, readonly EntryVm[]>();
    #accepted: AcceptedVersion | undefined;
    #members: readonly EntryVm[] = [];
    #leaving: ReadonlySet<string> = new Set();

    constructor(parts: ServiceTableOptions) {
        this.#parts = parts;
    }

    /** The accepted version followed; undefined before the first one. */
    get accepted(): AcceptedVersion | undefined {
        return this.#accepted;
    }

    /** Every service dispatched here. */
    get hosted(): readonly HostedService[] {
        return [...this.#rows.values()].map(row => row.hosted);
    }

    /** Calls per second of all services dispatched here. */
    get callsPerSecond(): number {
        return this.hosted.reduce((sum, hosted) => sum + hosted.callsPerSecond, 0);
    }

    /** Follows a newly accepted text. */
    setAccepted(accepted: AcceptedVersion, now: number): void {
        this.#accepted = accepted;
        this.#demand.retainServices(accepted.spec.services);
        this.#placeAll(now);
    }

    /** Follows the list of members. */
    setMembers(members: readonly EntryVm[], now: number): void {
        this.#members = members;
        this.#placeAll(now);
    }

    /** Follows the backend servers that the platform's list says are leaving, by "IP:port". */
    setLeaving(addresses: ReadonlySet<string>, now: number): void {
        this.#leaving = addresses;
        for (const hosted of this.hosted) {
            hosted.dispatcher.markLeaving(addresses, now);
        }
    }

    /** Takes a message of another dispatcher; its place is what this entry VM believes, not what it says. */
    receive({ id, service, message }: SlotDatagram, now: number): void {
        const from = this.#placements.get(service)?.findIndex(vm => vm.id === id) ?? -1;
        if (from !== -1) {
            this.find(service)?.dispatcher.receive({ ...message, from }, now);
        }
    }

    /** Peers' address of a service's dispatcher by its place; undefined if there is none. */
    dispatcherAddress(service: string, place: number): string | undefined {
        return this.#placements.get(service)?.[place]?.peerAddress;
    }

    /** Takes the calls per second that another dispatcher of a service sees. */
    recordPeerRate(service: string, peer: string, perSecond: number, now: number): void {
        this.#demand.recordRate(service, peer, perSecond, now);
    }

    /** Ends the rated period of every service, and places the services by the demand seen. */
    updateRates(now: number): void {
        for (const hosted of this.hosted) {
            this.#demand.recordRate(
                hosted.service.name,
                this.#parts.self().id,
                hosted.endRatePeriod(now),
                now,
            );
        }
        this.#demand.update(now);
        this.#placeAll(now);
    }

    /** Entry VMs that dispatch a service as this one believes, first one first. */
    dispatchersOf(name: string): readonly EntryVm[] {
        const { dispatchers: least } = this.#spread(name);
        return selectEntryVms(name, this.#members, least, this.#parts.weightOf);
    }

    /** Whether this entry VM is among the service's dispatchers, rather than serving holders of old answers. */
    isPlacedHere(name: string): boolean {
        return this.#placements.get(name)?.some(vm => this.#isSelf(vm)) ?? false;
    }

    /** The service as dispatched here; undefined if it isn't. */
    find(service: string): HostedService | undefined {
        return this.#rows.get(service)?.hosted;
    }

    route(name: string, forwarded: boolean): ServiceRoute | undefined {
        const service = this.#service(name);
        if (!service) {
            return undefined;
        }
        const others = this.find(name) ? [] : this.#others(name);
        if (forwarded || others.length === 0) {
            return this.localRoute(name);
        }
        return { service, passTo: others.map(vm => vm.callerAddress) };
    }

    localRoute(name: string): LocalRoute {
        const service = this.#service(name);
        if (!service) {
            throw new CallError("unknown-service", `"${name}"`);
        }
        const hosted = this.find(name) ?? this.#host(service, aloneShare, this.#parts.clock());
        hosted.recordCall();
        return { service, dispatcher: hosted.dispatcher };
    }

    async addresses(name: string): Promise<AddressResponse> {
        if (!this.#service(name)) {
            throw new CallError("unknown-service", `"${name}"`);
        }
        const placed = this.dispatchersOf(name);
        const first = this.#spread(name).balanced ? Math.floor(this.#parts.random.next() * placed.length) : 0;
        const order = [...placed.slice(first), ...placed.slice(0, first)];
        for (const vm of order) {
            const answer = this.#isSelf(vm) ? this.localAddresses(name) : await this.#ask(vm, name);
            if (answer) {
                return answer;
            }
        }
        return this.#lastResort(name);
    }

    /** This entry VM's own answer, with itself as the first address; undefined while it is stopping. */
    localAddresses(name: string): AddressResponse | undefined {
        const { self, ttlMs, clock, issueTicket, stopping } = this.#parts;
        if (stopping() || !this.#accepted || !this.#service(name)) {
            return undefined;
        }
        const others = this.#others(name).map(vm => vm.callerAddress);
        return {
            service: name,
            addresses: [self().callerAddress, ...others],
            ttlMs,
            ticket: issueTicket(clock()),
            version: this.#accepted.number,
        };
    }

    #lastResort(name: string): AddressResponse {
        const answer = this.localAddresses(name);
        if (!answer) {
            throw new CallError("stopping");
        }
        return answer;
    }

    async #ask(vm: EntryVm, name: string): Promise<AddressResponse | undefined> {
        try {
            return await this.#parts.askPeer(vm, name);
        } catch {
            return undefined;
        }
    }

    #service(name: string): Service | undefined {
        if (!this.#accepted) {
            throw new CallError("not-ready");
        }
        return this.#accepted.spec.services.get(name);
    }

    #spread(name: string): DispatcherPlan {
        const service = this.#accepted?.spec.services.get(name);
        const wanted = this.#demand.dispatchersFor(name);
        return service
            ? planDispatchers(service, wanted, minDispatchers)
            : { dispatchers: wanted, balanced: true };
    }

    #others(name: string): readonly EntryVm[] {
        return this.dispatchersOf(name).filter(vm => !this.#isSelf(vm));
    }

    #isSelf(vm: EntryVm): boolean {
        return vm.id === this.#parts.self().id;
    }

    #placeAll(now: number): void {
        const services = this.#accepted?.spec.services ?? noServices;
        for (const service of services.values()) {
            this.#placeOne(service, now);
        }
        for (const name of this.#rows.keys()) {
            if (!services.has(name)) {
                this.#rows.delete(name);
                this.#placements.delete(name);
            }
        }
    }

    // A service that has moved away is still dispatched for callers who hold an old answer.
    #placeOne(service: Service, now: number): void {
        const placed = this.dispatchersOf(service.name);
        this.#placements.set(service.name, placed);
        const share = shareOf(this.#parts.self(), placed);
        const row = this.#rows.get(service.name);
        if (share) {
            this.#host(service, share, now);
        } else if (row) {
            this.#moved(service, row, now);
        }
    }

    #moved(service: Service, row: Row, now: number): void {
        const movedAt = row.movedAt ?? now;
        if (now - movedAt > keepAfterMovedMs && !row.hosted.isBusy(now)) {
            this.#rows.delete(service.name);
            return;
        }
        row.hosted.update(service, row.hosted.share, now);
        this.#rows.set(service.name, { hosted: row.hosted, movedAt });
    }

    #host(service: Service, share: Share, now: number): HostedService {
        const known = this.find(service.name);
        const hosted = known ?? new HostedService(service, share, this.#parts.hosting, now);
        if (known) {
            known.update(service, share, now);
        } else {
            hosted.dispatcher.markLeaving(this.#leaving, now);
        }
        this.#rows.set(service.name, { hosted, movedAt: undefined });
        return hosted;
    }
}

const aloneShare: Share = { index: 0, count: 1 };
const noServices: ReadonlyMap<string, Service> = new Map();
