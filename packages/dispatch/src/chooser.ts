/** Ways of choosing among a service's backend servers; the text selects one by name. */

import type { ChooserName } from "@bramleymoor/model/spec";
import type { Random } from "./random.js";
import type { ServerState } from "./server.js";

/** One way of choosing. */
export interface Chooser {
    /** Sends a call as soon as it comes, slot or no slot; else only servers with a free slot are offered. */
    readonly early: boolean;
    /** Picks one of the candidates, of which there is at least one. */
    choose(candidates: readonly ServerState[], now: number): ServerState;
}

/** The one that ships: among servers with a free slot, the one least likely to be slow. */
export class LateBinding implements Chooser {
    readonly early = false;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[], now: number): ServerState {
        return leastBy(candidates, it => it.slowOdds(now), this.#random);
    }
}

/** Any server. */
export class RandomChoice implements Chooser {
    readonly early = true;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[]): ServerState {
        return pickOne(candidates, this.#random);
    }
}

/** Each server in turn. */
export class RoundRobin implements Chooser {
    readonly early = true;
    #turn: number;

    constructor(random: Random) {
        this.#turn = Math.floor(random.next() * maxStartTurn);
    }

    choose(candidates: readonly ServerState[]): ServerState {
        return at(candidates, this.#turn++ % candidates.length);
    }
}

/** The less loaded of two random servers, by their latest reports. */
export class TwoChoices implements Chooser {
    readonly early = true;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[]): ServerState {
        const first = pickOne(candidates, this.#random);
        const second = pickOne(candidates, this.#random);
        return reportedLoad(second) < reportedLoad(first) ? second : first;
    }
}

/** The server with the fewest requests of this dispatcher. */
export class LeastOutstanding implements Chooser {
    readonly early = true;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[]): ServerState {
        return leastBy(candidates, it => it.inFlight, this.#random);
    }
}

/** The lower of two servers' costs: peak-sensitive latency average times requests in flight. */
export class PeakEwma implements Chooser {
    readonly early = true;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[], now: number): ServerState {
        const first = pickOne(candidates, this.#random);
        const second = pickOne(candidates, this.#random);
        const cost = (it: ServerState): number => it.peakLatency(now) * (it.inFlight + 1);
        return cost(second) < cost(first) ? second : first;
    }
}

/** The chooser that the text names. */
export const makeChooser = (name: ChooserName, random: Random): Chooser => new classes[name](random);

const classes: Readonly<Record<ChooserName, new (random: Random) => Chooser>> = {
    "late-binding": LateBinding,
    random: RandomChoice,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "least-outstanding": LeastOutstanding,
    "peak-ewma": PeakEwma,
};

const reportedLoad = (state: ServerState): number => (state.reported?.inFlight ?? 0) / state.server.slots;

const at = (candidates: readonly ServerState[], index: number): ServerState => {
    const found = candidates[index];
    if (!found) {
        throw new Error("no candidates to choose from");
    }
    return found;
};

const pickOne = (candidates: readonly ServerState[], random: Random): ServerState =>
    at(candidates, Math.floor(random.next() * candidates.length));

const leastBy = (
    candidates: readonly ServerState[],
    cost: (state: ServerState) => number,
    random: Random,
): ServerState => {
    const least = candidates.reduce((min, it) => Math.min(min, cost(it)), Infinity);
    return pickOne(
        candidates.filter(it => cost(it) === least),
        random,
    );
};

const maxStartTurn = 1_000;
