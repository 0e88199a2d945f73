/** Reads what an entry VM has to know of a caller's request from its method, path and headers. */

import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { RequestClass, Service } from "@bramleymoor/model/spec";
import { callHeaders, callPathPrefix, maxCallDepth } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";

/** What a call asks for. */
export interface CallTarget {
    readonly service: string;
    /** Path and query as the caller wrote them, for the backend server. */
    readonly path: string;
    /** Decoded path without query, for finding the class. */
    readonly decodedPath: string;
}

/** The bm- headers of a call. */
export interface CallHeaders {
    readonly deadlineMs: number | undefined;
    readonly tenant: string;
    readonly class: string | undefined;
    readonly requestId: string | undefined;
    readonly ticket: string | undefined;
    readonly attempt: number;
    readonly depth: number;
    readonly retryBudget: number;
    /** Passed on by another entry VM. */
    readonly forwarded: boolean;
}

/** Used when the caller names no tenant. */
export const defaultTenant = "-";

const defaultRetryBudget = 4;
const maxDeadlineMs = 86_400_000;
const maxAttempt = 1_000_000;
const maxRetryBudget = 100;

/**
 * Reads the service and the path of a call.
 *
 * @throws CallError unknown-path, or bad-request for a path whose meaning depends on who decodes it
 */
export const readTarget = (url: string): CallTarget => {
    const slash = url.indexOf("/", callPathPrefix.length);
    const service = slash < 0 ? url.slice(callPathPrefix.length) : url.slice(callPathPrefix.length, slash);
    if (!/^[\w.-]{1,64}$/.test(service)) {
        throw new CallError("unknown-path");
    }
    const path = slash < 0 ? "/" : url.slice(slash);
    return { service, path, decodedPath: normalizePath(path) };
};

const normalizePath = (path: string): string => {
    const query = path.search(/[?#]/);
    let bare = query < 0 ? path : path.slice(0, query);
    if (bare.includes("%")) {
        bare = percentDecode(bare);
    }
    if (bare.includes("//")) {
        bare = bare.replace(/\/{2,}/g, "/");
    }
    if (bare.includes("\\") || (bare.includes("/.") && /\/\.{1,2}(\/|$)/.test(bare))) {
        throw new CallError("bad-request", "The path has a segment that points upwards, or a backslash.");
    }
    return bare;
};

const percentDecode = (path: string): string => {
    try {
        return decodeURIComponent(path);
    } catch {
        throw new CallError("bad-request", "The path has a bad percent encoding.");
    }
};

/**
 * Reads the bm- headers.
 *
 * @throws CallError bad-header
 */
export const readHeaders = (headers: IncomingHttpHeaders): CallHeaders => ({
    deadlineMs: integerHeader(headers, callHeaders.deadline, 0, maxDeadlineMs),
    tenant: tokenHeader(headers, callHeaders.tenant) ?? defaultTenant,
    class: tokenHeader(headers, callHeaders.class),
    requestId: tokenHeader(headers, callHeaders.requestId),
    ticket: singleHeader(headers, callHeaders.ticket),
    attempt: integerHeader(headers, callHeaders.attempt, 1, maxAttempt) ?? 1,
    depth: integerHeader(headers, callHeaders.depth, 0, maxAttempt) ?? 0,
    retryBudget: integerHeader(headers, callHeaders.retryBudget, 0, maxRetryBudget) ?? defaultRetryBudget,
    forwarded: headers[callHeaders.forwarded] !== undefined,
});

const singleHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
};

const integerHeader = (
    headers: IncomingHttpHeaders,
    name: string,
    min: number,
    max: number,
): number | undefined => {
    const text = singleHeader(headers, name);
    if (text === undefined) {
        return undefined;
    }
    const value = /^\d{1,9}$/.test(text) ? Number(text) : NaN;
    if (!(value >= min && value <= max)) {
        throw new CallError("bad-header", `${name} must be a whole number from ${min} to ${max}.`);
    }
    return value;
};

const tokenHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const text = singleHeader(headers, name);
    if (text !== undefined && !/^[\w.:@/+=-]{1,64}$/.test(text)) {
        throw new CallError("bad-header", `${name} must be 1 to 64 of A-Z a-z 0-9 _ . : @ / + = -`);
    }
    return text;
};

/** Refuses a call whose tree is too deep. */
export const checkDepth = (depth: number): void => {
    if (depth >= maxCallDepth) {
        throw new CallError("depth-exceeded");
    }
};

/**
 * Finds the class of a request. A named class must fit method and path, so that a caller can't declare a
 * non-idempotent request to be idempotent.
 *
 * @throws CallError bad-header if the named class doesn't fit
 */
export const findClass = (
    service: Service,
    method: string,
    path: string,
    name: string | undefined,
): RequestClass => {
    const found = service.classes.find(cls => matches(cls, method, path));
    if (!found) {
        throw new CallError("internal", `Service ${service.name} has no class for ${method} ${path}.`);
    }
    if (name === undefined || name === found.name) {
        return found;
    }
    const named = service.classes.find(cls => cls.name === name);
    if (!named || !matches(named, method, path) || (named.idempotent && !found.idempotent)) {
        throw new CallError("bad-header", `${callHeaders.class} names no class for this method and path.`);
    }
    return named;
};

const matches = (cls: RequestClass, method: string, path: string): boolean =>
    path.startsWith(cls.path) && (cls.methods.length === 0 || cls.methods.includes(method));

/** Whether the request announces a body. */
export const hasBody = (req: IncomingMessage): boolean => {
    const length = req.headers["content-length"];
    return req.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
};
