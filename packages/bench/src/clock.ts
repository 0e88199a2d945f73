/** The clock of the measurements; no other module of this package reads it. */

/** Returns the time of a monotonic clock in milliseconds. */
export const monotonicMs = (): number => performance.now();

/** Resolves after `ms` milliseconds; if the signal aborts, never resolves and doesn't keep the process alive. */
export const delay = async (ms: number, signal?: AbortSignal): Promise<void> =>
    await new Promise(resolve => {
        const timer = setTimeout(resolve, ms);
        signal?.addEventListener("abort", () => clearTimeout(timer));
    });
