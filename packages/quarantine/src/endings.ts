/** Tells servers that end from connections that break: which sends were in flight when their server ended. */

/** A send without a response. */
export interface UnansweredSend {
    /** Fingerprint of the request. */
    readonly key: string;
    /** Incarnation key of the server. */
    readonly server: string;
    /** When the send ended. */
    readonly at: number;
}

/**
 * Sends without a response whose server may have ended. A server counts as ended if it can't be reached afterwards. As that
 * is also so while this entry VM reaches no server at all, another server has to have answered since.
 */
export class EndingDetector {
    /** Latest sends by server and fingerprint. */
    readonly #sends = new Map<string, Map<string, UnansweredSend>>();
    /** When the attempt began that couldn't reach a server, by incarnation key. */
    readonly #unreachableSince = new Map<string, number>();
    /** Start of the latest send that each server has answered. */
    readonly #answeredSends = new Map<string, number>();
    #size = 0;
    /** Start of the latest send that a server has answered. */
    #reachedAt = -Infinity;

    /** Number of sends whose server's state isn't known. */
    get size(): number {
        return this.#size;
    }

    /** Whether a server may have ended after `sentAt`, and nothing that was sent since says whether it has. */
    isUnclear(server: string, sentAt: number): boolean {
        return (
            this.#sends.has(server) &&
            !this.#unreachableSince.has(server) &&
            (this.#answeredSends.get(server) ?? -Infinity) <= sentAt
        );
    }

    /** Records a send without a response. */
    recordUnanswered(send: UnansweredSend): void {
        const sends = this.#sends.get(send.server) ?? new Map<string, UnansweredSend>();
        this.#size += sends.has(send.key) ? 0 : 1;
        sends.set(send.key, send);
        this.#sends.set(send.server, sends);
        const [oldest] = this.#sends.keys();
        if (this.#size > maxSends && oldest !== undefined) {
            this.#forget(oldest);
        }
    }

    /** Records that a server has responded to something sent at `sentAt`. */
    recordAlive(server: string, sentAt: number): void {
        this.#reachedAt = Math.max(this.#reachedAt, sentAt);
        this.#recordAnsweredSend(server, sentAt);
        const sends = this.#sends.get(server);
        if (sends && [...sends.values()].every(it => it.at <= sentAt)) {
            this.#forget(server);
        } else if (sentAt > (this.#unreachableSince.get(server) ?? Infinity)) {
            this.#unreachableSince.delete(server);
        }
    }

    /** Records that an attempt that began at `sentAt` couldn't reach a server, or found another one at its address. */
    recordUnreachable(server: string, sentAt: number): void {
        if (this.#sends.has(server)) {
            const latest = Math.max(sentAt, this.#unreachableSince.get(server) ?? -Infinity);
            this.#unreachableSince.set(server, latest);
        }
    }

    /** Returns the sends that were in flight when their server ended, each once; forgets those that never will be. */
    takeEndings(now: number): readonly UnansweredSend[] {
        const endings: UnansweredSend[] = [];
        for (const [server, sends] of this.#sends) {
            const unanswered = [...sends.values()];
            const ended = this.#unreachableSince.has(server);
            if (ended && unanswered.every(it => it.at < this.#reachedAt)) {
                endings.push(...unanswered);
                this.#forget(server);
            } else if (unanswered.every(it => now - it.at > unclearMs)) {
                this.#forget(server);
            }
        }
        return endings;
    }

    /** Forgets all sends. */
    clear(): void {
        this.#sends.clear();
        this.#unreachableSince.clear();
        this.#size = 0;
    }

    #recordAnsweredSend(server: string, sentAt: number): void {
        const latest = Math.max(sentAt, this.#answeredSends.get(server) ?? -Infinity);
        this.#answeredSends.delete(server);
        this.#answeredSends.set(server, latest);
        const [oldest] = this.#answeredSends.keys();
        if (this.#answeredSends.size > maxServers && oldest !== undefined) {
            this.#answeredSends.delete(oldest);
        }
    }

    #forget(server: string): void {
        this.#size -= this.#sends.get(server)?.size ?? 0;
        this.#sends.delete(server);
        this.#unreachableSince.delete(server);
    }
}

/** Time after a send in which its server is found to have ended, if it has: longer than a connect or a probe takes. */
const unclearMs = 3_000;
/** Bound the memory. */
const maxSends = 2_000;
const maxServers = 2_000;
