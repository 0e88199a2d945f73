/** Bytes that may be spent, refilled at a steady rate. */

/** A token bucket of bytes. */
export class ByteBudget {
    readonly #bytesPerSecond: number;
    readonly #most: number;
    #bytes: number;
    #at: number;

    /** @param most bytes that may be saved up, and that are there at first */
    constructor(bytesPerSecond: number, most: number, now: number) {
        this.#bytesPerSecond = bytesPerSecond;
        this.#most = most;
        this.#bytes = most;
        this.#at = now;
    }

    /** Bytes that may be spent now. */
    available(now: number): number {
        const passed = Math.max(0, now - this.#at);
        this.#bytes = Math.min(this.#most, this.#bytes + (passed * this.#bytesPerSecond) / 1000);
        this.#at = Math.max(this.#at, now);
        return Math.max(0, this.#bytes);
    }

    /** Spends bytes; a debt is no larger than what may be saved up. */
    spend(bytes: number): void {
        this.#bytes = Math.max(-this.#most, this.#bytes - bytes);
    }
}
