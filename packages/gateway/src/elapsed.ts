/** How long a caller has been waiting over its earlier attempts, told by how much shorter its deadline is. */

/** Learns the deadline that callers of each route begin with. */
export class ElapsedTimeEstimator {
    readonly #first = new Map<string, number>();

    /** Milliseconds since the caller's first attempt, as far as can be told. */
    elapsedMs(route: string, deadlineMs: number): number {
        const first = Math.max(this.#first.get(route) ?? 0, deadlineMs);
        this.#first.set(route, first);
        return first - deadlineMs;
    }
}
