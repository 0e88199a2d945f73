/** What the balancer needs to know of the request limits that servers name. */

/** Limits the requests to servers that name a limit. Servers are identified by their incarnation key. */
export interface SendLimiter {
    /** Requests per second that may be sent to a server from here; Infinity if it names no limit. */
    shareOf(key: string, now: number): number;
    /** Earliest time at which a request may be sent to a server; Infinity if that isn't known. */
    nextSendAt(key: string, now: number): number;
    /** Records that there are requests that a server could serve. */
    recordDemand(key: string, now: number): void;
    /** Records that a request is sent to a server. */
    recordSend(key: string, now: number): void;
    /** Records that a probe is sent to a server. */
    recordProbe(key: string): void;
}

/** Used where no server names a limit. */
export const noLimits: SendLimiter = {
    shareOf: () => Infinity,
    nextSendAt: () => -Infinity,
    recordDemand: () => undefined,
    recordSend: () => undefined,
    recordProbe: () => undefined,
};
