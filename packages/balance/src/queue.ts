/** Requests of one service that wait for a slot. */

import type { Request } from "./types.js";

/** Orders by urgency and target; requests that can no longer meet their target come last. */
export class WaitQueue {
    readonly #waiting = new Set<Request>();

    get size(): number {
        return this.#waiting.size;
    }

    add(request: Request): void {
        this.#waiting.add(request);
    }

    remove(request: Request): boolean {
        return this.#waiting.delete(request);
    }

    /**
     * The request to start next: of those that can still meet their target the most urgent, by target; of the
     * others the one that came first.
     *
     * @param expectedMs how long an answer takes from the start
     */
    peek(now: number, expectedMs: number): Request | undefined {
        let best: Request | undefined;
        let bestLate = true;
        for (const request of this.#waiting) {
            const late = now + expectedMs > request.targetAt;
            if (best === undefined || precedes(request, late, best, bestLate)) {
                best = request;
                bestLate = late;
            }
        }
        return best;
    }

    /** Requests that would start before a new one with this priority and target. */
    ahead(priority: number, targetAt: number, now: number, expectedMs: number): number {
        let count = 0;
        for (const it of this.#waiting) {
            const late = now + expectedMs > it.targetAt;
            const before = it.priority < priority || (it.priority === priority && it.targetAt <= targetAt);
            count += before && !late ? 1 : 0;
        }
        return count;
    }

    /** Requests waiting that can no longer meet their target. */
    late(now: number, expectedMs: number): number {
        let count = 0;
        for (const it of this.#waiting) {
            count += now + expectedMs > it.targetAt ? 1 : 0;
        }
        return count;
    }

    /** Takes out requests that would not be answered before their deadline. */
    expire(now: number, expectedMs: number): readonly Request[] {
        const expired = [...this.#waiting].filter(it => now + expectedMs > it.deadlineAt);
        expired.forEach(it => this.#waiting.delete(it));
        return expired;
    }
}

const precedes = (a: Request, aLate: boolean, b: Request, bLate: boolean): boolean => {
    if (aLate !== bLate) {
        return bLate;
    }
    if (a.priority !== b.priority) {
        return a.priority < b.priority;
    }
    return aLate ? a.arrivedAt < b.arrivedAt : a.targetAt < b.targetAt;
};
