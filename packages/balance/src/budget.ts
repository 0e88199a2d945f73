/** Sends beyond the first of each request, kept within a share of the requests of a sliding window. */

/** Bound of repeats that all entry VMs together keep. */
export interface RetryLimits {
    /** Repeats as a share of the requests in a window. */
    readonly ratio: number;
    /** Repeats that are allowed besides, in a window, over all entry VMs. */
    readonly slack: number;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
}

/** One entry VM's part of a service's repeats. */
export class RetryBudget {
    #bound: RetryLimits;
    readonly #requests = new Counter();
    readonly #repeats = new Counter();

    constructor(bound: RetryLimits) {
        this.#bound = bound;
    }

    /** Takes a changed bound; what was counted stays counted. */
    update(bound: RetryLimits): void {
        this.#bound = bound;
    }

    /** Counts a request's first send. */
    recordRequest(now: number): void {
        this.#requests.add(now, this.#bound.windowMs);
    }

    /**
     * Whether one more repeat is within the budget; a yes is debited.
     *
     * @param sharers entry VMs among which the slack is divided, at least as many as may be sending
     */
    tryTake(now: number, sharers: number): boolean {
        const { ratio, slack, windowMs } = this.#bound;
        const share = Math.floor((slack * slackUsed) / Math.max(1, sharers));
        const allowed = ratio * ratioUsed * this.#requests.count(now, windowMs) + share;
        if (this.#repeats.count(now, windowMs) + 1 > allowed) {
            return false;
        }
        this.#repeats.add(now, windowMs);
        return true;
    }
}

/** Counts moments of the last window. */
class Counter {
    #times: number[] = [];

    add(now: number, windowMs: number): void {
        this.count(now, windowMs);
        this.#times.push(now);
    }

    count(now: number, windowMs: number): number {
        const old = this.#times.findIndex(it => it > now - windowMs);
        if (old !== 0) {
            this.#times = old === -1 ? [] : this.#times.slice(old);
        }
        return this.#times.length;
    }
}

/** Sends count where they arrive, some time after they were counted here, so a part is left unused. */
const ratioUsed = 0.75;
const slackUsed = 0.75;
