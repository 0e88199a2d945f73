/** How a service's callers are spread over its dispatchers, by the size of the service. */

import type { Service } from "@bramleymoor/model/spec";

/** A service with fewer slots is dispatched by one entry VM, with another one standing by. */
export const leastSlotsToSplit = 100;

/** Dispatchers of a service whose slots are enough to be split. */
const splitDispatchers = 3;

/** Dispatchers of a service at least, and whether all of them get callers. */
export interface Spread {
    readonly least: number;
    /** Callers go to all dispatchers evenly; otherwise to the first one while it can be reached. */
    readonly even: boolean;
}

/**
 * The spread for a service.
 *
 * @param wanted dispatchers that its demand asks for
 * @param usual dispatchers of any service at least
 */
export const spreadOf = (service: Service, wanted: number, usual: number): Spread => {
    const slots = service.servers.reduce((sum, server) => sum + server.slots, 0);
    const least = Math.max(wanted, slots >= leastSlotsToSplit ? splitDispatchers : usual);
    return { least, even: least > usual };
};
