/** Which entry VMs callers of a host are sent to, from the members and the demand that they tell each other. */

import type { ServerEntry } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import { DispatcherScaler } from "@bramleymoor/placement/scaler";
import { selectEntryVms } from "@bramleymoor/placement/placement";

/** Counts this entry VM's requests by host, and puts them in a form that fits a member's payload. */
export class DemandCounter {
    #counts = new Map<string, number>();
    #since: number;
    #rates: ReadonlyMap<string, number> = new Map();

    constructor(now: number) {
        this.#since = now;
    }

    /** Requests per second by host, over the last period. */
    get rates(): ReadonlyMap<string, number> {
        return this.#rates;
    }

    count(host: string): void {
        this.#counts.set(host, (this.#counts.get(host) ?? 0) + 1);
    }

    /** Ends a period; gives the payload's values by key. */
    endPeriod(now: number): ReadonlyMap<string, string> {
        const seconds = Math.max(leastPeriodMs, now - this.#since) / msPerSecond;
        this.#rates = new Map([...this.#counts].map(([host, count]) => [host, count / seconds]));
        this.#counts = new Map();
        this.#since = now;
        const busiest = [...this.#rates].sort((a, b) => b[1] - a[1]).slice(0, keys.length * pairsPerKey);
        const pairs = busiest.map(([host, rate]) => `${shortHash(host)}=${Math.ceil(rate)}`);
        return new Map(
            keys.map((key, i) => [key, pairs.slice(i * pairsPerKey, (i + 1) * pairsPerKey).join(" ")]),
        );
    }
}

/** Rates by short hash, read from a member's payload. */
export const parseRates = (
    payload: Readonly<Record<string, string | number>>,
): ReadonlyMap<string, number> => {
    const pairs = keys.flatMap(key => String(payload[key] ?? "").split(" "));
    return new Map(
        pairs
            .filter(it => it.includes("="))
            .map(it => {
                const [hash = "", rate = "0"] = it.split("=");
                return [hash, Number(rate)];
            }),
    );
};

/** The processor share of an entry VM, in tenths of a core. */
export type CapacityOf = (vm: EntryVm) => number;

/** Settings of the steering. */
export interface EntryVmSelectorSettings {
    /** Requests per second that a tenth of a core dispatches. */
    readonly requestsPerTenthCore: number;
    /** Demand must stay lower for so long before a host's entry VMs become fewer, in milliseconds. */
    readonly shrinkAfterMs: number;
}

/** Decides how many entry VMs a host's callers get, and which: large ones more often, and as many as carry it. */
export class EntryVmSelector {
    readonly #demand: DispatcherScaler;
    readonly #callsPerTenth: number;
    readonly #floors = new Map<string, number>();

    constructor({ requestsPerTenthCore: callsPerTenth, shrinkAfterMs }: EntryVmSelectorSettings) {
        this.#demand = new DispatcherScaler({
            callsPerDispatcher: callsPerTenth,
            minDispatchers: 1,
            maxDispatchers: mostTenths,
            shrinkAfterMs,
        });
        this.#callsPerTenth = callsPerTenth;
    }

    /**
     * Takes the slots of all services that a host's routes lead to: before any demand is known, there are enough
     * entry VMs for the usual part of what the slots can carry.
     */
    setServerSlots(host: string, slots: number): void {
        const callsPerSecond = (slots * usualUse * msPerSecond) / usualCallMs;
        this.#floors.set(host, Math.ceil(callsPerSecond / this.#callsPerTenth));
    }

    /** Takes the requests per second of a host over all entry VMs. */
    observeDemand(host: string, perSecond: number, now: number): void {
        this.#demand.observe(host, perSecond, now);
    }

    /** Entry VMs for the callers of some hosts, wherever they are. */
    selectForHosts(
        hosts: Iterable<string>,
        members: readonly EntryVm[],
        capacityOf: CapacityOf,
    ): readonly EntryVm[] {
        const domains = new Set(members.map(vm => vm.place.domain));
        const all = new Map<string, EntryVm>();
        for (const host of hosts) {
            for (const domain of domains) {
                this.select(host, domain, members, capacityOf).forEach(vm => all.set(vm.id, vm));
            }
        }
        return [...all.values()];
    }

    /**
     * Entry VMs for a host's callers in one failure domain: those in the domain, if the host's demand needs so
     * many that every domain has some, else all of them.
     */
    select(
        host: string,
        domain: string,
        members: readonly EntryVm[],
        capacityOf: CapacityOf,
    ): readonly EntryVm[] {
        const alive = members.filter(vm => vm.state === "alive");
        const domains = new Set(alive.map(vm => vm.place.domain)).size;
        const tenths = Math.max(this.#demand.dispatchersFor(host), this.#floors.get(host) ?? 1);
        const chosen = enough(selectEntryVms(host, alive, alive.length, capacityOf), tenths, capacityOf);
        const near = alive.filter(vm => vm.place.domain === domain);
        if (chosen.length < domains || near.length === 0) {
            return chosen;
        }
        return enough(selectEntryVms(host, near, near.length, capacityOf), tenths / domains, capacityOf);
    }
}

/** The first of the ranked entry VMs that together have the processor share that is wanted. */
const enough = (ranked: readonly EntryVm[], tenths: number, capacityOf: CapacityOf): readonly EntryVm[] => {
    let sum = 0;
    const count = ranked.findIndex(vm => (sum += capacityOf(vm)) >= tenths);
    return ranked.slice(0, count === -1 ? ranked.length : count + 1).slice(0, addressesAtMost);
};

/**
 * Servers that `self` prefers of those that several dispatchers share: each server is left to one of the
 * dispatchers of its failure domain, or to one of all if its domain has none. Undefined if `self` is none of them.
 */
export const serverSubset = (
    self: string,
    dispatchers: readonly EntryVm[],
    servers: readonly ServerEntry[],
): ReadonlySet<string> | undefined => {
    if (dispatchers.length < 2 || !dispatchers.some(vm => vm.id === self)) {
        return undefined;
    }
    const own = servers.filter(({ id, domain }) => {
        const near = dispatchers.filter(vm => vm.place.domain === domain);
        return selectEntryVms(id, near.length > 0 ? near : dispatchers, 1)[0]?.id === self;
    });
    return new Set(own.map(({ id }) => id));
};

/** Enough to tell hosts apart within one deployment: a clash only adds their rates up. */
export const shortHash = (host: string): string => {
    let hash = 2166136261;
    for (let i = 0; i < host.length; i++) {
        hash = Math.imul(hash ^ host.charCodeAt(i), 16777619) >>> 0;
    }
    return hash.toString(36).slice(-hashLength);
};

/** Addresses that callers take of one answer. */
const addressesAtMost = 64;
/** More than any fleet has, so that only demand and members bound a host's entry VMs. */
const mostTenths = 10_000;
/** Base 36: a clash among a dozen hosts in one of a million deployments. */
const hashLength = 5;
const keys: readonly string[] = ["d0", "d1", "d2"];
/** Pairs of at most 11 characters in a payload's value of at most 64. */
const pairsPerKey = 5;
/** Rates over less would be noise. */
const leastPeriodMs = 100;
/** Part of the slots in use on an ordinary day. */
const usualUse = 0.5;
/** Time for which an ordinary request uses a slot. */
const usualCallMs = 200;
const msPerSecond = 1_000;
