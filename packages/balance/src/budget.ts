/** Limits retries, the sends beyond the first of each request, to a share of the requests in a sliding window. */

import { totalDemand, type FleetDemand } from "./fleetdemand.js";
import { MovingAverage } from "./movingaverage.js";

/** Limits on the retries of all entry VMs together. */
export interface RetryLimits {
    /** Retries as a share of the requests in a window. */
    readonly ratio: number;
    /** Further retries allowed in a window, over all entry VMs. */
    readonly slack: number;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
}

/**
 * One entry VM's part of a service's retries: a share of its own requests, an equal part of some of the slack, and of the
 * rest as much as it has of the service's requests. In a large fleet few entry VMs serve a service, and equal parts alone
 * would leave nearly all of the slack to those that have no use for it.
 */
export class RetryBudget {
    #limits: RetryLimits;
    readonly #requests = new WindowCounter();
    readonly #retries = new WindowCounter();
    /** This entry VM's share of the service's requests, averaged over about a window. */
    readonly #demandShare: MovingAverage;

    constructor(limits: RetryLimits) {
        this.#limits = limits;
        this.#demandShare = new MovingAverage(limits.windowMs, 0);
    }

    /** Changes the limits; requests and retries already counted remain. */
    update(limits: RetryLimits): void {
        this.#limits = limits;
    }

    /**
     * Records the present demand. The average makes one entry VM's share shrink as slowly as another's grows when requests
     * move between them, so that within a window they don't both use the whole.
     */
    updateDemand(fleet: FleetDemand, now: number): void {
        this.#demandShare.add(Math.min(1, fleet.ownRequestsPerSecond / totalDemand(fleet)), now);
    }

    /** Counts the first send of a request. */
    recordRequest(now: number): void {
        this.#requests.add(now, this.#limits.windowMs);
    }

    /**
     * Debits one retry and returns true, or returns false if the budget is used up.
     *
     * @param sharers number of entry VMs that share the slack, at least as many as may be sending; Infinity if there is no
     *     telling
     */
    tryTake(now: number, sharers: number): boolean {
        const { ratio, slack, windowMs } = this.#limits;
        const slackShare =
            equalSlackShare / Math.max(1, sharers) + demandSlackShare * (this.#demandShare.value ?? 0);
        const allowed =
            ratio * ratioSafetyFactor * this.#requests.count(now, windowMs) + Math.floor(slack * slackShare);
        if (this.#retries.count(now, windowMs) + 1 > allowed) {
            return false;
        }
        this.#retries.add(now, windowMs);
        return true;
    }
}

/** Counts the events of a sliding window. */
class WindowCounter {
    #times: number[] = [];

    add(now: number, windowMs: number): void {
        this.count(now, windowMs);
        this.#times.push(now);
    }

    count(now: number, windowMs: number): number {
        const firstRecent = this.#times.findIndex(it => it > now - windowMs);
        if (firstRecent !== 0) {
            this.#times = firstRecent === -1 ? [] : this.#times.slice(firstRecent);
        }
        return this.#times.length;
    }
}

/** Used share of the ratio: a send counts towards the limit when it arrives, which is later than it is counted here. */
const ratioSafetyFactor = 0.75;
/** Share of the slack that is divided equally, for entry VMs whose requests the others don't know of yet. */
const equalSlackShare = 0.35;
/** Share of the slack that is divided by demand; the rest covers requests that move between entry VMs within a window. */
const demandSlackShare = 0.35;
