/** Divides a route's requests among its services in proportion to their weights. */

import type { Destination, Route } from "@bramleymoor/model/route";

/** Smooth weighted round robin: a run of requests deviates from each share by less than one request. */
export class TrafficSplit {
    readonly #destinations: readonly Destination[];
    readonly #credit: number[];
    readonly #total: number;

    /** @param offset 0 to 1: where in the cycle to start, so that many entry VMs don't all begin alike */
    constructor(destinations: readonly Destination[], offset: number) {
        this.#destinations = destinations;
        this.#total = destinations.reduce((sum, it) => sum + it.weight, 0);
        this.#credit = destinations.map(it => it.weight * offset);
    }

    /** The service of the next request. */
    next(): string {
        let best = 0;
        this.#destinations.forEach((it, i) => {
            const credit = (this.#credit[i] ?? 0) + it.weight;
            this.#credit[i] = credit;
            if (credit > (this.#credit[best] ?? 0)) {
                best = i;
            }
        });
        this.#credit[best] = (this.#credit[best] ?? 0) - this.#total;
        return this.#destinations[best]?.service ?? "";
    }
}

/** The splits of all routes, kept over versions of the configuration that don't change their weights. */
export class TrafficSplits {
    readonly #splits = new Map<string, { readonly key: string; readonly split: TrafficSplit }>();

    /** The service that gets this request. */
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
