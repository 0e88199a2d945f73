/** A request's age: the one account of the time since its first byte reached an entry VM. */

import type { IncomingMessage } from "node:http";

/** Where a request has spent time before its handler runs, in milliseconds; waits that can't be measured are upper bounds. */
export interface RequestAge {
    /** At the entry VM that passed it on. */
    readonly peerMs: number;
    /** Since its connection arrived, if that is just being read, or since the connection was last read before a pause. */
    readonly acceptMs: number;
    /** Unread in an accepted connection, while the event loop was busy; a part of `acceptMs` if that isn't 0. */
    readonly unreadMs: number;
    /** From the first byte of its head to the last one. */
    readonly headMs: number;
}

/** Returns the time since a request's first byte reached the first entry VM, in milliseconds. */
export const totalAgeMs = ({ peerMs, acceptMs, unreadMs, headMs }: RequestAge): number =>
    peerMs + Math.max(acceptMs, unreadMs) + headMs;

/** Returns the age of a request of a caller; called when its head is complete. Times are in milliseconds. */
export const ageOfRequest = (
    { socket }: IncomingMessage,
    { acceptMs, unreadMs }: Pick<RequestAge, "acceptMs" | "unreadMs">,
): RequestAge => {
    const { parser } = socket as { readonly parser?: HeadParser };
    return { peerMs: 0, acceptMs, unreadMs, headMs: parser?.duration?.() ?? 0 };
};

/** Part of Node's parser that its own time-outs of request heads use; not in its documentation or types. */
interface HeadParser {
    /** Returns the milliseconds since the first byte of the present message. */
    readonly duration?: () => number;
}
