/** Builds and sends the responses that the entry VM generates itself. */

import type { ServerResponse } from "node:http";
import type { ErrorBody } from "@bramleymoor/protocol/messages";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";

/** Converts any thrown value to a CallError; unexpected ones get the kind `internal`. */
export const toCallError = (err: unknown): CallError =>
    err instanceof CallError ? err : new CallError("internal", err instanceof Error ? err.message : "");

/** Returns the body of an error response. */
export const errorBody = (error: CallError): ErrorBody => ({
    error: error.kind,
    ran: error.info.ran,
    retry: error.info.retry,
    ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs }),
    message: error.message,
});

/** Returns the headers of an error response whose JSON body has `bytes` bytes. */
export const errorHeaders = (error: CallError, bytes: number): string[] => {
    const headers = [
        "Content-Type",
        "application/json",
        "Content-Length",
        String(bytes),
        responseHeaders.error,
        error.kind,
        responseHeaders.ran,
        error.info.ran,
    ];
    if (error.retryAfterMs !== undefined) {
        headers.push(responseHeaders.retryAfter, String(error.retryAfterMs));
        headers.push("Retry-After", String(Math.ceil(error.retryAfterMs / msPerSecond)));
    }
    return headers;
};

const msPerSecond = 1000;

/** Sends an error response, unless a response has already been started or the connection is closed. */
export const sendError = (res: ServerResponse, error: CallError, extra: readonly string[]): void => {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const text = JSON.stringify(errorBody(error));
    res.writeHead(error.info.status, [...errorHeaders(error, Buffer.byteLength(text)), ...extra]);
    res.end(text);
};

/** Returns a complete HTTP error response as text, for sockets that have no ServerResponse. */
export const rawErrorResponse = (error: CallError, reason: string): string => {
    const text = JSON.stringify(errorBody(error));
    const headers = [...errorHeaders(error, Buffer.byteLength(text)), "Connection", "close"];
    const lines = [`HTTP/1.1 ${error.info.status} ${reason}`];
    for (let i = 0; i + 1 < headers.length; i += 2) {
        lines.push(`${headers[i]}: ${headers[i + 1]}`);
    }
    return `${lines.join("\r\n")}\r\n\r\n${text}`;
};

/** Sends a JSON response with status 200. */
export const sendJson = (res: ServerResponse, value: unknown, extra: readonly string[]): void => {
    const text = JSON.stringify(value);
    const length = String(Buffer.byteLength(text));
    res.writeHead(200, ["Content-Type", "application/json", "Content-Length", length, ...extra]);
    res.end(text);
};
