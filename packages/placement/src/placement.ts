/** Which entry VMs dispatch a service, and the order in which a caller tries them. */

import type { EntryVm } from "@bramleymoor/model/vm";
import xxhash from "xxhash-wasm";

const hashes = await xxhash();

/** Minimum number of dispatchers of a service, in two failure domains if there are two. */
export const minDispatchers = 2;

/**
 * Returns the entry VMs that dispatch `service`, in order of their weighted hash. A larger `count` only appends,
 * and a member that joins or leaves changes only the positions that it takes or gives up. Suspect, leaving and
 * dead entry VMs are excluded. Entry VMs with different member lists may get different results without harm.
 *
 * @param count how many entry VMs to return; fewer if fewer are eligible
 * @param weightOf returns the weight that an entry VM has set for itself; the default is 1
 */
export const selectEntryVms = (
    service: string,
    vms: readonly EntryVm[],
    count: number,
    weightOf: (vm: EntryVm) => number = () => 1,
): readonly EntryVm[] => {
    const ranked = rankByHash(service, vms.filter(isEligible), weightOf);
    const first = ranked[0];
    const second = ranked.find(vm => first !== undefined && !sameDomain(vm, first));
    if (!first || !second) {
        return ranked.slice(0, count);
    }
    const rest = ranked.filter(vm => vm !== first && vm !== second);
    return [first, second, ...rest].slice(0, count);
};

/** Returns the share of a service that `self` dispatches, by its position in `selected`; undefined if absent. */
export const shareOf = (
    self: Pick<EntryVm, "id">,
    selected: readonly EntryVm[],
): { readonly index: number; readonly count: number } | undefined => {
    const index = selected.findIndex(vm => vm.id === self.id);
    return index === -1 ? undefined : { index, count: selected.length };
};

/** Returns the selected entry VMs in the order for one caller; first positions are even over all callers. */
export const orderForCaller = (caller: string, selected: readonly EntryVm[]): readonly EntryVm[] => {
    return rankByHash(caller, selected, () => 1);
};

/** Returns an entry VM's rank for a key, from 0 to 1; ranks of different keys are independent. */
export const hashRank = (key: string, vmId: string): number =>
    (hashes.h32(`${key}\n${vmId}`) + 0.5) / hashRange;

interface RankedVm {
    readonly vm: EntryVm;
    readonly score: number;
}

const hashRange = 2 ** 32;

const rankByHash = (
    key: string,
    vms: readonly EntryVm[],
    weightOf: (vm: EntryVm) => number,
): readonly EntryVm[] => {
    const ranked = vms.map(vm => ({ vm, score: scoreOf(key, vm, weightOf(vm)) }));
    ranked.sort(byScore);
    return ranked.map(entry => entry.vm);
};

const byScore = (a: RankedVm, b: RankedVm): number => b.score - a.score || (a.vm.id < b.vm.id ? -1 : 1);

/** Weighted rendezvous hashing: the probability that an entry VM is first is proportional to its weight. */
const scoreOf = (key: string, vm: EntryVm, weight: number): number =>
    -weight / Math.log(hashRank(key, vm.id));

const isEligible = (vm: EntryVm): boolean => vm.state === "alive";

const sameDomain = (a: EntryVm, b: EntryVm): boolean => {
    return a.place.region === b.place.region && a.place.domain === b.place.domain;
};
