/** Limits retries, the sends beyond the first of each request, to a share of the requests in a sliding window. */

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
 * One entry VM's part of a service's retries: a share of its own requests and an equal part of the slack. Parts by demand
 * would exceed the slack while entry VMs don't know each other's demand, which takes longer than the window in a large fleet.
 */
export class RetryBudget {
    #limits: RetryLimits;
    readonly #requests = new WindowCounter();
    readonly #retries = new WindowCounter();

    constructor(limits: RetryLimits) {
        this.#limits = limits;
    }

    /** Changes the limits; requests and retries already counted remain. */
    update(limits: RetryLimits): void {
        this.#limits = limits;
    }

    /** Counts the first send of a request. */
    recordRequest(now: number): void {
        this.#requests.add(now, this.#limits.windowMs);
    }

    /**
     * Debits one retry and returns true, or returns false if the budget is used up.
     *
     * @param sharers number of entry VMs that share the slack, at least as many as may be sending
     */
    tryTake(now: number, sharers: number): boolean {
        const { ratio, slack, windowMs } = this.#limits;
        const share = Math.floor((slack * slackSafetyFactor) / Math.max(1, sharers));
        const allowed = ratio * ratioSafetyFactor * this.#requests.count(now, windowMs) + share;
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

/**
 * Share of each limit that is used. The margin is needed as a send counts towards the limit when it arrives at the
 * server, which is later than it is counted here.
 */
const ratioSafetyFactor = 0.75;
const slackSafetyFactor = 0.75;
