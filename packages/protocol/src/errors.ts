/** The closed list of error kinds and the response that each one produces. */

/** Whether a backend server executed the request. */
export type ExecutionState = "not run" | "ran" | "outcome unknown";

/** Where a caller may retry: nowhere, at the same address, at another one, or after a new address query. */
export type RetryAdvice = "never" | "same" | "other" | "ask again";

/** The response that an error kind produces. */
export interface ErrorKindInfo {
    /** HTTP status code. */
    readonly status: number;
    readonly ran: ExecutionState;
    readonly retry: RetryAdvice;
    /** Human-readable description. */
    readonly text: string;
}

const info = (status: number, ran: ExecutionState, retry: RetryAdvice, text: string): ErrorKindInfo => ({
    status,
    ran,
    retry,
    text,
});

/** The response of every error kind. */
export const errorKinds = {
    "bad-request": info(400, "not run", "never", "The request could not be read."),
    "bad-header": info(400, "not run", "never", "A bm- header has a value that can't be read."),
    "unknown-path": info(404, "not run", "never", "No such path; calls go to /v1/call/SERVICE/PATH."),
    "unknown-service": info(404, "not run", "never", "The accepted text has no such service."),
    "no-route": info(
        404,
        "not run",
        "never",
        "No route of the accepted configuration has this host and path.",
    ),
    "body-too-large": info(
        413,
        "not run",
        "never",
        "The request's body is larger than the configuration allows.",
    ),
    "head-too-large": info(
        431,
        "not run",
        "never",
        "The request's head is larger than the configuration allows.",
    ),
    unauthorized: info(401, "not run", "never", "The request carries no key of a client account."),
    "over-quota": info(429, "not run", "same", "The client account has used up its quota."),
    "quota-unavailable": info(
        503,
        "not run",
        "other",
        "This entry VM can't reach those that hold the client account's quota.",
    ),
    "accounts-outdated": info(
        503,
        "not run",
        "other",
        "This entry VM hasn't confirmed the client accounts for too long.",
    ),
    "upgrade-refused": info(501, "not run", "never", "Protocol upgrades are not supported."),
    "depth-exceeded": info(508, "not run", "never", "The call tree is deeper than 6."),
    "not-ready": info(503, "not run", "other", "This entry VM has no accepted configuration yet."),
    stopping: info(503, "not run", "ask again", "This entry VM is stopping."),
    overloaded: info(503, "not run", "same", "The service has more requests than it can serve."),
    "no-server": info(503, "not run", "same", "No backend server of the service may take work now."),
    "deadline-queued": info(504, "not run", "never", "The deadline passed while the request was queued."),
    "connect-failed": info(502, "not run", "same", "No connection to a backend server could be opened."),
    "server-refused": info(503, "not run", "same", "Backend servers refused the request before starting it."),
    "no-links": info(
        503,
        "not run",
        "other",
        "This entry VM can't reach the backend servers at present, and no other one has room for its callers.",
    ),
    quarantined: info(
        503,
        "not run",
        "same",
        "Backend servers have ended while they ran this request; it isn't sent to others for now.",
    ),
    "deadline-sent": info(
        504,
        "outcome unknown",
        "never",
        "The deadline passed before the backend server answered. Whether the request ran isn't known: look whether " +
            "it took effect before sending it as a new request.",
    ),
    "server-lost": info(
        502,
        "outcome unknown",
        "same",
        "The backend server's connection broke before its answer. Whether the request ran isn't known: look " +
            "whether it took effect before sending it as a new request.",
    ),
    "request-id-missing": info(
        400,
        "not run",
        "never",
        "A non-idempotent request needs bm-request-id and bm-ticket.",
    ),
    "ticket-unreadable": info(
        400,
        "not run",
        "ask again",
        "The ticket can't be read; ask for addresses again.",
    ),
    "ticket-expired": info(
        409,
        "outcome unknown",
        "never",
        "The ticket has expired; what became of the request isn't known.",
    ),
    "issuer-gone": info(503, "outcome unknown", "never", "The entry VM that issued the ticket is gone."),
    "issuer-unreachable": info(
        503,
        "outcome unknown",
        "same",
        "The entry VM that issued the ticket can't be reached now.",
    ),
    "table-full": info(503, "not run", "same", "The at-most-once table is full."),
    "not-decided": info(
        503,
        "outcome unknown",
        "same",
        "The at-most-once table is full; whether an attempt runs can't be told.",
    ),
    "caller-gone": info(499, "not run", "same", "The caller went away before the request was sent."),
    "request-conflict": info(
        422,
        "not run",
        "never",
        "This request id was used before with another request.",
    ),
    "answer-not-kept": info(
        409,
        "ran",
        "never",
        "The request ran; its answer was too large to keep for a repeat.",
    ),
    internal: info(500, "outcome unknown", "never", "The entry VM failed while handling the request."),
} as const satisfies Readonly<Record<string, ErrorKindInfo>>;

/** Name of an error kind. */
export type ErrorKind = keyof typeof errorKinds;

/** Names of all error kinds. */
export const errorKindNames = Object.keys(errorKinds) as readonly ErrorKind[];

/** Returns whether `text` is the name of an error kind. */
export const isErrorKind = (text: string): text is ErrorKind => Object.hasOwn(errorKinds, text);

/** A failed request; `kind` determines the response. */
export class CallError extends Error {
    /**
     * @param kind determines the status code, the execution state and the retry advice
     * @param detail details of this failure, appended to the kind's description
     * @param retryAfterMs delay before the caller may retry, in milliseconds; undefined if the kind forbids retries
     */
    constructor(
        readonly kind: ErrorKind,
        readonly detail = "",
        readonly retryAfterMs: number | undefined = undefined,
    ) {
        super(detail === "" ? errorKinds[kind].text : `${errorKinds[kind].text} ${detail}`);
        this.name = "CallError";
    }

    /** The response that the kind produces. */
    get info(): ErrorKindInfo {
        return errorKinds[this.kind];
    }
}
