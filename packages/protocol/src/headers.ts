/**
 * Header names and paths of the interfaces for callers and backend servers. Times are sent as remaining
 * milliseconds, never as timestamps, so the machines' clocks need not be synchronized.
 */

/** Request headers that callers send to entry VMs and entry VMs send to backend servers. */
export const callHeaders = {
    /** Milliseconds until the caller's deadline; an integer. */
    deadline: "bm-deadline-ms",
    /** Tenant of the caller, used for fair queueing and histograms. */
    tenant: "bm-tenant",
    /** Name of the request class; by default method and path determine it. */
    class: "bm-class",
    /** Identifier chosen by the caller; every retry of a request repeats it. */
    requestId: "bm-request-id",
    /** Ticket from an address query; every retry of a request repeats it. */
    ticket: "bm-ticket",
    /** 1 for the first attempt; the caller increments it on each retry. */
    attempt: "bm-attempt",
    /** Number of ancestors in the call tree; 0 for a root call. */
    depth: "bm-depth",
    /** Retries and hedges still allowed for the call and its descendants. */
    retryBudget: "bm-retry-budget",
    /** Set when an entry VM forwards a call to another entry VM, which never forwards it again. */
    forwarded: "bm-forwarded",
    /** Set by an entry VM, new for each send to a backend server, which repeats it in its response. */
    sendId: "bm-send-id",
} as const;

/** Response headers. */
export const responseHeaders = {
    /** Error kind, if an entry VM generated the response rather than a backend server. */
    error: "bm-error",
    /** Whether the request was executed: "not run", "ran" or "outcome unknown". */
    ran: "bm-ran",
    /** Milliseconds after which the caller may retry; an integer. */
    retryAfter: "bm-retry-after-ms",
    /** The backend server's load report; see LoadReport. */
    load: "bm-load",
    /** Set by a backend server that refused a request before executing it: "shed" or "drain". */
    refused: "bm-refused",
    /** Set on a stored response that the at-most-once table replays. */
    replayed: "bm-replayed",
    /** Id of the send that a backend server responds to, as it received it; proves whose response it is. */
    sendId: "bm-send-id",
} as const;

/** Path prefix of calls: /v1/call/SERVICE/PATH. */
export const callPathPrefix = "/v1/call/";

/** Path prefix of address queries: /v1/addresses/SERVICE. */
export const addressesPathPrefix = "/v1/addresses/";

/** Path of a backend server's load endpoint, which returns a LoadReport as JSON. */
export const loadPath = "/bm/load";

/** Maximum depth of a call tree; deeper calls are refused. */
export const maxCallDepth = 6;
