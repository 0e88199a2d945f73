/** The measurements' clock: the one place of this package that reads it. */

/** Milliseconds of a monotonic clock. */
export const monotonicMs = (): number => performance.now();

/** Resolves after `ms` milliseconds; never, and without keeping the process alive, once the signal aborts. */
export const delay = async (ms: number, signal?: AbortSignal): Promise<void> =>
    await new Promise(resolve => {
        const timer = setTimeout(resolve, ms);
        signal?.addEventListener("abort", () => clearTimeout(timer));
    });
