/** Selects the entry VMs for a host's callers, from the members and the demand that is known of all. */

import type { ServerEntry } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import { selectEntryVms } from "@bramleymoor/placement/placement";
import { DispatcherScaler } from "@bramleymoor/placement/scaler";

/** Returns the capacity of an entry VM, in tenths of a core. */
export type CapacityOf = (vm: EntryVm) => number;

/** Settings of an `EntryVmSelector`. */
export interface EntryVmSelectorSettings {
    /** Requests per second that a tenth of a core should forward. */
    readonly requestsPerTenthCore: number;
    /** How long demand must stay lower before a host gets fewer entry VMs, in milliseconds. */
    readonly shrinkAfterMs: number;
}

/**
 * Selects as many entry VMs for a host's callers as its demand needs. Entry VMs with a larger capacity are selected
 * more often.
 */
export class EntryVmSelector {
    /** Counts tenths of a core, where other users of the class count dispatchers. */
    readonly #scaler: DispatcherScaler;
    readonly #requestsPerTenthCore: number;
    readonly #minTenths = new Map<string, number>();

    constructor({ requestsPerTenthCore, shrinkAfterMs }: EntryVmSelectorSettings) {
        this.#scaler = new DispatcherScaler({
            callsPerDispatcher: requestsPerTenthCore,
            minDispatchers: 1,
            maxDispatchers: maxTenths,
            shrinkAfterMs,
        });
        this.#requestsPerTenthCore = requestsPerTenthCore;
    }

    /**
     * Sets the total number of slots of the services that a host's routes lead to. Before any demand is known, a host
     * gets enough entry VMs for the typical utilization of these slots.
     */
    setServerSlots(host: string, slots: number): void {
        const requestsPerSecond = (slots * typicalUtilization * msPerSecond) / typicalRequestMs;
        this.#minTenths.set(host, Math.ceil(requestsPerSecond / this.#requestsPerTenthCore));
    }

    /** Records the requests per second for a host over all entry VMs. */
    observeDemand(host: string, requestsPerSecond: number, now: number): void {
        this.#scaler.observe(host, requestsPerSecond, now);
    }

    /**
     * Returns the entry VMs for the callers of several hosts in all failure domains.
     *
     * @param isCutOff returns whether an entry VM can't reach the servers
     */
    selectForHosts(
        hosts: Iterable<string>,
        members: readonly EntryVm[],
        capacityOf: CapacityOf,
        isCutOff: (vm: EntryVm) => boolean = noneIsCutOff,
    ): readonly EntryVm[] {
        const domains = new Set(members.map(vm => vm.place.domain));
        const selected = new Map<string, EntryVm>();
        for (const host of hosts) {
            for (const domain of domains) {
                this.select(host, domain, members, capacityOf, isCutOff).forEach(vm =>
                    selected.set(vm.id, vm),
                );
            }
        }
        return [...selected.values()];
    }

    /**
     * Returns the entry VMs for a host's callers in one failure domain: only those of the domain if the host needs at
     * least as many entry VMs as there are domains, otherwise the same ones for all domains. Those that can't reach the
     * servers are left out, and replaced by those of other domains, unless the others couldn't carry the demand.
     *
     * @param isCutOff returns whether an entry VM can't reach the servers
     */
    select(
        host: string,
        domain: string,
        members: readonly EntryVm[],
        capacityOf: CapacityOf,
        isCutOff: (vm: EntryVm) => boolean = noneIsCutOff,
    ): readonly EntryVm[] {
        const alive = members.filter(vm => vm.state === "alive");
        const domains = new Set(alive.map(vm => vm.place.domain)).size;
        const tenths = Math.max(this.#scaler.dispatchersFor(host), this.#minTenths.get(host) ?? 1);
        const rank = (vms: readonly EntryVm[]): readonly EntryVm[] =>
            selectEntryVms(host, vms, vms.length, capacityOf);
        const isLocal = (vm: EntryVm): boolean => vm.place.domain === domain;
        const working = rank(alive.filter(vm => !isCutOff(vm)));
        const workingTenths = working.reduce((sum, vm) => sum + capacityOf(vm), 0);
        const cutOff = workingTenths * maxOvercommitment >= tenths ? [] : rank(alive.filter(isCutOff));
        const chosen = takeCapacity([...working, ...cutOff], tenths, capacityOf);
        const local = rank(working.filter(isLocal));
        if (chosen.length < domains || local.length === 0) {
            return chosen;
        }
        const isWhole = local.length === alive.filter(isLocal).length;
        const substitutes = isWhole ? [] : [...working.filter(vm => !isLocal(vm)), ...cutOff];
        return takeCapacity([...local, ...substitutes], tenths / domains, capacityOf);
    }
}

/**
 * Returns the first of the ranked entry VMs that together have the requested capacity. Callers pick one of their
 * addresses at random, so each of them counts no more than the smallest.
 */
const takeCapacity = (
    ranked: readonly EntryVm[],
    tenths: number,
    capacityOf: CapacityOf,
): readonly EntryVm[] => {
    let smallest = Infinity;
    const count = ranked.findIndex((vm, i) => {
        smallest = Math.min(smallest, capacityOf(vm));
        return smallest * (i + 1) >= tenths;
    });
    return ranked.slice(0, count === -1 ? ranked.length : count + 1).slice(0, maxAddresses);
};

/**
 * Returns the ids of the servers that `self` prefers, as its subset of those that several entry VMs share. Each server
 * belongs to one entry VM of its own failure domain, or to any one if its domain has none. Returns undefined if `self`
 * isn't among the entry VMs or is the only one.
 */
export const serverSubset = (
    self: string,
    entryVms: readonly EntryVm[],
    servers: readonly ServerEntry[],
): ReadonlySet<string> | undefined => {
    if (entryVms.length < 2 || !entryVms.some(vm => vm.id === self)) {
        return undefined;
    }
    const byDomain = new Map<string, EntryVm[]>();
    for (const vm of entryVms) {
        const local = byDomain.get(vm.place.domain) ?? [];
        local.push(vm);
        byDomain.set(vm.place.domain, local);
    }
    const subset = servers.filter(
        ({ id, domain }) => selectEntryVms(id, byDomain.get(domain) ?? entryVms, 1)[0]?.id === self,
    );
    return new Set(subset.map(({ id }) => id));
};

const noneIsCutOff = (): boolean => false;

/**
 * Multiple of the planned requests that entry VMs carry at most. With more for those that reach the servers, the others
 * are named to callers too, as they turn away what can't be served.
 */
const maxOvercommitment = 2;
/** Maximum number of addresses that callers use from one response. */
const maxAddresses = 64;
/** More than any fleet has, so that only demand and the number of members limit a host's entry VMs. */
const maxTenths = 10_000;
/** Typical share of the slots in use. */
const typicalUtilization = 0.5;
/** Time for which a typical request occupies a slot. */
const typicalRequestMs = 200;
const msPerSecond = 1_000;
