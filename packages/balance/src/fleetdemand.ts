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
 * that aren't known, as after a network partition, are assumed to have as many requests as the known ones.
 */
export const totalDemand = ({ requestsPerSecond, knownEntryVms, entryVms }: FleetDemand): number =>
    Math.max(1, requestsPerSecond ?? Infinity) * Math.max(1, entryVms / Math.max(1, knownEntryVms));

/** Returns this entry VM's part of the known requests for the service, from 0 to 1; 1 while that isn't known. */
export const knownDemandShare = ({ ownRequestsPerSecond, requestsPerSecond }: FleetDemand): number =>
    requestsPerSecond === undefined || requestsPerSecond <= 0
        ? 1
        : Math.min(1, ownRequestsPerSecond / requestsPerSecond);
