/** How a service's callers are spread over its dispatchers, by the size of the service. */

import type { Service } from "@bramleymoor/model/spec";

/** A service with fewer slots is dispatched by one entry VM, with another one standing by. */
export const minSlotsToSplit = 100;

/** Dispatchers of a service whose slots are enough to be split. */
const splitDispatchers = 3;

/** Dispatchers of a service at least, and whether all of them get callers. */
export interface DispatcherPlan {
    readonly dispatchers: number;
    /** Callers go to all dispatchers evenly; otherwise to the first one while it can be reached. */
    readonly balanced: boolean;
}

/**
 * The spread for a service.
 *
 * @param wanted dispatchers that its demand asks for
 * @param usual dispatchers of any service at least
 */
export const planDispatchers = (service: Service, wanted: number, usual: number): DispatcherPlan => {
    const slots = service.servers.reduce((sum, server) => sum + server.slots, 0);
    const least = Math.max(wanted, slots >= minSlotsToSplit ? splitDispatchers : usual);
    return { dispatchers: least, balanced: least > usual };
};
