/** How many entry VMs each service needs, from the calls seen. */

/** Settings of `DispatcherScaler`. */
export interface ScalerSettings {
    /** Calls per second that one entry VM should dispatch of one service. */
    readonly callsPerDispatcher: number;
    /** Dispatchers of a service at least. */
    readonly minDispatchers: number;
    /** Dispatchers of a service at most. */
    readonly maxDispatchers: number;
    /** Calls must stay below the shrinking mark for so long before a dispatcher is taken away; milliseconds. */
    readonly shrinkAfterMs: number;
}

/** Settings that suit 14 to 19 entry VMs. */
export const scalerDefaults: ScalerSettings = {
    callsPerDispatcher: 1500,
    minDispatchers: 2,
    maxDispatchers: 64,
    shrinkAfterMs: 30_000,
};

const shrinkMark = 0.7;

interface Wanted {
    readonly count: number;
    readonly lowSince: number | undefined;
}

/** Turns observed calls into a number of dispatchers; grows at once, shrinks one at a time after a delay. */
export class DispatcherScaler {
    readonly #settings: ScalerSettings;
    readonly #wanted = new Map<string, Wanted>();

    constructor(settings: ScalerSettings = scalerDefaults) {
        this.#settings = settings;
    }

    /** Dispatchers wanted of a service now. */
    dispatchersFor(service: string): number {
        return this.#wanted.get(service)?.count ?? this.#settings.minDispatchers;
    }

    /**
     * Takes the calls per second of the whole service, as one dispatcher sees it: its own calls times the number
     * of dispatchers. Returns the number of dispatchers wanted.
     */
    observe(service: string, callsPerSecond: number, now: number): number {
        const wanted = this.#wanted.get(service) ?? {
            count: this.#settings.minDispatchers,
            lowSince: undefined,
        };
        const next = this.#next(wanted, callsPerSecond, now);
        this.#wanted.set(service, next);
        return next.count;
    }

    /** Forgets services that the accepted text no longer has. */
    retainServices(services: ReadonlySet<string>): void {
        for (const service of this.#wanted.keys()) {
            if (!services.has(service)) {
                this.#wanted.delete(service);
            }
        }
    }

    #next(wanted: Wanted, callsPerSecond: number, now: number): Wanted {
        const needed = this.#clamp(Math.ceil(callsPerSecond / this.#settings.callsPerDispatcher));
        if (needed > wanted.count) {
            return { count: needed, lowSince: undefined };
        }
        if (!this.#isLow(wanted.count, callsPerSecond)) {
            return { count: wanted.count, lowSince: undefined };
        }
        const lowSince = wanted.lowSince ?? now;
        if (now - lowSince < this.#settings.shrinkAfterMs) {
            return { count: wanted.count, lowSince };
        }
        return { count: wanted.count - 1, lowSince: now };
    }

    #isLow(count: number, callsPerSecond: number): boolean {
        const after = (count - 1) * this.#settings.callsPerDispatcher;
        return count > this.#settings.minDispatchers && callsPerSecond < after * shrinkMark;
    }

    #clamp(count: number): number {
        return Math.min(this.#settings.maxDispatchers, Math.max(this.#settings.minDispatchers, count));
    }
}
