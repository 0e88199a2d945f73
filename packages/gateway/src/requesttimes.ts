/** The times that bound a request, all counted from its arrival. */

import type { Route } from "@bramleymoor/model/route";
import { totalAgeMs, type RequestAge } from "@bramleymoor/proxy/requestage";

/** Times of one request, in monotonic milliseconds. */
export interface RequestTimes {
    /** When it reached this entry VM, or the one that passed it on. */
    readonly arrivedAt: number;
    /** When it must be answered: at the end of the route's timeout or when its caller gives up. */
    readonly deadlineAt: number;
    /** When the caller gives up, further attempts of its own included. */
    readonly callerDeadlineAt: number;
    /** Until when a send can be expected to succeed. */
    readonly latestSendAt: number;
    /** Time that the caller gave at the arrival, in milliseconds. */
    readonly givenMs: number;
}

/**
 * Returns the times of a request whose head has been read.
 *
 * @param callerDeadlineMs how long the caller, or the peer that passed the request on, will wait; undefined if it doesn't say
 */
export const requestTimes = (
    { timeoutMs, targetLatencyMs }: Pick<Route, "timeoutMs" | "targetLatencyMs">,
    age: RequestAge,
    callerDeadlineMs: number | undefined,
    now: number,
): RequestTimes => {
    const arrivedAt = now - totalAgeMs(age);
    const givenMs = callerDeadlineMs === undefined ? timeoutMs : callerDeadlineMs + age.peerMs;
    const allowedMs = Math.min(givenMs, timeoutMs);
    return {
        arrivedAt,
        deadlineAt: arrivedAt + allowedMs,
        callerDeadlineAt: arrivedAt + givenMs,
        latestSendAt: arrivedAt + allowedMs - Math.min(allowedMs, targetLatencyMs) * minServeShare,
        givenMs,
    };
};

/** Share of the target latency in which hardly any server answers. */
const minServeShare = 0.1;
