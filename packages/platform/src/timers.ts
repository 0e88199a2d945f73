/** Waiting, as an interface, so that tests can run on virtual time. */

import { setTimeout as delay } from "node:timers/promises";

/** Waits `ms` milliseconds; returns early, without an error, once `signal` is aborted. */
export type Sleep = (ms: number, signal?: AbortSignal) => Promise<void>;

/** Waits by the process's own timers. */
export const sleep: Sleep = async (ms, signal) => {
    try {
        await delay(ms, undefined, signal ? { signal } : {});
    } catch (err) {
        if (!signal?.aborted) {
            throw err;
        }
    }
};

/** Numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Delay before try `attempt` (0 for the first repeat): full jitter under a doubling bound, in milliseconds. */
export const backoffMs = (attempt: number, baseMs: number, maxMs: number, random: Random): number => {
    const bound = Math.min(maxMs, baseMs * 2 ** Math.min(attempt, 30));
    return bound / 2 + (bound / 2) * random();
};
