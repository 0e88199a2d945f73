/** Which entry VMs dispatch a service, and in which order one caller should try them. */

import type { EntryVm } from "@bramleymoor/model/vm";
import xxhash from "xxhash-wasm";

const hashes = await xxhash();

/** Entry VMs that dispatch a service at least, one in each of two failure domains where there are two. */
export const leastDispatchers = 2;

/**
 * Entry VMs that dispatch `service`, first the one that weighs most. A longer `want` only appends, and a member
 * that joins or leaves moves only the places that it takes or gives up. Suspect, leaving and dead entry VMs are
 * out. An answer is a belief: two entry VMs with other lists of members may disagree without harm.
 *
 * @param want how many entry VMs to name; fewer are named when there are fewer
 * @param limit calls per second above which an entry VM comes last
 */
export const place = (
    service: string,
    vms: readonly EntryVm[],
    want: number,
    limit: number = Infinity,
): readonly EntryVm[] => {
    const ranked = rank(service, vms.filter(mayDispatch), limit);
    const first = ranked[0];
    const other = ranked.find(vm => first !== undefined && !sameDomain(vm, first));
    if (!first || !other) {
        return ranked.slice(0, want);
    }
    const rest = ranked.filter(vm => vm !== first && vm !== other);
    return [first, other, ...rest].slice(0, want);
};

/** The share of a service that `self` dispatches, for placed entry VMs in `place`'s order; undefined if none. */
export const shareOf = (
    self: Pick<EntryVm, "id">,
    placed: readonly EntryVm[],
): { readonly index: number; readonly count: number } | undefined => {
    const index = placed.findIndex(vm => vm.id === self.id);
    return index === -1 ? undefined : { index, count: placed.length };
};

/** The placed entry VMs in the order for one asking caller; callers spread evenly over first places. */
export const orderFor = (asker: string, placed: readonly EntryVm[]): readonly EntryVm[] => {
    return rank(asker, placed, Infinity);
};

interface Ranked {
    readonly vm: EntryVm;
    readonly full: boolean;
    readonly weight: number;
}

const rank = (key: string, vms: readonly EntryVm[], limit: number): readonly EntryVm[] => {
    const ranked = vms.map(vm => ({ vm, full: vm.load > limit, weight: weightOf(key, vm) }));
    ranked.sort(byWeight);
    return ranked.map(entry => entry.vm);
};

const byWeight = (a: Ranked, b: Ranked): number => {
    if (a.full !== b.full) {
        return a.full ? 1 : -1;
    }
    return b.weight - a.weight || (a.vm.id < b.vm.id ? -1 : 1);
};

const weightOf = (key: string, vm: EntryVm): number => hashes.h32(`${key}\n${vm.id}`);

const mayDispatch = (vm: EntryVm): boolean => vm.state === "alive";

const sameDomain = (a: EntryVm, b: EntryVm): boolean => {
    return a.place.region === b.place.region && a.place.domain === b.place.domain;
};
