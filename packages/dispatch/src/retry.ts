/** Which failed requests may be tried again, so that retries can't multiply a failure. */

import type { Call, SlotResult } from "./types.js";

/** Retries of one service in one entry VM, kept to a share of its calls. */
export class RetryBudget {
    readonly #share: number;
    #tokens = burstRetries;

    /** @param share retries as a share of calls, 0 to 1 */
    constructor(share: number) {
        this.#share = share;
    }

    /** Counts a call's first attempt. */
    recordCall(): void {
        this.#tokens = Math.min(burstRetries, this.#tokens + this.#share);
    }

    /** Decides whether a call may be tried again after `result`; a yes is debited. */
    tryTake(call: Call, result: SlotResult, now: number): boolean {
        if (!isRetryable(call, result) || call.retryBudget < 1 || now >= call.deadlineAt) {
            return false;
        }
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}

/** A call's retries, divided between this level of the call tree and the levels below. */
export interface BudgetSplit {
    /** Retries left at this level. */
    readonly ownRetries: number;
    /** What the next attempt's header may pass to the levels below. */
    readonly downstreamBudget: number;
}

/**
 * Divides a budget so that all retries of a chain together never exceed it: what an attempt passes down is
 * gone for this level, whether it was used or not.
 */
export const divideBudget = (budget: number): BudgetSplit => {
    const below = Math.floor(budget / 2);
    return { ownRetries: budget - below, downstreamBudget: below };
};

const isRetryable = (call: Call, result: SlotResult): boolean => {
    switch (result.kind) {
        case "refused":
        case "connect-failed":
            return true;
        case "lost":
            return call.class.idempotent;
        case "answered":
            return call.class.idempotent && retryableStatuses.has(result.status);
        default:
            return false;
    }
};

const retryableStatuses: ReadonlySet<number> = new Set([502, 503]);
const burstRetries = 10;
