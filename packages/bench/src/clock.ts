/** The measurements' clock: the one place of this package that reads it. */

/** Milliseconds of a monotonic clock. */
export const monotonicMs = (): number => performance.now();

/** Resolves after `ms` milliseconds. */
export const delay = async (ms: number): Promise<void> =>
    await new Promise(resolve => setTimeout(resolve, ms));
