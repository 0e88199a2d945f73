/** Limits the probes that all entry VMs together send to the backend servers of a service. */

import { totalDemand, type FleetDemand } from "./fleetdemand.js";

/**
 * One entry VM's part of a service's probes: for each of its requests a number that every entry VM derives from the
 * demand of all, and an equal share of the rest.
 */
export class ProbeBudget {
    #perServerPerSecond: number;
    #tokens = 0;
    /** Number of requests of about the last second, each counted less the longer ago it was. */
    #recentRequests = 0;
    #refilledAt: number;
    #perRequest = maxPerRequest;
    #perSecond = 0;
    readonly #createdAt: number;

    /** @param perServerPerSecond maximum probes per second to each server on average, from all entry VMs together */
    constructor(perServerPerSecond: number, now: number) {
        this.#perServerPerSecond = perServerPerSecond;
        this.#refilledAt = now;
        this.#createdAt = now;
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
     * Computes this entry VM's part anew. While an entry VM that has just started knows no others, all of its requests
     * may be preceded by probes: without any load report it would send them to servers that are full.
     *
     * @param servers number of the service's backend servers
     */
    update(fleet: FleetDemand, servers: number, now: number): void {
        this.#refill(now);
        if (fleet.entryVms === Infinity && now - this.#createdAt < startupMs) {
            return;
        }
        const total = this.#perServerPerSecond * servers * safetyFactor;
        this.#perSecond = (total * equalShare) / Math.max(1, fleet.entryVms);
        this.#perRequest = Math.min(maxPerRequest, (total * (1 - equalShare)) / totalDemand(fleet));
    }

    /** Adds what a request contributes; to be called once per request, as retries aren't part of the demand. */
    recordRequest(now: number): void {
        this.#refill(now);
        this.#recentRequests++;
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
        const elapsedMs = Math.max(0, now - this.#refilledAt);
        this.#refilledAt = now;
        this.#recentRequests *= Math.exp(-elapsedMs / bucketMs);
        this.#add((this.#perSecond * elapsedMs) / msPerSecond);
    }

    /** Adds probes, up to what a second contributes. */
    #add(tokens: number): void {
        const maxTokens =
            (this.#perSecond * bucketMs) / msPerSecond + this.#recentRequests * this.#perRequest;
        this.#tokens = Math.min(Math.max(maxPerRequest, maxTokens), this.#tokens + tokens);
    }
}

/** Share of the maximum that is used: demand is known with a delay, and servers come and go. */
const safetyFactor = 0.75;
/** Share of the budget that is divided equally, for entry VMs whose requests the others don't know of. */
const equalShare = 0.25;
/** Time from the start within which an entry VM usually meets the others. */
const startupMs = 5_000;
/** Several rounds of comparing servers, as a request may need to find a free one while most are busy. */
const maxPerRequest = 10;
/** Time for which probes that aren't used may be used later. */
const bucketMs = 1_000;
const msPerSecond = 1_000;
