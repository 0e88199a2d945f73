/** Limits hedges, second sends of requests that take long, to a share of the requests. */

/**
 * One entry VM's hedges of one service. Each request adds its share, and a hedge takes 1, so that the hedges since the start
 * never exceed the share of the requests since then; as this holds at each entry VM, it holds for their sum.
 */
export class HedgeBudget {
    #ratio: number;
    #tokens = 0;

    /** @param ratio hedges as a share of the requests, 0 to 1 */
    constructor(ratio: number) {
        this.#ratio = ratio;
    }

    /** Hedges as a share of the requests, 0 to 1. */
    get ratio(): number {
        return this.#ratio;
    }

    /** Changes the ratio. A lower one also reduces what has been saved, so that a ratio of 0 ends hedging at once. */
    update(ratio: number): void {
        if (ratio < this.#ratio) {
            this.#tokens *= ratio / this.#ratio;
        }
        this.#ratio = ratio;
    }

    /** Adds the share of one request. */
    recordRequest(): void {
        this.#tokens = Math.min(maxTokens, this.#tokens + this.#ratio);
    }

    /** Whether the budget allows one more hedge. */
    get hasRoom(): boolean {
        return this.#tokens >= 1;
    }

    /** Debits one hedge and returns true, or returns false if the budget is used up. */
    tryTake(): boolean {
        if (!this.hasRoom) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}

/** Largest burst of hedges. */
const maxTokens = 10;
