/** Limits the probes that all entry VMs together send to the backend servers of a service. */

/** What an entry VM knows of the whole fleet when it computes its part of a service's probes. */
export interface FleetDemand {
    /** Number of the service's backend servers. */
    readonly servers: number;
    /** Requests per second for the service at the known entry VMs; undefined while that isn't known. */
    readonly requestsPerSecond: number | undefined;
    /** Number of entry VMs whose requests are included. */
    readonly knownEntryVms: number;
    /** Number of entry VMs that may be sending, whether known or not; Infinity if there is no telling. */
    readonly entryVms: number;
}

/**
 * One entry VM's part of a service's probes: for each of its requests a number that every entry VM derives from the
 * demand of all, and an equal share of the rest.
 */
export class ProbeBudget {
    #perServerPerSecond: number;
    #tokens = 0;
    #maxTokens = maxPerRequest;
    #refilledAt: number;
    #perRequest = initialPerRequest;
    #perSecond = 0;

    /** @param perServerPerSecond maximum probes per second to each server on average, from all entry VMs together */
    constructor(perServerPerSecond: number, now: number) {
        this.#perServerPerSecond = perServerPerSecond;
        this.#refilledAt = now;
    }

    /** Probes that may be sent for each request of this entry VM, on average. */
    get perRequest(): number {
        return this.#perRequest;
    }

    /** Changes the maximum; takes effect with the next `update`. */
    setLimit(perServerPerSecond: number): void {
        this.#perServerPerSecond = perServerPerSecond;
    }

    /**
     * Computes this entry VM's part anew. Entry VMs that it doesn't know, as after a network partition, are assumed to
     * have as many requests as the known ones.
     *
     * @param ownRequestsPerSecond requests for the service that this entry VM gets
     */
    update(fleet: FleetDemand, ownRequestsPerSecond: number, now: number): void {
        this.#refill(now);
        const total = this.#perServerPerSecond * fleet.servers * safetyFactor;
        const unknownFactor = Math.max(1, fleet.entryVms / Math.max(1, fleet.knownEntryVms));
        const demand = Math.max(1, fleet.requestsPerSecond ?? Infinity) * unknownFactor;
        this.#perSecond = (total * equalShare) / Math.max(1, fleet.entryVms);
        this.#perRequest = Math.min(maxPerRequest, (total * (1 - equalShare)) / demand);
        this.#maxTokens = Math.max(
            maxPerRequest,
            (this.#perSecond + ownRequestsPerSecond * this.#perRequest) * bucketSeconds,
        );
    }

    /** Adds what a request contributes. */
    recordRequest(now: number): void {
        this.#refill(now);
        this.#add(this.#perRequest);
    }

    /** Debits one probe and returns true, or returns false if the budget is used up. */
    tryTake(now: number): boolean {
        this.#refill(now);
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }

    /** Debits a probe that has been sent anyway, and that later ones have to make up for. */
    recordUnplanned(): void {
        this.#tokens--;
    }

    #refill(now: number): void {
        this.#add((Math.max(0, now - this.#refilledAt) * this.#perSecond) / msPerSecond);
        this.#refilledAt = now;
    }

    #add(tokens: number): void {
        this.#tokens = Math.min(this.#maxTokens, this.#tokens + tokens);
    }
}

/** Share of the maximum that is used: demand is known with a delay, and servers come and go. */
const safetyFactor = 0.75;
/** Share of the budget that is divided equally, for entry VMs whose requests the others don't know of. */
const equalShare = 0.25;
/** Applies until the first update, while neither demand nor members are known. */
const initialPerRequest = 1;
/** As many as the servers that are compared for one request. */
const maxPerRequest = 3;
/** Length of a burst that unused probes may serve. */
const bucketSeconds = 1;
const msPerSecond = 1_000;
