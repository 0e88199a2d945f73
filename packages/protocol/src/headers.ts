/**
 * Header names of the callers' and the backend servers' interfaces. Times are remaining milliseconds, never
 * clock readings, so that no two machines' clocks need to agree.
 */

/** Headers a caller may send with a call, and an entry VM sends on to the backend server. */
export const callHeaders = {
    /** Milliseconds left until the caller gives up; a whole number. */
    deadline: "bm-deadline-ms",
    /** Who the caller is, for fairness and histograms. */
    tenant: "bm-tenant",
    /** Name of the request's class; otherwise method and path decide. */
    class: "bm-class",
    /** The caller's own identity for the request, the same on every retry. */
    requestId: "bm-request-id",
    /** Ticket from the answer to "which addresses", the same on every retry. */
    ticket: "bm-ticket",
    /** 1 for the first attempt, counted up by the caller on each retry. */
    attempt: "bm-attempt",
    /** How many calls of the tree lie above this one; 0 for an outermost call. */
    depth: "bm-depth",
    /** Retries and hedges still allowed below this call. */
    retryBudget: "bm-retry-budget",
    /** Set by an entry VM on a call it passes on to another entry VM; such a call is never passed on again. */
    forwarded: "bm-forwarded",
} as const;

/** Headers of an answer. */
export const responseHeaders = {
    /** Error kind, when the answer is the system's own and not the backend server's. */
    error: "bm-error",
    /** "not run", "ran" or "outcome unknown". */
    ran: "bm-ran",
    /** Whole milliseconds after which the caller may come back. */
    retryAfter: "bm-retry-after-ms",
    /** The backend server's load report: see LoadReport. */
    load: "bm-load",
    /** Set by a backend server that refused before starting: "shed" or "drain"; the request did not run. */
    refused: "bm-refused",
    /** Set on an answer that the at-most-once table gives again. */
    replayed: "bm-replayed",
} as const;

/** First path segment of a call: /v1/call/SERVICE/PATH. */
export const callPathPrefix = "/v1/call/";

/** First path segment of the question "which addresses": /v1/addresses/SERVICE. */
export const addressesPathPrefix = "/v1/addresses/";

/** Path of a backend server's load endpoint; answers a LoadReport as JSON. */
export const loadPath = "/bm/load";

/** Deepest call tree accepted. */
export const maxCallDepth = 6;
