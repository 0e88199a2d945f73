/** Which entry VMs dispatch a service, and in which order one caller should try them. */

import type { EntryVm } from "@bramleymoor/model/vm";
import xxhash from "xxhash-wasm";

const hashes = await xxhash();

/** Entry VMs that dispatch a service at least, one in each of two failure domains where there are two. */
export const minDispatchers = 2;

/**
 * Entry VMs that dispatch `service`, first the one that weighs most. A longer `want` only appends, and a member
 * that joins or leaves moves only the places that it takes or gives up. Suspect, leaving and dead entry VMs are
 * out. An answer is a belief: two entry VMs with other lists of members may disagree without harm.
 *
 * @param want how many entry VMs to name; fewer are named when there are fewer
 * @param weightOf the weight that each entry VM has set itself, 1 for an ordinary one
 */
export const selectEntryVms = (
    service: string,
    vms: readonly EntryVm[],
    want: number,
    weightOf: (vm: EntryVm) => number = () => 1,
): readonly EntryVm[] => {
    const ranked = rank(service, vms.filter(mayDispatch), weightOf);
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
export const orderForCaller = (asker: string, placed: readonly EntryVm[]): readonly EntryVm[] => {
    return rank(asker, placed, () => 1);
};

interface Ranked {
    readonly vm: EntryVm;
    readonly score: number;
}

const hashRange = 2 ** 32;

const rank = (
    key: string,
    vms: readonly EntryVm[],
    weightOf: (vm: EntryVm) => number,
): readonly EntryVm[] => {
    const ranked = vms.map(vm => ({ vm, score: scoreOf(key, vm, weightOf(vm)) }));
    ranked.sort(byScore);
    return ranked.map(entry => entry.vm);
};

const byScore = (a: Ranked, b: Ranked): number => b.score - a.score || (a.vm.id < b.vm.id ? -1 : 1);

/** Weighted rendezvous hashing: an entry VM comes first with a probability in proportion to its weight. */
const scoreOf = (key: string, vm: EntryVm, weight: number): number => {
    const uniform = (hashes.h32(`${key}\n${vm.id}`) + 0.5) / hashRange;
    return -weight / Math.log(uniform);
};

const mayDispatch = (vm: EntryVm): boolean => vm.state === "alive";

const sameDomain = (a: EntryVm, b: EntryVm): boolean => {
    return a.place.region === b.place.region && a.place.domain === b.place.domain;
};
