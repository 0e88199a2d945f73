/** Divides a route's requests among its services in proportion to their weights. */

import type { Destination, Route } from "@bramleymoor/model/route";

/** Smooth weighted round robin: in any run of requests each service's count is within one of its share. */
export class TrafficSplit {
    readonly #destinations: readonly Destination[];
    readonly #currentWeights: number[];
    readonly #totalWeight: number;

    /** @param offset start within the cycle, 0 to 1; a random one keeps many entry VMs from starting alike */
    constructor(destinations: readonly Destination[], offset: number) {
        this.#destinations = destinations;
        this.#totalWeight = destinations.reduce((sum, it) => sum + it.weight, 0);
        this.#currentWeights = destinations.map(it => it.weight * offset);
    }

    /** Returns the service of the next request. */
    next(): string {
        let best = 0;
        this.#destinations.forEach((it, i) => {
            const currentWeight = (this.#currentWeights[i] ?? 0) + it.weight;
            this.#currentWeights[i] = currentWeight;
            if (currentWeight > (this.#currentWeights[best] ?? 0)) {
                best = i;
            }
        });
        this.#currentWeights[best] = (this.#currentWeights[best] ?? 0) - this.#totalWeight;
        return this.#destinations[best]?.service ?? "";
    }
}

/** Traffic splits of all routes; a route's split continues over configuration versions that keep its weights. */
export class TrafficSplits {
    readonly #splits = new Map<string, { readonly key: string; readonly split: TrafficSplit }>();

    /** Returns the service of the route's next request; `random` places the start of a new split. */
    chooseService(route: Route, random: () => number): string {
        const [only] = route.destinations;
        if (only && route.destinations.length === 1) {
            return only.service;
        }
        const id = `${route.host}${route.pathPrefix}`;
        const key = route.destinations.map(it => `${it.service}=${it.weight}`).join(" ");
        const known = this.#splits.get(id);
        if (known?.key === key) {
            return known.split.next();
        }
        const split = new TrafficSplit(route.destinations, random());
        this.#splits.set(id, { key, split });
        return split.next();
    }
}
