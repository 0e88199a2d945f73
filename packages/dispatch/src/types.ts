/** Interface between the proxy, which sends the requests of calls, and the dispatcher of their service. */

import type { BackendServer, RequestClass, Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { Observable } from "rxjs";

/** What the dispatcher needs to know of a call. Times are milliseconds of one monotonic clock. */
export interface Call {
    /** Unique within the process. */
    readonly id: number;
    readonly class: RequestClass;
    readonly tenant: string;
    /** The caller's deadline. */
    readonly deadlineAt: number;
    /** 1 for the first attempt. */
    readonly attempt: number;
    /** Retries and hedges that are left for this call and the calls that it makes. */
    readonly retryBudget: number;
    /** Addresses of the servers already tried for this call; avoided while others are available. */
    readonly tried: readonly string[];
}

/** Permission to send one request to one backend server; settled exactly once. */
export interface Slot {
    readonly server: BackendServer;
    readonly call: Call;
    readonly grantedAt: number;
    /** Whether the request is a second copy of an idempotent call that takes long. */
    readonly hedge: boolean;
}

/** How a slot's request ended. */
export type SlotResult =
    /** The server responded completely; `status` is the HTTP status. */
    | { readonly kind: "answered"; readonly status: number }
    /** The server refused the request without running it. */
    | { readonly kind: "refused"; readonly draining: boolean }
    /** No connection could be opened; nothing was sent. */
    | { readonly kind: "connect-failed" }
    /** The connection broke after the first byte of the request was sent. */
    | { readonly kind: "lost" }
    /** The caller disconnected, or another copy of the request got its response first. */
    | { readonly kind: "cancelled" }
    /** The deadline passed before the server responded. */
    | { readonly kind: "timeout" };

/** State of one backend server in one entry VM, as shown to operators. */
export interface ServerView {
    readonly address: string;
    readonly inFlight: number;
    readonly limit: number;
    readonly state: "serving" | "cold" | "ejected" | "draining" | "full" | "limited" | "lent";
    /** Why the server does or doesn't get requests, in one sentence. */
    readonly why: string;
}

/** State of one service in one entry VM, as shown to operators. */
export interface DispatchView {
    readonly service: string;
    readonly queued: number;
    readonly inFlight: number;
    readonly servers: readonly ServerView[];
}

/**
 * This entry VM's place among the dispatchers of a service, which determines its share of the slots: 0-based
 * `index` among `count` dispatchers. An outdated share costs some milliseconds of latency, never a wrong result.
 */
export interface Share {
    readonly index: number;
    readonly count: number;
}

/** Queues the calls of one service in one entry VM and grants slots. */
export interface Dispatcher {
    /**
     * Queues a call on subscription. The observable emits the call's slot and possibly a second one for a hedge,
     * and fails with a CallError if the call is refused. Unsubscribing removes the call from the queue; slots
     * already emitted still have to be settled.
     */
    submit(call: Call, now: number): Observable<Slot>;
    /** Records how a slot's request ended and frees the slot. */
    settle(slot: Slot, result: SlotResult, now: number): void;
    /** Records that the first byte of the response to a slot's request has arrived. */
    recordFirstByte(slot: Slot, now: number): void;
    /** Records a server's load report that is `ageMs` old. */
    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void;
    /**
     * Records the requests per second that a server takes from all dispatchers together, as it said at `namedAt`; Infinity
     * if it named no limit.
     */
    recordLimit(address: string, perSecond: number, namedAt: number, now: number): void;
    /** Applies a newly accepted configuration of the service or a new share; slots in flight are not affected. */
    update(service: Service, share: Share, now: number): void;
    /** Sets the addresses of all servers that are leaving according to the platform's list. */
    markLeaving(addresses: ReadonlySet<string>, now: number): void;
    /** Handles what has come due, such as deadlines, hedges and messages; returns when to call it again. */
    tick(now: number): number;
    /** Returns the state that operators see. */
    view(now: number): DispatchView;
}
