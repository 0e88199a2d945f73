/** Tracks how long a service has been overloaded, and decides when refused callers should return. */

/** What is known of a request when it is refused; all times in milliseconds. */
export interface RefusedRequest {
    /** Time until its caller gives up. */
    readonly leftMs: number;
    /** Time by which its start may be delayed so that it still meets its target; negative if it can't. */
    readonly slackMs: number;
    /** Time until the first server may be sent a request; 0 if one may be. */
    readonly closedMs: number;
    /** Expected time in which the present queue drains. */
    readonly drainMs: number;
}

/**
 * The present overload of a service. How long it will last isn't known; the best guess is as long again as it has lasted:
 * a peak of some milliseconds has passed when the caller returns at once, and a burst of seconds would refuse it again.
 */
export class Overload {
    #beganAt = -Infinity;
    #refusedAt = -Infinity;

    /** Records that a request is refused because the service has no room for it. */
    recordRefusal(now: number): void {
        if (this.durationMs(now) === 0) {
            this.#beganAt = now;
        }
        this.#refusedAt = now;
    }

    /** Whether a request has been refused within the last second. */
    isRecent(now: number): boolean {
        return now - this.#refusedAt <= maxBreakMs;
    }

    /** Returns for how long requests have been refused without a break, in milliseconds; 0 if none is refused. */
    durationMs(now: number): number {
        return this.isRecent(now) ? now - this.#beganAt : 0;
    }

    /**
     * Returns after how long a refused caller should return: when the first server is open, or else when the queue has
     * drained, but not before the overload has lasted as long again. A caller that can't be in time any more loses little by
     * returning later, and leaves the room to others until then.
     *
     * @param random spreads the returns of callers that are refused together; at least 0 and below 1
     */
    returnDelayMs(
        { leftMs, slackMs, closedMs, drainMs }: RefusedRequest,
        random: number,
        now: number,
    ): number {
        const longestMs = leftMs * maxReturnShare;
        const spread = 1 + random * (maxSpread - 1);
        const drainedMs = Math.max(minReturnMs, drainMs);
        if (closedMs > 0) {
            return Math.min(longestMs, Math.max(drainedMs, closedMs)) * spread;
        }
        const soonMs = Math.max(drainedMs, this.durationMs(now));
        const delayMs = soonMs <= slackMs ? soonMs : Math.max(soonMs, lateReturnMs);
        return Math.min(longestMs / maxSpread, delayMs) * spread;
    }
}

/** Longest time between two refusals of one overload: a small entry VM gets a few requests per second. */
const maxBreakMs = 1_000;
/** About the duration of a request; a caller that returns sooner finds the same queue. */
const minReturnMs = 120;
/** About the length of a peak. */
const lateReturnMs = 1_000;
/** Longest delay as a share of the time that a caller has left, so that it can return more than once. */
const maxReturnShare = 1 / 3;
/** Callers return after the delay or after up to as many times of it. */
const maxSpread = 2;
