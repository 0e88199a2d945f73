/** Counts the tokens that were granted in a sliding window. */

/** Tokens by the time slot in which they were granted. */
export class WindowCounter {
    readonly #spanMs: number;
    readonly #slots = new Map<number, number>();

    /** @param spanMs length of the window, in milliseconds */
    constructor(spanMs: number) {
        this.#spanMs = spanMs;
    }

    /** Records tokens that are granted. */
    add(tokens: number, now: number): void {
        const slot = Math.floor(now / slotMs);
        this.#slots.set(slot, (this.#slots.get(slot) ?? 0) + tokens);
    }

    /** Records that tokens that were granted at `takenAt` or later weren't used. */
    remove(tokens: number, takenAt: number): void {
        let left = tokens;
        for (const [slot, count] of this.#slots) {
            if ((slot + 1) * slotMs > takenAt && left > 0) {
                const removed = Math.min(left, count);
                left -= removed;
                this.#slots.set(slot, count - removed);
            }
        }
    }

    /** Returns the tokens granted in the window that ends now; those of a slot that is partly in it count. */
    count(now: number): number {
        let sum = 0;
        for (const [slot, count] of this.#slots) {
            if ((slot + 1) * slotMs <= now - this.#spanMs) {
                this.#slots.delete(slot);
            } else {
                sum += count;
            }
        }
        return sum;
    }

    /** Returns the time until fewer than `limit` tokens are in the window, in milliseconds. */
    msUntilBelow(limit: number, now: number): number {
        let left = this.count(now);
        for (const [slot, count] of this.#slots) {
            if (left < limit) {
                break;
            }
            left -= count;
            if (left < limit) {
                return Math.max(0, (slot + 1) * slotMs + this.#spanMs - now);
            }
        }
        return 0;
    }
}

/** A fiftieth of the shortest useful window. */
const slotMs = 100;
