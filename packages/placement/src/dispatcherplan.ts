/** How many dispatchers a service has and how its callers are distributed over them. */

import type { Service } from "@bramleymoor/model/spec";

/** A service with fewer slots has one active dispatcher and one standby. */
export const minSlotsToSplit = 100;

/** Minimum number of dispatchers of a service with enough slots to be split. */
const minDispatchersWhenSplit = 3;

/** Number of dispatchers of a service, and whether all of them get callers. */
export interface DispatcherPlan {
    readonly dispatchers: number;
    /** Whether callers are distributed evenly over all dispatchers; otherwise they use the first reachable one. */
    readonly balanced: boolean;
}

/**
 * Returns the plan for a service.
 *
 * @param needed number of dispatchers that the call rate requires
 * @param minimum lower limit for the dispatchers of any service
 */
export const planDispatchers = (service: Service, needed: number, minimum: number): DispatcherPlan => {
    const slots = service.servers.reduce((sum, server) => sum + server.slots, 0);
    const dispatchers = Math.max(needed, slots >= minSlotsToSplit ? minDispatchersWhenSplit : minimum);
    return { dispatchers, balanced: dispatchers > minimum };
};
