/** How the entry VMs divide hosts' callers and services' backend servers, by what they tell each other. */

import type { KnownServer } from "@bramleymoor/discovery/servers";
import type { Membership } from "@bramleymoor/membership/membership";
import type { RouteConfig } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import { DemandCounter, serverSubset, parseRates, shortHash, EntryVmSelector } from "./entryvmselector.js";

/** What sharing needs. */
export interface TrafficPartitionerOptions {
    /** Id of this entry VM. */
    readonly self: string;
    /** Cores that this entry VM may use. */
    readonly processorShare: number;
    readonly membership: Pick<Membership, "payload" | "setPayload">;
    /** Every member that is not dead, this one included. */
    readonly members: () => readonly EntryVm[];
    /** Takes which servers of a service this entry VM prefers. */
    readonly setPreferredServers: (service: string, own: ReadonlySet<string> | undefined) => void;
    /** Monotonic milliseconds. */
    readonly now: number;
}

/** One entry VM's part in the sharing. */
export class TrafficPartitioner {
    readonly #parts: TrafficPartitionerOptions;
    readonly #demand: DemandCounter;
    readonly #steering = new EntryVmSelector({
        requestsPerTenthCore: requestsPerCore / tenths,
        shrinkAfterMs,
    });
    #config: RouteConfig | undefined = undefined;
    #servers: readonly KnownServer[] = [];
    #turnedAt: number;

    constructor(parts: TrafficPartitionerOptions) {
        this.#parts = parts;
        this.#demand = new DemandCounter(parts.now);
        this.#turnedAt = parts.now;
        parts.membership.setPayload(capacityKey, Math.round(parts.processorShare * tenths));
    }

    /** Counts a request for a host. */
    countRequest(host: string): void {
        this.#demand.count(host);
    }

    /** Entry VMs for a host's callers in one failure domain. */
    entryVmsFor(host: string, domain: string): readonly EntryVm[] {
        return this.#steering.select(host, domain, this.#parts.members(), this.#capacityOf);
    }

    /** Takes a newer configuration or newer servers. */
    update(config: RouteConfig, servers: readonly KnownServer[]): void {
        this.#config = config;
        this.#servers = servers;
        for (const [host, services] of servicesByHost(config)) {
            const slots = servers
                .filter(({ entry }) => services.has(entry.service))
                .reduce((sum, { entry }) => sum + entry.slots, 0);
            this.#steering.setServerSlots(host, slots);
        }
    }

    /** Call it often: now and then it tells peers this entry VM's demand, adds theirs up, and divides servers. */
    tick(now: number): void {
        if (now - this.#turnedAt < demandPeriodMs) {
            return;
        }
        this.#turnedAt = now;
        this.#tellDemand(now);
        this.#addDemandUp(now);
        this.#divideServers();
    }

    #tellDemand(now: number): void {
        const { self, membership } = this.#parts;
        const before = membership.payload(self);
        for (const [key, value] of this.#demand.endPeriod(now)) {
            if ((before[key] ?? "") !== value) {
                membership.setPayload(key, value);
            }
        }
    }

    #addDemandUp(now: number): void {
        const { self, membership, members } = this.#parts;
        const others = members().filter(vm => vm.id !== self);
        const rates = others.map(vm => parseRates(membership.payload(vm.id)));
        for (const host of this.#config ? servicesByHost(this.#config).keys() : []) {
            const hash = shortHash(host);
            const elsewhere = rates.reduce((sum, it) => sum + (it.get(hash) ?? 0), 0);
            this.#steering.observeDemand(host, elsewhere + (this.#demand.rates.get(host) ?? 0), now);
        }
    }

    /** Divides the servers of each service in use here among the entry VMs that serve its hosts. */
    #divideServers(): void {
        const { self, members, setPreferredServers: prefer } = this.#parts;
        const hosts = new Map<string, Set<string>>();
        const used = (this.#config?.routes ?? []).filter(it => this.#demand.rates.has(it.host));
        for (const { host, destinations } of used) {
            for (const { service } of destinations) {
                hosts.set(service, (hosts.get(service) ?? new Set()).add(host));
            }
        }
        const entries = this.#servers.map(it => it.entry);
        for (const [service, names] of hosts) {
            const dispatchers = this.#steering.selectForHosts(names, members(), this.#capacityOf);
            const servers = entries.filter(it => it.service === service);
            prefer(service, serverSubset(self, dispatchers, servers));
        }
    }

    /** Processor share of an entry VM in tenths of a core, as it tells with its record. */
    readonly #capacityOf = (vm: EntryVm): number => {
        const told = Number(this.#parts.membership.payload(vm.id)[capacityKey]);
        return told > 0 ? told : usualTenths;
    };
}

const servicesByHost = ({ routes }: RouteConfig): ReadonlyMap<string, ReadonlySet<string>> => {
    const services = new Map<string, Set<string>>();
    for (const { host, destinations } of routes) {
        const known = services.get(host) ?? new Set<string>();
        destinations.forEach(it => known.add(it.service));
        services.set(host, known);
    }
    return services;
};

/** Requests that a whole core forwards in a second, half of what it can, for bursts. */
const requestsPerCore = 220;
/** Processor shares are told in tenths of a core. */
const tenths = 10;
/** Where members tell their processor share. */
const capacityKey = "c";
/** Half a core, until a member has told its share. */
const usualTenths = 5;
/** Longer than callers may keep an answer. */
const shrinkAfterMs = 8_000;
/** Demand is told as often as gossip can carry it. */
const demandPeriodMs = 500;
