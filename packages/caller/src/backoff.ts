/** Delay between the attempts of a call. */

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const baseDelayMs = 20;
const maxDelayMs = 2000;
/** Maximum jitter on top of a requested delay, as a share of that delay. */
const jitterShare = 0.5;

/**
 * Returns the delay after a failed attempt, in milliseconds. A delay requested by the response is a lower bound;
 * jitter is added to it, so that callers that got the same delay don't all retry at once. Without a requested
 * delay, it is an exponential backoff with full jitter.
 *
 * @param attempt number of the failed attempt; 1 for the first
 */
export const retryDelayMs = (attempt: number, retryAfterMs: number | undefined, random: Random): number => {
    if (retryAfterMs !== undefined) {
        return retryAfterMs * (1 + jitterShare * random());
    }
    return Math.min(maxDelayMs, baseDelayMs * 2 ** (attempt - 1)) * random();
};
