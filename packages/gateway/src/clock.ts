/** The process's clocks; no other module of this package reads them. */

/** Returns the milliseconds of a monotonic clock; comparable within this process only. */
export const monotonicMs = (): number => performance.now();

/**
 * Returns milliseconds since the Unix epoch, for log lines and as a hint to which run of a process is newer. No
 * safety property depends on it.
 */
export const wallClockMs = (): number => new Date().getTime();
