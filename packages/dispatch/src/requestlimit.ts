/** One dispatcher's share of the request limit that a backend server names. */

import type { Share } from "./types.js";

/**
 * Spaces a dispatcher's requests to a server that names a limit for all dispatchers together. Each dispatcher that has
 * a share may send one request at any moment, so there are no more of them than the limit has requests a second.
 */
export class RequestLimit {
    #perSecond = Infinity;
    #namedAt = -Infinity;
    #limitedSince = -Infinity;
    #sentAt = -Infinity;
    #share: Share = { index: 0, count: 1 };

    /** Requests per second that the server takes from all dispatchers together; Infinity if it names no limit. */
    get perSecond(): number {
        return this.#perSecond;
    }

    /** Sets this dispatcher's place among those of the service, in an order of the server's own. */
    setShare(share: Share): void {
        this.#share = share;
    }

    /** Records the limit that the server named at `namedAt`, unless a newer one is known. */
    record(perSecond: number, namedAt: number, now: number): void {
        if (namedAt < this.#namedAt) {
            return;
        }
        if (this.#perSecond === Infinity) {
            this.#limitedSince = now;
        }
        this.#namedAt = namedAt;
        this.#perSecond = perSecond;
    }

    recordSend(now: number): void {
        this.#sentAt = now;
    }

    /** Earliest time at which the next request may be sent. */
    nextSendAt(): number {
        if (this.#perSecond === Infinity) {
            return -Infinity;
        }
        const holders = Math.min(this.#share.count, Math.max(1, Math.floor(this.#perSecond)));
        if (this.#share.index >= holders) {
            return Math.max(this.#limitedSince, this.#namedAt, this.#sentAt) + recheckMs;
        }
        const intervalMs = Math.min(msPerSecond / this.#perSecond, maxIntervalMs) * holders;
        return Math.max(this.#limitedSince, this.#sentAt) + intervalMs;
    }
}

/** A dispatcher without a share tries the server after this time without a report of its limit. */
const recheckMs = 60_000;
/** Longest interval between requests to a server, as only a response shows that a very low limit has ended. */
const maxIntervalMs = 10_000;
const msPerSecond = 1_000;
