/** The weight that an entry VM sets for itself so that its load stays near the mean. */

import xxhash from "xxhash-wasm";

const hashes = await xxhash();

/** Settings of `WeightController`. */
export interface WeightSettings {
    /** Calls per second that the entry VM can handle. */
    readonly maxCallsPerSecond: number;
    /** The weight is adjusted only while the own or the mean load is above this share of `maxCallsPerSecond`. */
    readonly minLoadShare: number;
    /** Above this share of `maxCallsPerSecond`, each step halves the weight. */
    readonly overloadShare: number;
    /** No adjustment while the load divided by the mean differs from 1 by this or less. */
    readonly deadBand: number;
    /** A step multiplies the weight by (mean / load) to the power of this. */
    readonly gain: number;
    readonly minWeight: number;
    readonly maxWeight: number;
    /** Minimum time between two steps in milliseconds; about half of the steps are skipped. */
    readonly stepMs: number;
}

/** Settings for small entry VMs. */
export const weightDefaults: WeightSettings = {
    maxCallsPerSecond: 8000,
    minLoadShare: 0.4,
    overloadShare: 0.95,
    deadBand: 0.2,
    gain: 0.3,
    minWeight: 0.1,
    maxWeight: 4,
    stepMs: 20_000,
};

/** Adjusts one entry VM's weight slowly towards an even load; peers use the weight as announced. */
export class WeightController {
    readonly #id: string;
    readonly #settings: WeightSettings;
    #weight = 1;
    #lastStepAt = -Infinity;

    /** @param id determines which steps are skipped, so that not all entry VMs adjust at the same time */
    constructor(id: string, settings: WeightSettings = weightDefaults) {
        this.#id = id;
        this.#settings = settings;
    }

    /** The weight to announce to the peers; 1 at the start. */
    get weight(): number {
        return this.#weight;
    }

    /** Updates the weight from this entry VM's load and the mean load, in calls per second, and returns it. */
    update(load: number, meanLoad: number, now: number): number {
        if (now - this.#lastStepAt >= this.#settings.stepMs) {
            this.#lastStepAt = now;
            this.#step(load, meanLoad, now);
        }
        return this.#weight;
    }

    #step(load: number, meanLoad: number, now: number): void {
        if (load > this.#settings.overloadShare * this.#settings.maxCallsPerSecond) {
            this.#setWeight(this.#weight / 2);
        } else if (this.#isBusy(load, meanLoad) && this.#isActiveStep(now)) {
            this.#setWeight(this.#weight * this.#factor(load / meanLoad));
        }
    }

    #isBusy(load: number, meanLoad: number): boolean {
        return Math.max(load, meanLoad) > this.#settings.minLoadShare * this.#settings.maxCallsPerSecond;
    }

    #isActiveStep(now: number): boolean {
        return hashes.h32(`${this.#id}\n${Math.floor(now / this.#settings.stepMs)}`) % 2 === 0;
    }

    #factor(ratio: number): number {
        if (Math.abs(ratio - 1) <= this.#settings.deadBand) {
            return 1;
        }
        return Math.min(2, Math.max(0.5, ratio ** -this.#settings.gain));
    }

    /** Rounds the weight to two digits, so that the peers' records don't change with every step. */
    #setWeight(weight: number): void {
        const bounded = Math.min(this.#settings.maxWeight, Math.max(this.#settings.minWeight, weight));
        this.#weight = Math.round(bounded * 100) / 100;
    }
}
