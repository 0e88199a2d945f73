/** The demand for one service over the whole fleet, from which an entry VM computes its part of what all of them may send. */

/** What an entry VM knows of the demand for a service. */
export interface FleetDemand {
    /** Requests per second for the service at this entry VM. */
    readonly ownRequestsPerSecond: number;
    /** Requests per second for the service at the known entry VMs; undefined while that isn't known. */
    readonly requestsPerSecond: number | undefined;
    /** Number of entry VMs whose requests are included. */
    readonly knownEntryVms: number;
    /** Number of entry VMs that may be sending, whether known or not; Infinity if there is no telling. */
    readonly entryVms: number;
}

/**
 * Returns the requests per second for the service at all entry VMs, at least 1; Infinity if there is no telling. Entry VMs
 * that aren't known, as after a network partition, are assumed to have as many requests as the known ones, this one
 * included: for a bound an estimate that is too high does no harm.
 */
export const totalDemand = ({ requestsPerSecond, knownEntryVms, entryVms }: FleetDemand): number =>
    Math.max(1, requestsPerSecond ?? Infinity) * Math.max(1, entryVms / Math.max(1, knownEntryVms));

/**
 * Returns this entry VM's part of the requests for the service, from 0 to 1; 1 while that isn't known. Demand takes long to
 * reach all members of a large fleet, so the other entry VMs are assumed to have as many requests as the known ones of them.
 * It may be outdated and so too high, which costs latency only; no bound may depend on it.
 */
export const demandShare = (fleet: FleetDemand): number => {
    const { ownRequestsPerSecond: own, requestsPerSecond: known, knownEntryVms, entryVms } = fleet;
    if (known === undefined || known <= 0 || entryVms === Infinity) {
        return 1;
    }
    const unknownFactor = knownEntryVms > 1 ? Math.max(1, (entryVms - 1) / (knownEntryVms - 1)) : 1;
    return Math.min(1, own / (own + Math.max(0, known - own) * unknownFactor));
};
