/** Queue of one service's requests that wait for a slot. */

import type { Request } from "./types.js";

/** Place of a request's account among those of equal priority; lower ranks go first. */
export type AccountRank = (request: Request) => number;

const equalRank: AccountRank = () => 0;

/**
 * Orders requests by priority, then by the rank of their account, then by target; those that arrived too late to meet their
 * target come last.
 */
export class RequestQueue {
    readonly #waiting = new Set<Request>();
    /** Number of waiting requests by account. */
    readonly #byAccount = new Map<string, number>();

    get size(): number {
        return this.#waiting.size;
    }

    add(request: Request): void {
        if (!this.#waiting.has(request)) {
            this.#waiting.add(request);
            this.#countAccount(request, 1);
        }
    }

    remove(request: Request): boolean {
        const removed = this.#waiting.delete(request);
        if (removed) {
            this.#countAccount(request, -1);
        }
        return removed;
    }

    /** Whether an account has more requests waiting than an equal part of all that wait. */
    isOverShare(account: string): boolean {
        const accounts = this.#byAccount.size;
        return accounts > 1 && (this.#byAccount.get(account) ?? 0) > Math.ceil(this.size / accounts);
    }

    /**
     * Returns the request to start next without removing it: the most urgent of those that arrived in time to
     * meet their target, the earliest target first; if there is none, the oldest of the others. Whether a request
     * is late is judged by its arrival, not by the present time: it was admitted because a slot was expected, and
     * if it lost its place when its target passes, newer requests would overtake it until its deadline.
     *
     * @param expectedMs expected latency on the server that has a free slot
     * @param rankOf returns the rank of a request's account
     */
    peek(expectedMs: number, rankOf: AccountRank = equalRank): Request | undefined {
        let best: Request | undefined;
        let bestLate = true;
        for (const request of this.#waiting) {
            const late = request.arrivedAt + expectedMs > request.targetAt;
            if (best === undefined || precedes(request, late, best, bestLate, rankOf)) {
                best = request;
                bestLate = late;
            }
        }
        return best;
    }

    /** Returns the request that loses least by being refused, of those that match `predicate`: the one with the latest target. */
    latestWhere(predicate: (request: Request) => boolean): Request | undefined {
        let latest: Request | undefined;
        for (const request of this.#waiting) {
            if ((latest === undefined || request.targetAt > latest.targetAt) && predicate(request)) {
                latest = request;
            }
        }
        return latest;
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
        removed.forEach(it => this.remove(it));
        return removed;
    }

    #countAccount({ account }: Request, change: number): void {
        if (account === undefined) {
            return;
        }
        const count = (this.#byAccount.get(account) ?? 0) + change;
        if (count > 0) {
            this.#byAccount.set(account, count);
        } else {
            this.#byAccount.delete(account);
        }
    }
}

const precedes = (a: Request, aLate: boolean, b: Request, bLate: boolean, rankOf: AccountRank): boolean => {
    if (aLate !== bLate) {
        return bLate;
    }
    if (a.priority !== b.priority) {
        return a.priority < b.priority;
    }
    const rankDifference = rankOf(a) - rankOf(b);
    if (rankDifference !== 0) {
        return rankDifference < 0;
    }
    return aLate ? a.arrivedAt < b.arrivedAt : a.targetAt < b.targetAt;
};
