/** The process's clocks: the one place that reads them. */

/** Milliseconds of a monotonic clock; comparable within the process only. */
export const monotonicMs = (): number => performance.now();

/** Milliseconds since 1970, for log lines and as a first guess at an order of runs; no safety rests on it. */
export const wallClockMs = (): number => new Date().getTime();
