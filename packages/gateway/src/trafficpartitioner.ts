/**
 * Partitions hosts' callers and services' backend servers among the entry VMs, from the demand of all and the capacities
 * that the entry VMs publish in their membership payloads.
 */

import type { ListedServer } from "@bramleymoor/balance/types";
import type { Membership } from "@bramleymoor/membership/membership";
import type { RouteConfig } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { DemandExchange } from "./demand.js";
import { EntryVmSelector, serverSubset } from "./entryvmselector.js";

/** Dependencies of a `TrafficPartitioner`. */
export interface TrafficPartitionerOptions {
    /** Id of this entry VM. */
    readonly self: string;
    /** Number of processor cores that this entry VM may use. */
    readonly processorShare: number;
    /** Bandwidth of this entry VM's link, in Mbit/s. */
    readonly linkMbps: number;
    readonly membership: Pick<Membership, "payload" | "setPayload">;
    /** Returns all members that are not dead, including this one. */
    readonly members: () => readonly EntryVm[];
    /** Whether an entry VM can't reach the servers. */
    readonly isCutOff: (vm: EntryVm) => boolean;
    /** Sets the ids of the servers of a service that this entry VM prefers; undefined for no preference. */
    readonly setPreferredServers: (service: string, serverIds: ReadonlySet<string> | undefined) => void;
    readonly demand: Pick<DemandExchange, "hostRate" | "ownHostRate">;
}

/** Computes one entry VM's view of the partition. */
export class TrafficPartitioner {
    readonly #options: TrafficPartitionerOptions;
    readonly #selector = new EntryVmSelector({
        requestsPerTenthCore: requestsPerCore / tenthsPerCore,
        shrinkAfterMs,
    });
    /** Services by host, and hosts by service, of the active configuration. */
    #servicesByHost: ReadonlyMap<string, ReadonlySet<string>> = new Map();
    #hostsByService: ReadonlyMap<string, ReadonlySet<string>> = new Map();
    /** The servers whose failure domain isn't evacuated. */
    #servers: readonly ListedServer[] = [];
    /** Ids of the entry VMs among which each service's present servers are partitioned. */
    readonly #partitionedAmong = new Map<string, string>();

    constructor(options: TrafficPartitionerOptions) {
        this.#options = options;
        options.membership.setPayload(capacityKey, capacityTenths(options));
    }

    /** Returns the entry VMs for a host's callers in one failure domain. */
    entryVmsFor(host: string, domain: string): readonly EntryVm[] {
        const { members, isCutOff } = this.#options;
        return this.#selector.select(host, domain, members(), this.#capacityOf, isCutOff);
    }

    /**
     * Applies a newer configuration or a newer list of servers. An evacuation doesn't change which entry VMs a host gets, as its
     * demand stays the same.
     */
    update(config: RouteConfig, servers: readonly ListedServer[]): void {
        this.#servicesByHost = servicesByHost(config);
        this.#hostsByService = invert(this.#servicesByHost);
        this.#servers = servers.filter(it => !it.evacuated);
        this.#partitionedAmong.clear();
        for (const [host, services] of this.#servicesByHost) {
            const slots = servers
                .filter(({ entry }) => services.has(entry.service) && !entry.leaving)
                .reduce((sum, { entry }) => sum + entry.slots, 0);
            this.#selector.setServerSlots(host, slots);
        }
    }

    /** Applies newer totals of the demand, and partitions the servers. */
    updateDemand(now: number): void {
        for (const host of this.#servicesByHost.keys()) {
            this.#selector.observeDemand(host, this.#options.demand.hostRate(host), now);
        }
        this.#partitionServers();
    }

    /**
     * Partitions the servers of each service that may get requests here among the entry VMs that serve its hosts, unless
     * nothing has changed: hashing all servers costs a small VM much of its time.
     */
    #partitionServers(): void {
        const { self, members, isCutOff, demand, setPreferredServers } = this.#options;
        for (const [service, allHosts] of this.#hostsByService) {
            const hosts = [...allHosts].filter(it => demand.ownHostRate(it) > 0);
            if (hosts.length === 0) {
                continue;
            }
            const entryVms = this.#selector.selectForHosts(hosts, members(), this.#capacityOf, isCutOff);
            const ids = entryVms.map(vm => vm.id).join(" ");
            if (this.#partitionedAmong.get(service) !== ids) {
                this.#partitionedAmong.set(service, ids);
                const servers = this.#servers.map(it => it.entry).filter(it => it.service === service);
                setPreferredServers(service, serverSubset(self, entryVms, servers));
            }
        }
    }

    /** Returns the capacity that an entry VM has published, in tenths of a core. */
    readonly #capacityOf = (vm: EntryVm): number => {
        const published = Number(this.#options.membership.payload(vm.id)[capacityKey]);
        return published > 0 ? published : defaultTenths;
    };
}

/** Returns an entry VM's capacity, in tenths of a core; a slow link limits it like a smaller processor share. */
const capacityTenths = ({
    processorShare,
    linkMbps,
}: Pick<TrafficPartitionerOptions, "processorShare" | "linkMbps">): number =>
    Math.max(1, Math.min(Math.round(processorShare * tenthsPerCore), Math.floor(linkMbps / mbpsPerTenth)));

const servicesByHost = ({ routes }: RouteConfig): ReadonlyMap<string, ReadonlySet<string>> => {
    const services = new Map<string, Set<string>>();
    for (const { host, destinations } of routes) {
        const names = services.get(host) ?? new Set<string>();
        destinations.forEach(it => names.add(it.service));
        services.set(host, names);
    }
    return services;
};

const invert = (sets: ReadonlyMap<string, ReadonlySet<string>>): ReadonlyMap<string, ReadonlySet<string>> => {
    const inverted = new Map<string, Set<string>>();
    for (const [key, values] of sets) {
        values.forEach(it => inverted.set(it, (inverted.get(it) ?? new Set()).add(key)));
    }
    return inverted;
};

/** Requests per second planned for a whole core: half of its capacity, which leaves room for bursts. */
const requestsPerCore = 220;
/** Capacities are published in tenths of a core. */
const tenthsPerCore = 10;
/**
 * Bandwidth planned for the requests of a tenth of a core. On average they use a quarter of it, so that the packets of
 * others don't wait long behind a large response.
 */
const mbpsPerTenth = 7;
/** Key of the capacity in a member's payload. */
const capacityKey = "c";
/** Half a core, assumed until a member has published its capacity. */
const defaultTenths = 5;
/** Longer than callers may cache a list of addresses. */
const shrinkAfterMs = 8_000;
