/** Measures how evenly placement spreads the load, and how much of it moves when a member leaves. */

import type { EntryVm } from "@bramleymoor/model/vm";
import { selectEntryVms } from "@bramleymoor/placement/placement";
import { WeightController, weightDefaults } from "@bramleymoor/placement/weight";

/** Measurements of one size; loads are multiples of the mean. */
export interface PlacementRow {
    readonly vms: number;
    readonly services: number;
    /** Calls of one dispatcher as a share of the mean load of an entry VM. */
    readonly unit: number;
    readonly dispatchersOfHottest: number;
    readonly maxLoad: number;
    /** Greatest load in the last rounds, after the entry VMs have adjusted their weights. */
    readonly maxLoadWeighted: number;
    /** Share of calls that move to another entry VM per round, in the last rounds. */
    readonly movedPerRound: number;
    /** Share of calls that move when one entry VM leaves, and the share that it had before. */
    readonly movedByLeaving: number;
    readonly shareOfLeaving: number;
    /** Share of services that keep at least one dispatcher when computed without 5% of the members. */
    readonly overlapping: number;
}

const rounds = 120;
const lastRounds = 20;
const meanLoad = weightDefaults.maxCallsPerSecond / 2;

type Placement = ReadonlyMap<string, readonly EntryVm[]>;

const vmOf = (index: number): EntryVm => ({
    id: `vm-${index}`,
    incarnation: "a",
    place: { region: "r", domain: `d${index % 3}` },
    callerAddress: `10.0.${index >> 8}.${index & 255}:8080`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:8081`,
    state: "alive",
    load: 0,
});

/** One size: services with Zipf-distributed demand, each with as many dispatchers as its demand needs. */
class PlacementExperiment {
    readonly #vms: readonly EntryVm[];
    readonly #demands: ReadonlyMap<string, number>;
    readonly #unit: number;

    constructor(vms: number, services: number, unit: number) {
        this.#vms = Array.from({ length: vms }, (_, index) => vmOf(index));
        const ranks = Array.from({ length: services }, (_, index) => 1 / (index + 1));
        const sum = ranks.reduce((a, b) => a + b);
        const total = vms * meanLoad;
        this.#demands = new Map(ranks.map((rank, index) => [`service-${index}`, (total * rank) / sum]));
        this.#unit = unit;
    }

    measure(): PlacementRow {
        const before = this.#place(this.#vms);
        const leaving = this.#vms[this.#vms.length >> 1]!;
        const afterLeaving = this.#place(this.#vms.filter(vm => vm !== leaving));
        const loads = this.#loads(before);
        return {
            vms: this.#vms.length,
            services: this.#demands.size,
            unit: this.#unit,
            dispatchersOfHottest: before.get("service-0")?.length ?? 0,
            maxLoad: round(Math.max(...loads.values()) / meanLoad),
            ...this.#measureWeighted(),
            movedByLeaving: round(this.#movedShare(before, afterLeaving)),
            shareOfLeaving: round((loads.get(leaving.id) ?? 0) / (meanLoad * this.#vms.length)),
            overlapping: round(this.#overlapShare(before)),
        };
    }

    #measureWeighted(): { readonly maxLoadWeighted: number; readonly movedPerRound: number } {
        const controllers = new Map(this.#vms.map(vm => [vm.id, new WeightController(vm.id)]));
        const weightOf = (vm: EntryVm): number => controllers.get(vm.id)?.weight ?? 1;
        let placed = this.#place(this.#vms, weightOf);
        let maxWeighted = 0;
        let moved = 0;
        for (let now = 0; now < rounds; now++) {
            const loads = this.#loads(placed);
            controllers.forEach((control, id) =>
                control.update(loads.get(id) ?? 0, meanLoad, now * weightDefaults.stepMs),
            );
            const next = this.#place(this.#vms, weightOf);
            if (now >= rounds - lastRounds) {
                maxWeighted = Math.max(maxWeighted, ...this.#loads(next).values());
                moved += this.#movedShare(placed, next) / lastRounds;
            }
            placed = next;
        }
        return { maxLoadWeighted: round(maxWeighted / meanLoad), movedPerRound: round(moved) };
    }

    #place(vms: readonly EntryVm[], weightOf?: (vm: EntryVm) => number): Placement {
        const entries = [...this.#demands].map(([service, demand]) => {
            const dispatcherCount = Math.max(2, Math.ceil(demand / (this.#unit * meanLoad)));
            return [service, selectEntryVms(service, vms, dispatcherCount, weightOf)] as const;
        });
        return new Map(entries);
    }

    #loads(placed: Placement): ReadonlyMap<string, number> {
        const loads = new Map(this.#vms.map(vm => [vm.id, 0]));
        for (const [service, vms] of placed) {
            const each = (this.#demands.get(service) ?? 0) / vms.length;
            vms.forEach(vm => loads.set(vm.id, (loads.get(vm.id) ?? 0) + each));
        }
        return loads;
    }

    #movedShare(before: Placement, after: Placement): number {
        let moved = 0;
        for (const [service, vms] of after) {
            const previous = new Set(before.get(service)?.map(vm => vm.id));
            const added = vms.filter(vm => !previous.has(vm.id)).length;
            moved += ((this.#demands.get(service) ?? 0) * added) / vms.length;
        }
        return moved / (meanLoad * this.#vms.length);
    }

    #overlapShare(placed: Placement): number {
        const other = this.#place(this.#vms.filter((_, index) => index % 20 !== 7));
        const common = [...placed].filter(([service, vms]) => {
            const ids = new Set(other.get(service)?.map(vm => vm.id));
            return vms.some(vm => ids.has(vm.id));
        });
        return common.length / placed.size;
    }
}

const round = (value: number): number => Number(value.toFixed(3));

/** Measures the present and the target size, with few and with many dispatchers per service. */
export const measurePlacement = (): readonly PlacementRow[] => {
    const sizes = [
        [15, 4, 0.5],
        [15, 4, 0.25],
        [150, 380, 0.5],
        [150, 380, 0.25],
        [150, 380, 0.1],
    ] as const;
    return sizes.map(([vms, services, unit]) => new PlacementExperiment(vms, services, unit).measure());
};

/** Prints the table. */
export const run = (): Promise<void> => {
    console.table(measurePlacement());
    return Promise.resolve();
};
