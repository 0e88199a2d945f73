/** Reports on finished calls, for metrics and log events. */

import type { ErrorKind } from "@bramleymoor/protocol/errors";

/** How a call ended for its caller. */
export type CallOutcome =
    /** The caller was sent a backend server's complete response. */
    | "answered"
    /** The caller disconnected. */
    | "cancelled"
    /** The response was truncated or stalled, so the caller's connection was closed. */
    | "broken"
    /** A stored response was replayed from the at-most-once table. */
    | "replayed"
    /** Another entry VM handled the call. */
    | "forwarded"
    | ErrorKind;

/** One finished call. Times are in milliseconds. */
export interface CallRecord {
    readonly service: string;
    readonly tenant: string;
    /** Name of the request class; "-" if the call was refused before it was known. */
    readonly class: string;
    readonly outcome: CallOutcome;
    /** HTTP status sent to the caller; 0 if there was no response. */
    readonly status: number;
    /** Time spent waiting for a slot. */
    readonly queueMs: number;
    /** Time from the first byte sent to a backend server until the first byte of its response. */
    readonly serverMs: number;
    /** Time from the call's arrival until the first byte of the response, minus queueMs and serverMs. */
    readonly addedMs: number;
    /** Time from the call's arrival until the last byte of the response. */
    readonly totalMs: number;
    /** Size of the response body. */
    readonly bytesOut: number;
    /** Number of requests sent to backend servers, including hedges. */
    readonly sends: number;
    readonly hedges: number;
    readonly retries: number;
}

/** Receives the proxy's reports. */
export interface CallObserver {
    /** Called when a call has ended. */
    callEnded(record: CallRecord): void;
    /** Called when a request could not be parsed. `code` is Node's error code, `remoteAddress` an IP address. */
    badRequest(code: string, remoteAddress: string): void;
    /** Called when a connection was closed unread, `waitMs` after it arrived. */
    connectionUnread(waitMs: number): void;
    /** Called for an error that is neither the caller's nor a server's. */
    internalError(doing: string, err: unknown): void;
}
