/** Counts what the probes of one service are used for, so that their number can be attributed to its causes. */

/** Counts of one period. */
export interface ProbeCounts {
    /** Requests for which servers were compared, and those servers, fresh or probed. */
    readonly reservations: number;
    readonly candidates: number;
    /** Requests that were granted a slot. */
    readonly granted: number;
    /** Probes sent. */
    readonly sent: number;
    /** Probes not sent because one to the same server was in flight. */
    readonly shared: number;
    readonly answered: number;
    readonly unanswered: number;
    /** Requests that were queued again because no probed candidate was open, and the probes sent for them. */
    readonly requeued: number;
    readonly requeuedProbes: number;
    /** Waits that ended before all probes were answered because the time for it was over. */
    readonly timedOut: number;
    /** Attempts to dispatch a queued request that failed although a server had a free slot, as a probe was pending. */
    readonly blocked: number;
    /** Maximum number of servers that were held by a pending probe at once. */
    readonly maxHeld: number;
    /** Number of servers that were probed. */
    readonly probedServers: number;
}

/** Counts of one service, with the period that they cover. */
export interface ProbeUsageReport extends ProbeCounts {
    readonly service: string;
    /** Number of servers that the service has at the end of the period. */
    readonly servers: number;
    readonly periodMs: number;
}

/** Events that are counted without further data. */
export type ProbeEvent = "granted" | "answered" | "unanswered" | "timedOut" | "shared";

/** Counts the probes of one service by period. */
export class ProbeUsage {
    #counts = noCounts();
    #probedServers = new Set<string>();
    #periodStartedAt: number;

    /** @param now current monotonic milliseconds */
    constructor(now: number) {
        this.#periodStartedAt = now;
    }

    /** Counts an event. */
    record(event: ProbeEvent): void {
        this.#counts[event]++;
    }

    /** Counts a request for which `candidates` servers are compared. */
    recordReservation(candidates: number): void {
        this.#counts.reservations++;
        this.#counts.candidates += candidates;
    }

    /** Counts a probe that is sent while `held` servers wait for the response to a probe, including this one. */
    recordSent(serverKey: string, held: number): void {
        this.#counts.sent++;
        this.#counts.maxHeld = Math.max(this.#counts.maxHeld, held);
        this.#probedServers.add(serverKey);
    }

    /** Counts a request that is queued again after `probes` probes were sent for it. */
    recordRequeued(probes: number): void {
        this.#counts.requeued++;
        this.#counts.requeuedProbes += probes;
    }

    /** Counts a failed attempt to dispatch a queued request while pending probes hold `held` servers with free slots. */
    recordBlocked(held: number): void {
        if (held > 0) {
            this.#counts.blocked++;
        }
    }

    /** Returns the counts of a period that has ended, if it has any, and begins the next one. */
    takePeriod(now: number): (ProbeCounts & { readonly periodMs: number }) | undefined {
        const periodMs = now - this.#periodStartedAt;
        if (periodMs < usagePeriodMs) {
            return undefined;
        }
        const counts = { ...this.#counts, probedServers: this.#probedServers.size, periodMs };
        this.#counts = noCounts();
        this.#probedServers = new Set();
        this.#periodStartedAt = now;
        return counts.reservations > 0 || counts.blocked > 0 ? counts : undefined;
    }
}

const noCounts = () => ({
    reservations: 0,
    candidates: 0,
    granted: 0,
    sent: 0,
    shared: 0,
    answered: 0,
    unanswered: 0,
    requeued: 0,
    requeuedProbes: 0,
    timedOut: 0,
    blocked: 0,
    maxHeld: 0,
});

const usagePeriodMs = 5_000;
