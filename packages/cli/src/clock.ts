/** The program's clocks: the one place that reads them. */

/** Milliseconds of a monotonic clock. */
export const monotonicMs = (): number => performance.now();
