/** Random numbers, handed in so that every decision can be repeated. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A source of random numbers. */
export interface Random {
    /** The next number, uniform in [0, 1). */
    next(): number;
}

/** Random numbers from a seed: the same seed gives the same numbers. */
export class SeededRandom implements Random {
    readonly #generator: RandomGenerator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    next(): number {
        return uniformFloat64(this.#generator);
    }
}
