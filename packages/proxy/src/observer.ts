/** What the proxy tells of each call, for metrics and events. */

import type { ErrorKind } from "@bramleymoor/protocol/errors";

/** How a call ended for its caller. */
export type CallOutcome =
    /** A backend server's whole answer went to the caller. */
    | "answered"
    /** The caller went away. */
    | "cancelled"
    /** The backend server's answer broke off; so did the caller's connection. */
    | "cut"
    /** The at-most-once table gave a kept answer again. */
    | "replayed"
    /** The issuing entry VM answered. */
    | "passed"
    | ErrorKind;

/** One finished call. Times are in milliseconds. */
export interface CallRecord {
    readonly service: string;
    readonly tenant: string;
    /** Name of the request class; "-" if the call was refused before it was known. */
    readonly class: string;
    readonly outcome: CallOutcome;
    /** HTTP status told to the caller; 0 if none was. */
    readonly status: number;
    /** Waiting for a slot. */
    readonly queueMs: number;
    /** From the first byte sent to a backend server until the first byte of its answer. */
    readonly serverMs: number;
    /** From the call's arrival until the first byte of the answer, without queueMs and serverMs. */
    readonly addedMs: number;
    /** From the call's arrival until the last byte of the answer. */
    readonly totalMs: number;
    readonly bytesOut: number;
    /** Requests sent to backend servers, hedges included. */
    readonly sends: number;
    readonly hedges: number;
    readonly retries: number;
}

/** Takes what the proxy tells. */
export interface CallObserver {
    /** A call has ended. */
    callEnded(record: CallRecord): void;
    /** A request could not even be parsed; `code` is Node's error code. */
    badRequest(code: string, peer: string): void;
}
