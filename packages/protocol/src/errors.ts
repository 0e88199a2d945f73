/** The closed list of error kinds, and the table from kind to the answer a caller gets. */

/** Whether the request has run at a backend server. */
export type ExecutionState = "not run" | "ran" | "outcome unknown";

/** Where a caller may retry: nowhere, at the same address, at another one, or after asking for addresses again. */
export type RetryAdvice = "never" | "same" | "other" | "ask again";

/** One row of the table. */
export interface ErrorKindInfo {
    /** HTTP status of the answer. */
    readonly status: number;
    readonly ran: ExecutionState;
    readonly retry: RetryAdvice;
    /** Plain sentence for the person who reads the answer. */
    readonly text: string;
}

const row = (status: number, ran: ExecutionState, retry: RetryAdvice, text: string): ErrorKindInfo => ({
    status,
    ran,
    retry,
    text,
});

/** Every error kind with its answer. */
export const errorKinds = {
    "bad-request": row(400, "not run", "never", "The request could not be read."),
    "bad-header": row(400, "not run", "never", "A bm- header has a value that can't be read."),
    "unknown-path": row(404, "not run", "never", "No such path; calls go to /v1/call/SERVICE/PATH."),
    "unknown-service": row(404, "not run", "never", "The accepted text has no such service."),
    "no-route": row(
        404,
        "not run",
        "never",
        "No route of the accepted configuration has this host and path.",
    ),
    "body-too-large": row(
        413,
        "not run",
        "never",
        "The request's body is larger than the configuration allows.",
    ),
    "head-too-large": row(
        431,
        "not run",
        "never",
        "The request's head is larger than the configuration allows.",
    ),
    "upgrade-refused": row(501, "not run", "never", "Protocol upgrades are not supported."),
    "depth-exceeded": row(508, "not run", "never", "The call tree is deeper than 6."),
    "not-ready": row(503, "not run", "other", "This entry VM has no accepted configuration yet."),
    stopping: row(503, "not run", "ask again", "This entry VM is stopping."),
    overloaded: row(503, "not run", "same", "The service has more requests than it can serve."),
    "no-server": row(503, "not run", "same", "No backend server of the service may take work now."),
    "deadline-queued": row(504, "not run", "never", "The deadline passed while the request was queued."),
    "connect-failed": row(502, "not run", "same", "No connection to a backend server could be opened."),
    "server-refused": row(503, "not run", "same", "Backend servers refused the request before starting it."),
    "deadline-sent": row(
        504,
        "outcome unknown",
        "never",
        "The deadline passed before the backend server answered. Whether the request ran isn't known: look whether " +
            "it took effect before sending it as a new request.",
    ),
    "server-lost": row(
        502,
        "outcome unknown",
        "same",
        "The backend server's connection broke before its answer. Whether the request ran isn't known: look " +
            "whether it took effect before sending it as a new request.",
    ),
    "request-id-missing": row(
        400,
        "not run",
        "never",
        "A non-idempotent request needs bm-request-id and bm-ticket.",
    ),
    "ticket-unreadable": row(
        400,
        "not run",
        "ask again",
        "The ticket can't be read; ask for addresses again.",
    ),
    "ticket-expired": row(
        409,
        "outcome unknown",
        "never",
        "The ticket has expired; what became of the request isn't known.",
    ),
    "issuer-gone": row(503, "outcome unknown", "never", "The entry VM that issued the ticket is gone."),
    "issuer-unreachable": row(
        503,
        "outcome unknown",
        "same",
        "The entry VM that issued the ticket can't be reached now.",
    ),
    "table-full": row(503, "not run", "same", "The at-most-once table is full."),
    "not-decided": row(
        503,
        "outcome unknown",
        "same",
        "The at-most-once table is full; whether an attempt runs can't be told.",
    ),
    "caller-gone": row(499, "not run", "same", "The caller went away before the request was sent."),
    "request-conflict": row(422, "not run", "never", "This request id was used before with another request."),
    "answer-not-kept": row(
        409,
        "ran",
        "never",
        "The request ran; its answer was too large to keep for a repeat.",
    ),
    internal: row(500, "outcome unknown", "never", "The entry VM failed while handling the request."),
} as const satisfies Readonly<Record<string, ErrorKindInfo>>;

/** Name of an error kind. */
export type ErrorKind = keyof typeof errorKinds;

/** Every error kind's name. */
export const errorKindNames = Object.keys(errorKinds) as readonly ErrorKind[];

/** Tells whether `text` names an error kind. */
export const isErrorKind = (text: string): text is ErrorKind => Object.hasOwn(errorKinds, text);

/** A request's failure, with the kind that decides its answer. */
export class CallError extends Error {
    /**
     * @param kind decides status, whether the request ran, and where to retry
     * @param detail what is particular to this failure, for the reader of the answer
     * @param retryAfterMs when the caller may come back; undefined if the kind says never
     */
    constructor(
        readonly kind: ErrorKind,
        readonly detail = "",
        readonly retryAfterMs: number | undefined = undefined,
    ) {
        super(detail === "" ? errorKinds[kind].text : `${errorKinds[kind].text} ${detail}`);
        this.name = "CallError";
    }

    /** The answer that the kind stands for. */
    get info(): ErrorKindInfo {
        return errorKinds[this.kind];
    }
}
