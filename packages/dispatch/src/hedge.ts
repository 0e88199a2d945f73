/** Hedges, second copies of idempotent calls that take long, limited to a share of the calls. */

import { HedgeBudget } from "./hedgebudget.js";
import type { Slot } from "./types.js";

/** Tracks unanswered requests and determines which calls may be hedged. */
export class HedgeTracker {
    /** Requests that may be hedged by call id, the oldest first. */
    readonly #tracked = new Map<number, Slot>();
    readonly #budget: HedgeBudget;

    /** @param ratio hedges as a share of calls, 0 to 1 */
    constructor(ratio: number) {
        this.#budget = new HedgeBudget(ratio);
    }

    /** Changes the ratio of hedges to calls. */
    update(ratio: number): void {
        this.#budget.update(ratio);
    }

    /** Starts tracking a call's first request, and adds the call's share to the budget. */
    track(slot: Slot): void {
        this.#budget.recordRequest();
        if (slot.call.class.idempotent && slot.call.retryBudget >= 1) {
            this.#tracked.set(slot.call.id, slot);
        }
    }

    /** Stops tracking a call whose response has begun or that has ended. */
    untrack(slot: Slot): void {
        this.#tracked.delete(slot.call.id);
    }

    /** Returns the requests that are at least `ageMs` old, the oldest first; none while the budget is used up. */
    olderThan(ageMs: number, now: number): readonly Slot[] {
        const older: Slot[] = [];
        for (const slot of this.#budget.hasRoom ? this.#tracked.values() : []) {
            if (slot.grantedAt + ageMs > now) {
                break;
            }
            older.push(slot);
        }
        return older;
    }

    /** Whether the budget allows one more hedge. */
    get hasBudget(): boolean {
        return this.#budget.hasRoom;
    }

    /** Debits a hedge, and stops tracking its call. */
    recordHedge(slot: Slot): void {
        this.#budget.tryTake();
        this.#tracked.delete(slot.call.id);
    }

    /** Returns when the oldest tracked request reaches `ageMs`; Infinity if none is tracked. */
    nextDueAt(ageMs: number): number {
        const [oldest] = this.#tracked.values();
        return oldest ? oldest.grantedAt + ageMs : Infinity;
    }
}
