/** Limits on retries, which keep them from multiplying the load when servers fail. */

import type { Call, SlotResult } from "./types.js";

/** Limits the retries of one service in one entry VM to a share of its calls. */
export class RetryBudget {
    readonly #ratio: number;
    #tokens = maxTokens;

    /** @param ratio retries as a share of calls, 0 to 1 */
    constructor(ratio: number) {
        this.#ratio = ratio;
    }

    /** Counts a call's first attempt. */
    recordCall(): void {
        this.#tokens = Math.min(maxTokens, this.#tokens + this.#ratio);
    }

    /** Debits one retry and returns true if the call may be retried after `result`, else returns false. */
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
    /** Retries allowed at this level. */
    readonly ownRetries: number;
    /** Budget that the next attempt's header passes on to the levels below. */
    readonly downstreamBudget: number;
}

/**
 * Divides a retry budget so that all retries of a call chain together never exceed it: what an attempt passes
 * down is no longer available at this level, whether it was used or not.
 */
export const divideBudget = (budget: number): BudgetSplit => {
    const downstreamBudget = Math.floor(budget / 2);
    return { ownRetries: budget - downstreamBudget, downstreamBudget };
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
/** Largest burst of retries. */
const maxTokens = 10;
