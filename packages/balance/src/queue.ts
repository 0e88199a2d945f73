/** Queue of one service's requests that wait for a slot. */

import type { Request } from "./types.js";

/** Orders requests by priority, then by target; those that arrived too late to meet their target come last. */
export class RequestQueue {
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
     * Returns the request to start next without removing it: the most urgent of those that arrived in time to
     * meet their target, the earliest target first; if there is none, the oldest of the others. Whether a request
     * is late is judged by its arrival, not by the present time: it was admitted because a slot was expected, and
     * if it lost its place when its target passes, newer requests would overtake it until its deadline.
     *
     * @param expectedMs expected latency on the server that has a free slot
     */
    peek(expectedMs: number): Request | undefined {
        let best: Request | undefined;
        let bestLate = true;
        for (const request of this.#waiting) {
            const late = request.arrivedAt + expectedMs > request.targetAt;
            if (best === undefined || precedes(request, late, best, bestLate)) {
                best = request;
                bestLate = late;
            }
        }
        return best;
    }

    /** Returns how many queued requests are at least as urgent as `priority`. */
    countAhead(priority: number): number {
        let count = 0;
        for (const it of this.#waiting) {
            count += it.priority <= priority ? 1 : 0;
        }
        return count;
    }

    /** Removes and returns the requests that match `predicate`. */
    removeWhere(predicate: (request: Request) => boolean): readonly Request[] {
        const removed = [...this.#waiting].filter(predicate);
        removed.forEach(it => this.#waiting.delete(it));
        return removed;
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
