/** A token bucket whose rate may change, and to which unused tokens can be returned. */

/** Tokens that accrue with time, up to a capacity. */
export class TokenBucket {
    #tokens: number;
    #updatedAt: number;
    /** When the bucket was last full, or created if it never was. */
    #fullAt: number;

    /**
     * @param tokens tokens in the bucket at first
     * @param now monotonic milliseconds
     */
    constructor(tokens: number, now: number) {
        this.#tokens = tokens;
        this.#updatedAt = now;
        this.#fullAt = now;
    }

    /** Tokens after the last refill; may be a fraction. */
    get tokens(): number {
        return this.#tokens;
    }

    /**
     * Adds what has accrued since the last refill.
     *
     * @param perSecond tokens that accrue in a second
     * @param capacity most tokens that the bucket may hold
     */
    refill(perSecond: number, capacity: number, now: number): void {
        const elapsedMs = Math.max(0, now - this.#updatedAt);
        this.#updatedAt = Math.max(now, this.#updatedAt);
        this.#tokens += (perSecond * elapsedMs) / msPerSecond;
        if (this.#tokens >= capacity) {
            this.#tokens = capacity;
            this.#fullAt = this.#updatedAt;
        }
    }

    /** Takes up to `wanted` whole tokens and returns how many. */
    take(wanted: number): number {
        const taken = Math.min(wanted, Math.floor(this.#tokens + roundingError));
        this.#tokens = Math.max(0, this.#tokens - taken);
        return taken;
    }

    /**
     * Puts back tokens that were taken at `takenAt` and not used. If the bucket has been full since then, they are dropped, as they
     * would have overflowed: the tokens used in any period are then those that the bucket could have granted without them.
     */
    putBack(count: number, capacity: number, takenAt: number): void {
        if (takenAt > this.#fullAt) {
            this.#tokens = Math.min(capacity, this.#tokens + count);
        }
    }

    /** Returns the time until the bucket holds a whole token, in milliseconds; Infinity if none accrue. */
    msToNext(perSecond: number): number {
        const missing = Math.max(0, 1 - roundingError - this.#tokens);
        return missing === 0 ? 0 : (missing * msPerSecond) / perSecond;
    }
}

const msPerSecond = 1_000;
/** Above the error of sums of a few thousand refills, far below a token. */
const roundingError = 1e-6;
