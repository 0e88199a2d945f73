/** What the balancer needs to know of the limits and times that servers name for their requests, and of cold servers. */

/** Decides when requests may be sent to servers. Servers are identified by their incarnation key. */
export interface SendLimiter {
    /** Requests per second that may be sent to a server from here; Infinity if it has no limit. */
    shareOf(key: string, now: number): number;
    /** Earliest time at which a request may be sent to a server; Infinity if that isn't known. */
    nextSendAt(key: string, now: number): number;
    /** Whether the server wants no requests for a time, so that it isn't part of the service's present capacity. */
    isPaused(key: string, now: number): boolean;
    /** Whether a server should get a request although others may serve it better, to learn whether its limit holds. */
    isDue(key: string, now: number): boolean;
    /** Records that there are requests that a server could serve. */
    recordDemand(key: string, now: number): void;
    /** Records that a request is sent to a server. */
    recordSend(key: string, now: number): void;
    /** Records that a request that was sent at `sentAt` has ended, with or without a response. */
    recordEnd(key: string, sentAt: number): void;
    /** Records that a probe is sent to a server. */
    recordProbe(key: string): void;
    /** Whether a server must answer a probe before it is sent a request, as it may be cold. */
    mustProbe(key: string, now: number): boolean;
    /** Whether a server that gets requests should be probed without a request, to learn early that it has become cold. */
    isProbeDue(key: string, now: number): boolean;
    /** Whether a server is cold or counts as cold. */
    isCold(key: string, now: number): boolean;
    /** Records that a request got no response, or no connection. */
    recordFailure(key: string, now: number): void;
    /** Records that a probe got no response. */
    recordUnansweredProbe(key: string, now: number): void;
}

/** Used where servers name neither limits nor times, and are never cold. */
export const noLimits: SendLimiter = {
    shareOf: () => Infinity,
    nextSendAt: () => -Infinity,
    isPaused: () => false,
    isDue: () => false,
    recordDemand: () => undefined,
    recordSend: () => undefined,
    recordEnd: () => undefined,
    recordProbe: () => undefined,
    mustProbe: () => false,
    isProbeDue: () => false,
    isCold: () => false,
    recordFailure: () => undefined,
    recordUnansweredProbe: () => undefined,
};
