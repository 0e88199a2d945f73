/** Calls per second of each service, as reported by its dispatchers, and the number of dispatchers that it needs. */

import { DispatcherScaler } from "@bramleymoor/placement/scaler";

/** A reported rate counts for this long, in milliseconds. */
const rateExpiryMs = 15_000;

interface Rate {
    readonly perSecond: number;
    readonly receivedAt: number;
}

/** Sums the rates that each service's dispatchers report and scales its dispatchers by the sum. */
export class DemandTracker {
    readonly #scaler = new DispatcherScaler();
    readonly #rates = new Map<string, Map<string, Rate>>();

    /** Records the calls per second that one dispatcher of a service receives. */
    recordRate(service: string, vm: string, perSecond: number, now: number): void {
        const rates = this.#rates.get(service) ?? new Map<string, Rate>();
        rates.set(vm, { perSecond, receivedAt: now });
        this.#rates.set(service, rates);
    }

    /** Returns the number of dispatchers that the service needs. */
    dispatchersFor(service: string): number {
        return this.#scaler.dispatchersFor(service);
    }

    /** Removes expired rates and applies the sum of the others as each service's demand. */
    update(now: number): void {
        for (const [service, rates] of this.#rates) {
            let sum = 0;
            for (const [vm, rate] of rates) {
                if (now - rate.receivedAt > rateExpiryMs) {
                    rates.delete(vm);
                } else {
                    sum += rate.perSecond;
                }
            }
            this.#scaler.observe(service, sum, now);
        }
    }

    /** Removes services that the accepted configuration no longer has. */
    retainServices(services: ReadonlyMap<string, unknown>): void {
        for (const service of this.#rates.keys()) {
            if (!services.has(service)) {
                this.#rates.delete(service);
            }
        }
        this.#scaler.retainServices(new Set(services.keys()));
    }
}
