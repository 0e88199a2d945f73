/** Requests of one service that wait for a slot. */

import type { Request } from "./types.js";

/** Orders by urgency, then by target; requests that came too late to meet theirs come last. */
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
     * The request to start next: of those that came in time the most urgent, the one with the nearest target
     * first; else the oldest of the others. One that came in time keeps its place when its target passes: it was
     * let in on the promise of a slot, and newer ones would overtake it until its deadline.
     *
     * @param expectedMs how long an answer takes on the server that is free
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

    /** Requests waiting that are at least as urgent. */
    countAhead(priority: number): number {
        let count = 0;
        for (const it of this.#waiting) {
            count += it.priority <= priority ? 1 : 0;
        }
        return count;
    }

    /** Takes out the requests for which `isOver` holds. */
    removeWhere(isOver: (request: Request) => boolean): readonly Request[] {
        const over = [...this.#waiting].filter(isOver);
        over.forEach(it => this.#waiting.delete(it));
        return over;
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
