/** Delays and randomness as function types, so that tests can run in virtual time. */

import { setTimeout as delay } from "node:timers/promises";

/** Waits `ms` milliseconds; resolves early, without an error, when `signal` is aborted. */
export type Sleep = (ms: number, signal?: AbortSignal) => Promise<void>;

/** Waits in real time. */
export const sleep: Sleep = async (ms, signal) => {
    try {
        await delay(ms, undefined, signal ? { signal } : {});
    } catch (err) {
        if (!signal?.aborted) {
            throw err;
        }
    }
};

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/**
 * Returns the delay before a retry in milliseconds: exponential backoff with equal jitter, between half of a
 * doubling bound and the bound.
 *
 * @param attempt 0 for the first retry
 */
export const backoffMs = (attempt: number, baseMs: number, maxMs: number, random: Random): number => {
    const bound = Math.min(maxMs, baseMs * 2 ** Math.min(attempt, 30));
    return bound / 2 + (bound / 2) * random();
};
