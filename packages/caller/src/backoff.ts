/** How long a caller waits before its next attempt. */

/** A number from 0 up to, but without, 1. */
export type Random = () => number;

const firstPauseMs = 20;
const maxPauseMs = 2000;
const jitterShare = 0.5;

/**
 * Pause in milliseconds after a failed attempt. What the answer asks for is a lower bound, spread upwards so
 * that callers who were told the same don't come back together; otherwise an exponential pause, spread from 0.
 */
export const retryDelayMs = (attempt: number, retryAfterMs: number | undefined, random: Random): number => {
    if (retryAfterMs !== undefined) {
        return retryAfterMs * (1 + jitterShare * random());
    }
    return Math.min(maxPauseMs, firstPauseMs * 2 ** (attempt - 1)) * random();
};
