/** Estimates the time that a caller has spent on earlier attempts from how far its deadline has shrunk. */

/** Learns the initial deadline of each route's callers: the longest one seen. */
export class ElapsedTimeEstimator {
    readonly #initialDeadlines = new Map<string, number>();

    /** Returns the estimated milliseconds since the caller's first attempt. */
    elapsedMs(route: string, deadlineMs: number): number {
        const initialMs = Math.max(this.#initialDeadlines.get(route) ?? 0, deadlineMs);
        this.#initialDeadlines.set(route, initialMs);
        return initialMs - deadlineMs;
    }
}
