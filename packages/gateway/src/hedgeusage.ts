/** Counts the hedged requests of one service, and why others weren't hedged. */

/** What is counted. */
export type HedgeEvent =
    /** A hedge was sent. */
    | "sent"
    /** A hedge was answered first. */
    | "won"
    /** A send was cancelled, as the other one of its request was answered first. */
    | "cancelled"
    /** A hedge that was due wasn't sent, as the share of hedged requests or the retry budget was used up. */
    | "overBudget"
    /** The same, as the service was overloaded. */
    | "overloaded"
    /** The same, as no other server was idle. */
    | "noServer"
    /** The same, as the account's quota had no grant. */
    | "noGrant";

/** Counts of one service in one period. */
export type HedgeUsageReport = Readonly<Record<HedgeEvent, number>> & {
    readonly service: string;
    readonly periodMs: number;
};

/** Counts the hedges of one service by period. */
export class HedgeUsage {
    #counts = noCounts();
    #periodStartedAt: number;

    /** @param now current monotonic milliseconds */
    constructor(now: number) {
        this.#periodStartedAt = now;
    }

    /** Counts an event. */
    record(event: HedgeEvent): void {
        this.#counts[event]++;
    }

    /** Returns the counts of a period that has ended, if it has any, and begins the next one. */
    takePeriod(service: string, now: number): HedgeUsageReport | undefined {
        const periodMs = now - this.#periodStartedAt;
        if (periodMs < usagePeriodMs) {
            return undefined;
        }
        const counts = this.#counts;
        this.#counts = noCounts();
        this.#periodStartedAt = now;
        return Object.values(counts).some(it => it > 0) ? { service, periodMs, ...counts } : undefined;
    }
}

const noCounts = (): Record<HedgeEvent, number> => ({
    sent: 0,
    won: 0,
    cancelled: 0,
    overBudget: 0,
    overloaded: 0,
    noServer: 0,
    noGrant: 0,
});

const usagePeriodMs = 5_000;
