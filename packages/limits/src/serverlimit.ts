/** One entry VM's view of the request limit that one backend server names. */

/** Sends to a limited server in a period. */
export interface LimitUsage {
    readonly requests: number;
    readonly probes: number;
}

/** The request limit of one server incarnation. */
export class ServerLimit {
    #perSecond = Infinity;
    #usage: LimitUsage = { requests: 0, probes: 0 };

    /** Requests per second that the server takes from all entry VMs together; Infinity if it names no limit. */
    get perSecond(): number {
        return this.#perSecond;
    }

    /** Records the limit that the server named; returns whether it has changed. */
    record(perSecond: number): boolean {
        const changed = perSecond !== this.#perSecond;
        this.#perSecond = perSecond;
        return changed;
    }

    recordSend(): void {
        this.#usage = { ...this.#usage, requests: this.#usage.requests + 1 };
    }

    recordProbe(): void {
        this.#usage = { ...this.#usage, probes: this.#usage.probes + 1 };
    }

    /** Returns and resets what was sent since the last call. */
    takeUsage(): LimitUsage {
        const usage = this.#usage;
        this.#usage = { requests: 0, probes: 0 };
        return usage;
    }
}
