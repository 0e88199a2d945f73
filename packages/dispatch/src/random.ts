/** Random numbers, passed as arguments so that every decision is reproducible. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A source of random numbers. */
export interface Random {
    /** Returns the next number, uniform in [0, 1). */
    next(): number;
}

/** Pseudo-random numbers that are determined by a seed. */
export class SeededRandom implements Random {
    readonly #generator: RandomGenerator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    next(): number {
        return uniformFloat64(this.#generator);
    }
}
