/** The weight that an entry VM sets itself, so that it gets neither much more nor much less than the mean. */

import xxhash from "xxhash-wasm";

const hashes = await xxhash();

/** Settings of `WeightController`. */
export interface WeightSettings {
    /** Calls per second that the entry VM can carry. */
    readonly maxCallsPerSecond: number;
    /** The weight follows the load only while own or mean load is above this share of the limit. */
    readonly minLoadShare: number;
    /** Above this share of the limit the weight is halved with each step. */
    readonly overloadShare: number;
    /** A load between 1 less this and 1 more this, as a multiple of the mean, is left alone. */
    readonly deadBand: number;
    /** A step multiplies the weight by the mean over the load, to this power. */
    readonly gain: number;
    readonly minWeight: number;
    readonly maxWeight: number;
    /** Time between two steps at least; about half of them are skipped. Milliseconds. */
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

/** Moves one entry VM's weight slowly towards an even load; peers take the weight as it is told them. */
export class WeightController {
    readonly #id: string;
    readonly #settings: WeightSettings;
    #weight = 1;
    #steppedAt = -Infinity;

    /** @param id tells which steps are skipped, so that not all entry VMs step together */
    constructor(id: string, settings: WeightSettings = weightDefaults) {
        this.#id = id;
        this.#settings = settings;
    }

    /** The weight to tell the peers; 1 for an ordinary entry VM. */
    get weight(): number {
        return this.#weight;
    }

    /** Takes this entry VM's calls per second and the mean of all, and returns the weight. */
    update(load: number, meanLoad: number, now: number): number {
        if (now - this.#steppedAt >= this.#settings.stepMs) {
            this.#steppedAt = now;
            this.#step(load, meanLoad, now);
        }
        return this.#weight;
    }

    #step(load: number, meanLoad: number, now: number): void {
        if (load > this.#settings.overloadShare * this.#settings.maxCallsPerSecond) {
            this.#set(this.#weight / 2);
        } else if (this.#isBusy(load, meanLoad) && this.#isTurn(now)) {
            this.#set(this.#weight * this.#factor(load / meanLoad));
        }
    }

    #isBusy(load: number, meanLoad: number): boolean {
        return Math.max(load, meanLoad) > this.#settings.minLoadShare * this.#settings.maxCallsPerSecond;
    }

    #isTurn(now: number): boolean {
        return hashes.h32(`${this.#id}\n${Math.floor(now / this.#settings.stepMs)}`) % 2 === 0;
    }

    #factor(ratio: number): number {
        if (Math.abs(ratio - 1) <= this.#settings.deadBand) {
            return 1;
        }
        return Math.min(2, Math.max(0.5, ratio ** -this.#settings.gain));
    }

    /** Two digits are enough, and keep the peers' lists from changing with every step. */
    #set(weight: number): void {
        const bounded = Math.min(this.#settings.maxWeight, Math.max(this.#settings.minWeight, weight));
        this.#weight = Math.round(bounded * 100) / 100;
    }
}
