/** Rate limit for the bytes of gossip messages. */

/** A token bucket whose tokens are bytes. */
export class ByteBudget {
    readonly #bytesPerSecond: number;
    readonly #capacity: number;
    #balance: number;
    #refilledAt: number;

    /** @param capacity largest balance in bytes, and the balance at the start */
    constructor(bytesPerSecond: number, capacity: number, now: number) {
        this.#bytesPerSecond = bytesPerSecond;
        this.#capacity = capacity;
        this.#balance = capacity;
        this.#refilledAt = now;
    }

    /** Refills the bucket and returns the bytes that may be spent at `now`. */
    available(now: number): number {
        const elapsedMs = Math.max(0, now - this.#refilledAt);
        this.#balance = Math.min(this.#capacity, this.#balance + (elapsedMs * this.#bytesPerSecond) / 1000);
        this.#refilledAt = Math.max(this.#refilledAt, now);
        return Math.max(0, this.#balance);
    }

    /** Spends bytes. The balance may become negative, down to minus the capacity. */
    spend(bytes: number): void {
        this.#balance = Math.max(-this.#capacity, this.#balance - bytes);
    }
}
