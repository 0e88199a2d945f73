/** Parses a caller's request: target, bm- headers and request class. */

import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { RequestClass, Service } from "@bramleymoor/model/spec";
import { callHeaders, callPathPrefix, maxCallDepth } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";

/** Target of a call. */
export interface CallTarget {
    readonly service: string;
    /** Path and query as received, to be sent to the backend server. */
    readonly path: string;
    /** Decoded path without query, to find the request class. */
    readonly decodedPath: string;
}

/** The parsed bm- headers of a call. */
export interface CallHeaders {
    /** Milliseconds until the caller's deadline. */
    readonly deadlineMs: number | undefined;
    readonly tenant: string;
    readonly class: string | undefined;
    readonly requestId: string | undefined;
    readonly ticket: string | undefined;
    readonly attempt: number;
    readonly depth: number;
    readonly retryBudget: number;
    /** Whether another entry VM forwarded the call. */
    readonly forwarded: boolean;
}

/** Tenant of calls without a bm-tenant header. */
export const defaultTenant = "-";

const defaultRetryBudget = 4;
const maxDeadlineMs = 86_400_000;
const maxAttempt = 1_000_000;
const maxRetryBudget = 100;

/**
 * Parses the service and the path from a call's URL.
 *
 * @throws CallError unknown-path, or bad-request for a path that servers may decode differently
 */
export const parseTarget = (url: string): CallTarget => {
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
    let decoded = query < 0 ? path : path.slice(0, query);
    if (decoded.includes("%")) {
        decoded = percentDecode(decoded);
    }
    if (decoded.includes("//")) {
        decoded = decoded.replace(/\/{2,}/g, "/");
    }
    if (decoded.includes("\\") || (decoded.includes("/.") && /\/\.{1,2}(\/|$)/.test(decoded))) {
        throw new CallError("bad-request", "The path has a segment that points upwards, or a backslash.");
    }
    return decoded;
};

const percentDecode = (path: string): string => {
    try {
        return decodeURIComponent(path);
    } catch {
        throw new CallError("bad-request", "The path has a bad percent encoding.");
    }
};

/**
 * Parses the bm- headers.
 *
 * @throws CallError bad-header
 */
export const parseCallHeaders = (headers: IncomingHttpHeaders): CallHeaders => ({
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

/**
 * Refuses a call whose tree is too deep.
 *
 * @throws CallError depth-exceeded
 */
export const checkDepth = (depth: number): void => {
    if (depth >= maxCallDepth) {
        throw new CallError("depth-exceeded");
    }
};

/**
 * Finds the class of a request. A class named by the caller must match method and path, and must not make a
 * non-idempotent request idempotent.
 *
 * @throws CallError bad-header if the named class is unknown or doesn't match
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

/** Returns whether the request has a body, judging by its headers. */
export const hasBody = (req: IncomingMessage): boolean => {
    const length = req.headers["content-length"];
    return req.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
};
