/** What the balancer needs to know of the request limits that servers name. */

/** Limits the requests to servers that name a limit. Servers are identified by their incarnation key. */
export interface SendLimiter {
    /** Records that a request is sent to a server. */
    recordSend(key: string, now: number): void;
    /** Records that a probe is sent to a server. */
    recordProbe(key: string): void;
}

/** Used where no server names a limit. */
export const noLimits: SendLimiter = {
    recordSend: () => undefined,
    recordProbe: () => undefined,
};
