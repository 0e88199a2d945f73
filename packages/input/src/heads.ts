/** Checks message heads that Node's parser accepts and its writer refuses, and lists the values of headers. */

import type { IncomingMessage } from "node:http";

/** All values of each header, by its name in lower case. */
export type DistinctHeaders = Readonly<Record<string, readonly string[] | undefined>>;

/**
 * Returns why a response's head isn't one of HTTP, though Node's parser accepts it; undefined if it is. A head that is cut short
 * within a line is completed by the status line of the response behind it, and would give its status to that one's headers.
 */
export const findResponseHeadProblem = ({
    statusCode = 0,
    statusMessage = "",
    headers,
    rawHeaders,
}: Pick<IncomingMessage, "statusCode" | "statusMessage" | "headers" | "rawHeaders">): string | undefined => {
    if (statusCode < minFinalStatus || statusCode > maxStatus) {
        return `the status ${statusCode} doesn't exist`;
    }
    if (!["chunked", undefined].includes(headers["transfer-encoding"]?.toLowerCase())) {
        // Without chunks, it would end with its connection; nothing that was sent to a server accepts another coding.
        return "its transfer coding isn't chunked";
    }
    return holdsStatusLine(statusMessage) || rawHeaders.some(holdsStatusLine)
        ? "it holds the status line of another response"
        : findHeaderProblem(rawHeaders);
};

/** Returns why a request's head isn't one of HTTP, though Node's parser accepts it; undefined if it is. */
export const findRequestHeadProblem = ({
    url = "",
    rawHeaders,
}: Pick<IncomingMessage, "url" | "rawHeaders">): string | undefined =>
    /[^\x21-\xff]/.test(url)
        ? "the request target has a space or a control character"
        : findHeaderProblem(rawHeaders);

/**
 * Returns why headers can't be written; undefined if they can.
 *
 * @param raw names and values alternating
 */
export const findHeaderProblem = (raw: readonly string[]): string | undefined => {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (!tokenPattern.test(raw[i] ?? "")) {
            return "the name of a header isn't a token";
        }
        if (/[^\t\x20-\x7e\x80-\xff]/.test(raw[i + 1] ?? "")) {
            return `the value of the header ${raw[i]} has a control character`;
        }
    }
    return undefined;
};

/**
 * Returns the values of each header. Unlike Node's `headersDistinct`, accepts any name, also that of a property that all
 * objects have.
 *
 * @param raw names and values alternating
 */
export const distinctHeaders = (raw: readonly string[]): DistinctHeaders => {
    const headers = new Map<string, string[]>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] ?? "").toLowerCase();
        const values = headers.get(name) ?? [];
        values.push(raw[i + 1] ?? "");
        headers.set(name, values);
    }
    return Object.fromEntries(headers);
};

/** Whether responses with this status never have a body. */
export const isBodiless = (status: number): boolean => status === 204 || status === 304;

const holdsStatusLine = (text: string): boolean => text.includes("HTTP/") && statusLinePattern.test(text);

const statusLinePattern = /HTTP\/\d\.\d \d{3}(?: |$)/;
/** RFC 9110, section 5.6.2. */
const tokenPattern = /^[\w!#$%&'*+.^`|~-]+$/;
/** Responses with a lower status precede the final one; Node reports those separately. */
const minFinalStatus = 200;
const maxStatus = 599;
