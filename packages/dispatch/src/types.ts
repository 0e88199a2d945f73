/** The narrow interface between a call's task and the dispatcher of its service. */

import type { BackendServer, RequestClass, Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import type { Observable } from "rxjs";

/** What the dispatcher has to know of a call. Times are milliseconds of the caller's monotonic clock. */
export interface Call {
    /** Unique within the process. */
    readonly id: number;
    readonly class: RequestClass;
    readonly tenant: string;
    /** When the caller gives up. */
    readonly deadlineAt: number;
    /** 1 for the first attempt. */
    readonly attempt: number;
    /** Retries and hedges that the call's tree still allows. */
    readonly retryBudget: number;
    /** Servers already tried for this call, which are avoided while others will do. */
    readonly tried: readonly string[];
}

/** Leave to send one request to one backend server; every slot is settled exactly once. */
export interface Slot {
    readonly server: BackendServer;
    readonly call: Call;
    readonly grantedAt: number;
    /** A second copy of an idempotent call that is taking long. */
    readonly hedge: boolean;
}

/** How a slot's request ended. */
export type SlotResult =
    /** A whole answer; `status` is HTTP's. */
    | { readonly kind: "answered"; readonly status: number }
    /** The server refused before starting. */
    | { readonly kind: "refused"; readonly draining: boolean }
    /** No connection could be opened, nothing was sent. */
    | { readonly kind: "connect-failed" }
    /** The connection broke after the first byte. */
    | { readonly kind: "lost" }
    /** The caller went away or another copy won. */
    | { readonly kind: "cancelled" }
    /** The deadline passed while the server worked. */
    | { readonly kind: "timeout" };

/** What operators see of one backend server through one entry VM. */
export interface ServerView {
    readonly address: string;
    readonly inFlight: number;
    readonly limit: number;
    readonly state: "serving" | "cold" | "ejected" | "draining" | "full" | "lent";
    /** Why it is or isn't getting work, in one sentence. */
    readonly why: string;
}

/** What operators see of one service through one entry VM. */
export interface DispatchView {
    readonly service: string;
    readonly queued: number;
    readonly inFlight: number;
    readonly servers: readonly ServerView[];
}

/**
 * The share of a service's slots that this entry VM dispatches: 0-based `index` among `count` dispatchers.
 * Soft: a wrong share costs milliseconds, never a wrong result.
 */
export interface Share {
    readonly index: number;
    readonly count: number;
}

/** Queues the calls of one service in one entry VM and gives out slots. */
export interface Dispatcher {
    /**
     * Queues a call. The observable gives the call's slot, later perhaps a hedge's slot, and fails with a
     * CallError when the call is refused. Unsubscribing takes the call out of the queue; slots already given
     * still have to be settled.
     */
    submit(call: Call, now: number): Observable<Slot>;
    /** Tells how a slot's request ended, and that the slot is free again. */
    settle(slot: Slot, result: SlotResult, now: number): void;
    /** Tells that the first byte of a slot's answer has arrived. */
    recordFirstByte(slot: Slot, now: number): void;
    /** Takes a load report of a server, `ageMs` old. */
    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void;
    /** Follows a newly accepted text or a new share; slots in flight stay as they are. */
    update(service: Service, share: Share, now: number): void;
    /** Names servers that the platform's list says are leaving. */
    markLeaving(addresses: ReadonlySet<string>, now: number): void;
    /** Does what has come due (deadlines, hedges, slow starts) and tells when the next thing will be. */
    tick(now: number): number;
    view(now: number): DispatchView;
}
