/** Decides which requests are sent a second time, to another server, before the first send is answered. */

import { HedgeBudget } from "@bramleymoor/dispatch/hedgebudget";
import { LatencyModel } from "@bramleymoor/dispatch/latency";
import type { RouteKind } from "@bramleymoor/model/route";

/** A send that may be hedged; times are monotonic milliseconds. */
export interface HedgeableSend {
    readonly kind: RouteKind;
    /** The request's deadline. */
    readonly deadlineAt: number;
    /** Servers that the request was sent to, the one at work included. */
    readonly attempts: number;
    /** Servers that the request may be sent to. */
    readonly maxAttempts: number;
}

/** Why a send isn't hedged. */
export type HedgeRefusal =
    /** Its request mustn't be repeated, has no attempt left, or is one that hedging is off for. */
    | "not-hedgeable"
    /** Requests of the service wait or are refused. */
    | "overloaded"
    /** Another server would probably not respond before the deadline. */
    | "too-late"
    /** The hedged requests have reached their share of the service's requests. */
    | "budget";

/** What a server's load reports say of its speed shortly after a send; "unknown" if there are none. */
export type ServerSpeed = "slow" | "normal" | "unknown";

/** Time after which an unanswered send is hedged, learned from latencies. */
export interface HedgeDelay {
    /** Median latency in milliseconds; undefined while too little is known. */
    readonly medianMs: number | undefined;
    /** Returns the time from a send to its hedge, in milliseconds; Infinity for no hedge, undefined while too little is known. */
    delayMs(speed: ServerSpeed): number | undefined;
    /** Records the time from a send to the head of its response, or its age when it was overtaken, in milliseconds. */
    record(latencyMs: number): void;
}

/**
 * Delays at quantiles of the service's latency distribution. A request at a server that was slow when it began is slow to its end,
 * and is hedged once half of all requests would have been answered. One at a server of normal speed takes long because of
 * its own work, which another server wouldn't do sooner.
 */
export class SpeedAwareDelay implements HedgeDelay {
    readonly #latencies = new LatencyModel();

    get medianMs(): number | undefined {
        return this.#latencies.isReady ? this.#latencies.medianMs : undefined;
    }

    delayMs(speed: ServerSpeed): number | undefined {
        return this.#latencies.isReady ? this.#latencies.latencyAtZ(delayZ[speed]) : undefined;
    }

    record(latencyMs: number): void {
        this.#latencies.record(latencyMs);
    }
}

/** The hedging of one service in one entry VM. */
export class HedgePolicy {
    readonly #budget: HedgeBudget;
    readonly #delay: HedgeDelay;

    /** @param maxRatio hedged requests as a share of the service's requests, 0 to 1; 0 for none */
    constructor(maxRatio: number, delay: HedgeDelay = new SpeedAwareDelay()) {
        this.#budget = new HedgeBudget(maxRatio);
        this.#delay = delay;
    }

    /** Applies a changed ratio; a send that waits for its hedge is judged by the new one. */
    setMaxRatio(maxRatio: number): void {
        this.#budget.update(maxRatio);
    }

    /** Counts a request at its first send, which adds to the budget. */
    recordRequest(): void {
        this.#budget.recordRequest();
    }

    /** Records the time from a send to the head of its response, in milliseconds. */
    recordLatency(latencyMs: number): void {
        this.#delay.record(latencyMs);
    }

    /** Records the age of a send that a later one has overtaken, in milliseconds: its latency would have been longer. */
    recordOvertaken(ageMs: number): void {
        this.#delay.record(ageMs);
    }

    /** Returns when to ask a send's server for its speed; undefined if the send can't be hedged. */
    askAt(send: HedgeableSend, sentAt: number): number | undefined {
        const isKnown = this.#delay.medianMs !== undefined && this.#isHedgeable(send);
        return isKnown && !this.#isTooLate(send, sentAt + askDelayMs) ? sentAt + askDelayMs : undefined;
    }

    /** Returns when a send is due to be hedged unless it is answered before; undefined if it won't be. */
    dueAt(send: HedgeableSend, speed: ServerSpeed, sentAt: number): number | undefined {
        const dueAt = sentAt + (this.#delay.delayMs(speed) ?? Infinity);
        return this.#isHedgeable(send) && !this.#isTooLate(send, dueAt) ? dueAt : undefined;
    }

    /**
     * Returns why a send that is due isn't hedged now; undefined if it may be.
     *
     * @param isOverloaded whether requests of the service wait or are refused
     */
    refusal(send: HedgeableSend, isOverloaded: boolean, now: number): HedgeRefusal | undefined {
        if (!this.#isHedgeable(send)) {
            return "not-hedgeable";
        }
        if (isOverloaded) {
            return "overloaded";
        }
        if (this.#isTooLate(send, now)) {
            return "too-late";
        }
        return this.#budget.hasRoom ? undefined : "budget";
    }

    /** Debits one hedge and returns true, or returns false if the budget is used up. */
    tryTake(): boolean {
        return this.#budget.tryTake();
    }

    #isHedgeable({ kind, attempts, maxAttempts }: HedgeableSend): boolean {
        return this.#budget.ratio > 0 && kind !== "non-idempotent" && attempts < maxAttempts;
    }

    #isTooLate({ deadlineAt }: HedgeableSend, at: number): boolean {
        return at + (this.#delay.medianMs ?? Infinity) > deadlineAt;
    }
}

/**
 * Time from a send to the question for its server's speed. It shows a slow period that began between the report by which the server
 * was chosen and the send; the longer it is, the more slow periods have begun after the send, which doesn't feel them.
 */
const askDelayMs = 5;
/** Delays in standard deviations of the log latency above the median. Most requests are answered before the one for "unknown". */
const delayZ: Readonly<Record<ServerSpeed, number>> = { slow: 0, normal: Infinity, unknown: 2 };
