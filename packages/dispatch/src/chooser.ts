/** Algorithms that choose among a service's backend servers; the operators' configuration names one. */

import type { ChooserName } from "@bramleymoor/model/spec";
import type { Random } from "./random.js";
import type { ServerState } from "./server.js";

/** Chooses the server of a request. */
export interface Chooser {
    /** Whether a call is sent as soon as it arrives, even without a free slot; else it waits for a free slot. */
    readonly earlyBinding: boolean;
    /** Returns one of the candidates, of which there is at least one. */
    choose(candidates: readonly ServerState[], now: number): ServerState;
}

/** The default: among servers with a free slot, the one least likely to be slow. */
export class LateBinding implements Chooser {
    readonly earlyBinding = false;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[], now: number): ServerState {
        return leastBy(candidates, it => it.slowLogOdds(now), this.#random);
    }
}

/** A random server. */
export class RandomChoice implements Chooser {
    readonly earlyBinding = true;
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
    readonly earlyBinding = true;
    #nextIndex: number;

    constructor(random: Random) {
        this.#nextIndex = Math.floor(random.next() * maxStartIndex);
    }

    choose(candidates: readonly ServerState[]): ServerState {
        return candidateAt(candidates, this.#nextIndex++ % candidates.length);
    }
}

/** The less loaded of two random servers, according to their latest load reports. */
export class TwoChoices implements Chooser {
    readonly earlyBinding = true;
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

/** The server with the fewest requests of this dispatcher in flight. */
export class LeastOutstanding implements Chooser {
    readonly earlyBinding = true;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[]): ServerState {
        return leastBy(candidates, it => it.inFlight, this.#random);
    }
}

/** The cheaper of two random servers: peak-sensitive latency average times requests in flight. */
export class PeakEwma implements Chooser {
    readonly earlyBinding = true;
    readonly #random: Random;

    constructor(random: Random) {
        this.#random = random;
    }

    choose(candidates: readonly ServerState[], now: number): ServerState {
        const first = pickOne(candidates, this.#random);
        const second = pickOne(candidates, this.#random);
        const cost = (it: ServerState): number => it.peakLatencyMs(now) * (it.inFlight + 1);
        return cost(second) < cost(first) ? second : first;
    }
}

/** Makes the chooser of the given name. */
export const makeChooser = (name: ChooserName, random: Random): Chooser => new classes[name](random);

const classes: Readonly<Record<ChooserName, new (random: Random) => Chooser>> = {
    "late-binding": LateBinding,
    random: RandomChoice,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "least-outstanding": LeastOutstanding,
    "peak-ewma": PeakEwma,
};

const reportedLoad = (state: ServerState): number => (state.loadReport?.inFlight ?? 0) / state.server.slots;

const candidateAt = (candidates: readonly ServerState[], index: number): ServerState => {
    const found = candidates[index];
    if (!found) {
        throw new Error("no candidates to choose from");
    }
    return found;
};

const pickOne = (candidates: readonly ServerState[], random: Random): ServerState =>
    candidateAt(candidates, Math.floor(random.next() * candidates.length));

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

const maxStartIndex = 1_000;
