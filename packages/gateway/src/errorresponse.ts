/** Error responses that the entry VM itself sends to callers of routes. */

import type { ServerResponse } from "node:http";
import type { CallError } from "@bramleymoor/protocol/errors";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import { errorBody } from "@bramleymoor/proxy/responses";

/** Sends the response for an error, unless the caller has disconnected or a response has already started. */
export const sendError = (res: ServerResponse, error: CallError, extraHeaders: readonly string[]): void => {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const text = JSON.stringify(errorBody(error));
    const headers = ["Content-Type", "application/json", "Content-Length", String(Buffer.byteLength(text))];
    headers.push(responseHeaders.ran, error.info.ran);
    if (error.retryAfterMs !== undefined) {
        headers.push("Retry-After", (error.retryAfterMs / msPerSecond).toFixed(2));
    }
    if (error.kind === "unauthorized") {
        headers.push("WWW-Authenticate", "Bearer");
    }
    res.writeHead(statusOf(error), [...headers, ...extraHeaders]);
    res.end(text);
};

/**
 * Returns the HTTP status for an error. A server-side error of a request that did not run always gets 503, the status
 * that guarantees this to callers; the other statuses guarantee nothing.
 */
export const statusOf = ({ info }: CallError): number =>
    info.ran === "not run" && info.status >= firstServerErrorStatus ? notRunStatus : info.status;

const firstServerErrorStatus = 500;
const notRunStatus = 503;
const msPerSecond = 1_000;
