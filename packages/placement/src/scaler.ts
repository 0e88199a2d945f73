/** Scales the number of dispatchers of each service with its call rate. */

/** Settings of `DispatcherScaler`. */
export interface ScalerSettings {
    /** Calls per second of one service that one entry VM should dispatch. */
    readonly callsPerDispatcher: number;
    /** Minimum number of dispatchers of a service. */
    readonly minDispatchers: number;
    /** Maximum number of dispatchers of a service. */
    readonly maxDispatchers: number;
    /** How long the rate must stay below the shrink threshold before a dispatcher is removed, in milliseconds. */
    readonly shrinkAfterMs: number;
}

/** Settings for 14 to 19 entry VMs. */
export const scalerDefaults: ScalerSettings = {
    callsPerDispatcher: 1500,
    minDispatchers: 2,
    maxDispatchers: 64,
    shrinkAfterMs: 30_000,
};

/** Share of the remaining dispatchers' capacity below which one dispatcher is removed. */
const shrinkThreshold = 0.7;

interface ScalerState {
    readonly count: number;
    readonly lowSince: number | undefined;
}

/** Computes the number of dispatchers from the call rate: scales up at once, and down by one after a delay. */
export class DispatcherScaler {
    readonly #settings: ScalerSettings;
    readonly #states = new Map<string, ScalerState>();

    constructor(settings: ScalerSettings = scalerDefaults) {
        this.#settings = settings;
    }

    /** Returns the current number of dispatchers for a service. */
    dispatchersFor(service: string): number {
        return this.#states.get(service)?.count ?? this.#settings.minDispatchers;
    }

    /**
     * Records the calls per second of the whole service, as one dispatcher estimates it: its own rate multiplied by
     * the number of dispatchers. Returns the number of dispatchers needed.
     */
    observe(service: string, callsPerSecond: number, now: number): number {
        const state = this.#states.get(service) ?? {
            count: this.#settings.minDispatchers,
            lowSince: undefined,
        };
        const next = this.#nextState(state, callsPerSecond, now);
        this.#states.set(service, next);
        return next.count;
    }

    /** Removes the services that the accepted configuration no longer has. */
    retainServices(services: ReadonlySet<string>): void {
        for (const service of this.#states.keys()) {
            if (!services.has(service)) {
                this.#states.delete(service);
            }
        }
    }

    #nextState(state: ScalerState, callsPerSecond: number, now: number): ScalerState {
        const needed = this.#clamp(Math.ceil(callsPerSecond / this.#settings.callsPerDispatcher));
        if (needed > state.count) {
            return { count: needed, lowSince: undefined };
        }
        if (!this.#isLow(state.count, callsPerSecond)) {
            return { count: state.count, lowSince: undefined };
        }
        const lowSince = state.lowSince ?? now;
        if (now - lowSince < this.#settings.shrinkAfterMs) {
            return { count: state.count, lowSince };
        }
        return { count: state.count - 1, lowSince: now };
    }

    #isLow(count: number, callsPerSecond: number): boolean {
        const remainingCapacity = (count - 1) * this.#settings.callsPerDispatcher;
        return count > this.#settings.minDispatchers && callsPerSecond < remainingCapacity * shrinkThreshold;
    }

    #clamp(count: number): number {
        return Math.min(this.#settings.maxDispatchers, Math.max(this.#settings.minDispatchers, count));
    }
}
