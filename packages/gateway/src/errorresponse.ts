/** Writes the entry VM's own answers to callers of routes. */

import type { ServerResponse } from "node:http";
import type { CallError } from "@bramleymoor/protocol/errors";
import { errorBody } from "@bramleymoor/proxy/responses";

/** Writes an error's answer, unless the caller has gone or an answer has begun. */
export const writeErrorResponse = (res: ServerResponse, error: CallError, extra: readonly string[]): void => {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const text = JSON.stringify(errorBody(error));
    const headers = ["Content-Type", "application/json", "Content-Length", String(Buffer.byteLength(text))];
    if (error.retryAfterMs !== undefined) {
        headers.push("Retry-After", (error.retryAfterMs / msPerSecond).toFixed(2));
    }
    res.writeHead(statusOf(error), [...headers, ...extra]);
    res.end(text);
};

/** A request that has not run is always refused with a status that promises so; the others promise nothing. */
export const statusOf = ({ info: row }: CallError): number =>
    row.ran === "not run" && row.status >= serverErrors ? notRunStatus : row.status;

const serverErrors = 500;
const notRunStatus = 503;
const msPerSecond = 1_000;
