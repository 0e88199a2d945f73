/** Types that the balancer shares with its callers. Times are monotonic milliseconds. */

import type { RouteKind, ServerEntry } from "@bramleymoor/model/route";

/** One request to be sent to a backend server. */
export interface Request {
    /** Unique within the process. */
    readonly id: number;
    readonly kind: RouteKind;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedAt: number;
    /** End of the target latency, counted from the caller's first attempt if that is known. */
    readonly targetAt: number;
    /** The caller's deadline or the end of the route's timeout, whichever comes first. */
    readonly deadlineAt: number;
    /** When the caller gives up, further attempts of its own included. */
    readonly callerDeadlineAt: number;
    /** Ids of the servers that this request was already sent to. */
    readonly tried: readonly string[];
    /** Name of the client account; absent if it isn't known. */
    readonly account?: string;
}

/** A server of the service, as the store lists it. */
export interface ListedServer {
    readonly entry: ServerEntry;
    /** Whether its entry expired during an outage of the store; the server may still be running. */
    readonly lapsed: boolean;
    /** Whether its failure domain is evacuated, so that it gets neither requests nor probes; absent if not. */
    readonly evacuated?: boolean;
}

/** Load of a server as reported by itself. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current processing time as a multiple of the normal one; 1 if the server doesn't report it. */
    readonly slowdown: number;
}

/** Permission to send one request to one server; settled exactly once. */
export interface Slot {
    readonly request: Request;
    readonly server: ServerEntry;
    readonly grantedAt: number;
    /** Known load of the server when it was chosen. */
    readonly load: LoadSnapshot;
}

/** Load of a server as known to this entry VM at one moment. */
export interface LoadSnapshot {
    /** Requests of this entry VM in flight on the server. */
    readonly inFlight: number;
    /** The latest load report; undefined before the first. */
    readonly report: LoadReport | undefined;
    /** Age of that report in milliseconds; 0 if there is none. */
    readonly ageMs: number;
}

/** How a slot's request ended. */
export type SlotResult =
    /** The server responded; `status` is the HTTP status, `notNow` whether it named a time until which it wants none. */
    | { readonly kind: "answered"; readonly status: number; readonly notNow?: boolean }
    /** The server refused the request without running it. */
    | { readonly kind: "refused"; readonly reason: "full" | "leaving" | "other-incarnation" }
    /** No connection could be opened; nothing was sent. */
    | { readonly kind: "unreachable" }
    /** The connection broke, or the bytes received were not a response to this request. */
    | { readonly kind: "lost" }
    /** The deadline passed before the server responded. */
    | { readonly kind: "timeout" }
    /**
     * The caller disconnected, or another send of the request was answered first; `overtaken` if that was sent later, so that this
     * server is slower than the other one.
     */
    | { readonly kind: "cancelled"; readonly overtaken?: boolean };

/** Why a request is refused. */
export interface Refusal {
    readonly reason: "no-server" | "overloaded";
    /** Time until a slot is likely to be free, in milliseconds. */
    readonly retryAfterMs: number;
}
