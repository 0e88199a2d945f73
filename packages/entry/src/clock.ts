/** The process's clocks, read only here in this package. */

/** Returns monotonic milliseconds; comparable only within the process. */
export const monotonicMs = (): number => performance.now();

/**
 * Returns milliseconds since the Unix epoch, for log lines and as an initial estimate of which incarnation of an
 * entry VM is the latest; correctness doesn't depend on it.
 */
export const wallClockMs = (): number => new Date().getTime();
