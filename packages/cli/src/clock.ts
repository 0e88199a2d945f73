/** The only module that reads the clock. */

/** Returns milliseconds of a monotonic clock. */
export const monotonicMs = (): number => performance.now();
