/** What the balancer has to know of requests, servers and how sends end. Times are monotonic milliseconds. */

import type { RouteKind, ServerEntry } from "@bramleymoor/model/route";

/** One request that wants a backend server. */
export interface Request {
    /** Unique within the process. */
    readonly id: number;
    readonly kind: RouteKind;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedAt: number;
    /** Until when an answer is worth most; counted from the caller's first attempt as far as that is known. */
    readonly targetAt: number;
    /** When the caller gives up, or the route's timeout has passed, whichever comes first. */
    readonly deadlineAt: number;
    /** Servers that this request was sent to. */
    readonly tried: readonly string[];
}

/** What a server says of its own load. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes there now, as a multiple of the usual; 1 if the server doesn't say. */
    readonly slowdown: number;
}

/** Leave to send one request to one server; settled exactly once. */
export interface Slot {
    readonly request: Request;
    readonly server: ServerEntry;
    readonly grantedAt: number;
    /** What was believed of the server when it was chosen. */
    readonly load: LoadSnapshot;
}

/** What a choice of a server rested on. */
export interface LoadSnapshot {
    /** Requests of this entry VM in flight there. */
    readonly inFlight: number;
    /** The newest load report; undefined if there was none. */
    readonly report: LoadReport | undefined;
    /** Age of that report, in milliseconds. */
    readonly ageMs: number;
}

/** How a send ended. */
export type SlotResult =
    /** An answer of the server's own; `status` is HTTP's. */
    | { readonly kind: "answered"; readonly status: number }
    /** The server says that it did not run the request. */
    | { readonly kind: "refused"; readonly why: "full" | "leaving" | "other-incarnation" }
    /** No connection could be opened, nothing was sent. */
    | { readonly kind: "unreachable" }
    /** The connection broke, or what came was no answer to this request. */
    | { readonly kind: "lost" }
    /** Time ran out while the server worked. */
    | { readonly kind: "timeout" }
    /** The caller went away, or another copy won. */
    | { readonly kind: "cancelled" };

/** Why a request gets no server. */
export interface Refusal {
    readonly reason: "no-server" | "overloaded";
    /** When a slot is likely to be free. */
    readonly retryAfterMs: number;
}
