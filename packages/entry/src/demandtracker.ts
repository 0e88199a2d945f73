/** Calls per second of each service as its dispatchers report them, and how many dispatchers it wants. */

import { DispatcherScaler } from "@bramleymoor/placement/scaler";

const rateLifeMs = 15_000;

interface Rate {
    readonly perSecond: number;
    readonly heardAt: number;
}

/** Adds up what a service's dispatchers see. */
export class DemandTracker {
    readonly #demand = new DispatcherScaler();
    readonly #rates = new Map<string, Map<string, Rate>>();

    /** Takes the calls per second that one dispatcher of a service sees. */
    recordRate(service: string, vm: string, perSecond: number, now: number): void {
        const rates = this.#rates.get(service) ?? new Map<string, Rate>();
        rates.set(vm, { perSecond, heardAt: now });
        this.#rates.set(service, rates);
    }

    /** Dispatchers that the service wants. */
    dispatchersFor(service: string): number {
        return this.#demand.dispatchersFor(service);
    }

    /** Drops old rates and takes the sums of the others as the demand. */
    update(now: number): void {
        for (const [service, rates] of this.#rates) {
            let sum = 0;
            for (const [vm, rate] of rates) {
                if (now - rate.heardAt > rateLifeMs) {
                    rates.delete(vm);
                } else {
                    sum += rate.perSecond;
                }
            }
            this.#demand.observe(service, sum, now);
        }
    }

    /** Forgets services that the accepted text no longer has. */
    retainServices(services: ReadonlyMap<string, unknown>): void {
        for (const service of this.#rates.keys()) {
            if (!services.has(service)) {
                this.#rates.delete(service);
            }
        }
        this.#demand.retainServices(new Set(services.keys()));
    }
}
