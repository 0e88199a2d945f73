/** Second copies of idempotent calls that take long, kept to a share of the calls. */

import type { Slot } from "./types.js";

/** Watches requests without an answer and says which call should get a second copy. */
export class HedgeWatch {
    /** Requests that may be hedged, the oldest first. */
    readonly #watched = new Map<number, Slot>();
    #share: number;
    #tokens = 0;

    /** @param share hedges as a share of calls, 0 to 1 */
    constructor(share: number) {
        this.#share = share;
    }

    follow(share: number): void {
        this.#share = share;
    }

    /** Starts watching a call's first copy. */
    granted(slot: Slot): void {
        this.#tokens = Math.min(burstHedges, this.#tokens + this.#share);
        if (slot.call.class.idempotent && slot.call.retryBudget >= 1) {
            this.#watched.set(slot.call.id, slot);
        }
    }

    /** Stops watching a call: it is being answered, or has ended. */
    ended(slot: Slot): void {
        this.#watched.delete(slot.call.id);
    }

    /** Requests of this age at least, the oldest first; none while the budget is used up. */
    older(ageMs: number, now: number): readonly Slot[] {
        const older: Slot[] = [];
        for (const slot of this.#tokens >= 1 ? this.#watched.values() : []) {
            if (slot.grantedAt + ageMs > now) {
                break;
            }
            older.push(slot);
        }
        return older;
    }

    /** Whether the budget allows one hedge more. */
    get affordable(): boolean {
        return this.#tokens >= 1;
    }

    /** Debits a hedge of the call. */
    hedged(slot: Slot): void {
        this.#tokens--;
        this.#watched.delete(slot.call.id);
    }

    /** When the next request comes of this age; Infinity if none is watched. */
    nextDue(ageMs: number): number {
        const [oldest] = this.#watched.values();
        return oldest ? oldest.grantedAt + ageMs : Infinity;
    }
}

const burstHedges = 10;
