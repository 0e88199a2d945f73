/**
 * HTTP client for services behind entry VMs. It caches address responses for their time to live, fails over
 * between entry VMs, repeats ticket and request id on every retry, honors the requested retry delay with jitter,
 * and stops at the deadline.
 */

import { Agent, type IncomingMessage } from "node:http";
import { addressResponseSchema, type AddressResponse } from "@bramleymoor/protocol/messages";
import {
    addressesPathPrefix,
    responseHeaders,
    callHeaders,
    callPathPrefix,
} from "@bramleymoor/protocol/headers";
import { isErrorKind, errorKinds, type ErrorKind, type ExecutionState } from "@bramleymoor/protocol/errors";
import { ExecutionTracker } from "@bramleymoor/protocol/execution";
import { retryDelayMs, type Random } from "./backoff.js";
import { exchange, ExchangeError, readJson } from "./exchange.js";

/** Options of a Caller. */
export interface CallerOptions {
    /** "IP:port" of the entry VMs that are sent address queries; at least one. */
    readonly entryAddresses: readonly string[];
    /** Returns monotonic time in milliseconds. */
    readonly clock: () => number;
    readonly random: Random;
    /** Returns a unique request id, as crypto.randomUUID does. */
    readonly newRequestId: () => string;
    /** Value of the tenant header. */
    readonly tenant?: string;
    /** Maximum number of attempts per call. */
    readonly maxAttempts?: number;
}

/** A call to a service. */
export interface CallRequest {
    readonly service: string;
    /** Path and query that the service receives. */
    readonly path: string;
    /** HTTP method; GET if absent. */
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Held in memory for retries until the call ends. */
    readonly body?: string | Uint8Array;
    /** Time limit of the call with all its attempts, in milliseconds. */
    readonly deadlineMs: number;
    /** Request id of an earlier call that this one repeats; a new id if absent. */
    readonly requestId?: string;
}

/** Response of a backend server, or of an entry VM if `error` is set. */
export interface CallResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    /** Body stream, which fails if the connection breaks; the caller must consume or destroy it. */
    readonly body: IncomingMessage;
    readonly error: ErrorKind | undefined;
    /** Number of attempts that were made. */
    readonly attempts: number;
    /** Whether the request was executed, as far as known after all attempts. */
    readonly ran: ExecutionState;
}

/** A call that got no response. */
export class CallerError extends Error {
    /** @param ran whether the request was executed, as far as known after all attempts */
    constructor(
        message: string,
        readonly ran: ExecutionState,
        readonly requestId: string,
    ) {
        super(message);
        this.name = "CallerError";
    }
}

interface CachedAddresses {
    readonly response: AddressResponse;
    /** When a background refresh is due; calls use this response until the new one arrives. */
    readonly refreshAt: number;
    readonly expiresAt: number;
}

/** State of one call across its attempts. */
interface CallState {
    readonly request: CallRequest;
    readonly requestId: string;
    readonly deadlineAt: number;
    ticket: string | undefined;
    /** Number of the current attempt, from 1. */
    attempt: number;
    /** Index into the addresses of the address response. */
    addressIndex: number;
    readonly execution: ExecutionTracker;
}

/** Calls services through the entry VMs. */
export class Caller {
    readonly #options: CallerOptions;
    readonly #agent = new Agent({ keepAlive: true });
    readonly #cache = new Map<string, CachedAddresses>();
    readonly #pendingQueries = new Map<string, Promise<AddressResponse>>();

    constructor(options: CallerOptions) {
        if (options.entryAddresses.length === 0) {
            throw new RangeError("entryAddresses must contain at least one address");
        }
        this.#options = options;
    }

    /**
     * Calls a service. Retries as the error kind of each response allows, until the deadline.
     *
     * @throws CallerError if no response arrives
     */
    async call(request: CallRequest): Promise<CallResponse> {
        const { clock, newRequestId, maxAttempts = defaultMaxAttempts } = this.#options;
        const state: CallState = {
            request,
            requestId: request.requestId ?? newRequestId(),
            deadlineAt: clock() + request.deadlineMs,
            ticket: undefined,
            attempt: 1,
            addressIndex: 0,
            execution: new ExecutionTracker(),
        };
        for (;;) {
            const response = await this.#attempt(state);
            const isLast = state.attempt >= maxAttempts;
            if (response && (isLast || !response.error || errorKinds[response.error].retry === "never")) {
                return response;
            }
            const delayMs = retryDelayMs(state.attempt, retryAfterOf(response), this.#options.random);
            if (isLast || clock() + delayMs >= state.deadlineAt) {
                return requireResponse(response, state);
            }
            response?.body.destroy();
            await new Promise(resolve => setTimeout(resolve, delayMs));
            this.#prepareRetry(state, response?.error);
        }
    }

    /** Closes idle connections. */
    close(): void {
        this.#agent.destroy();
    }

    /**
     * Returns the cached address response of a service, or queries the entry VMs for a new one.
     *
     * @param deadlineAt end of the wait for a response, in milliseconds on the clock of the options
     * @throws ExchangeError if no entry VM responds
     */
    async getAddresses(service: string, deadlineAt: number): Promise<AddressResponse> {
        const cached = this.#cache.get(service);
        const now = this.#options.clock();
        if (cached && now < cached.expiresAt) {
            if (now >= cached.refreshAt && !this.#pendingQueries.has(service)) {
                // Calls use the cached response in the meantime; after a failure the next call queries again.
                this.#queryAndCache(service, cached.expiresAt).catch(() => undefined);
            }
            return cached.response;
        }
        const query = this.#pendingQueries.get(service) ?? this.#queryAndCache(service, deadlineAt);
        return await query;
    }

    /** Sends an address query; concurrent calls to the same service share it. */
    #queryAndCache(service: string, deadlineAt: number): Promise<AddressResponse> {
        const queriedAt = this.#options.clock();
        const query = this.#queryEntryVms(service, deadlineAt)
            .then(response => {
                const { ttlMs } = response;
                this.#cache.set(service, {
                    response,
                    refreshAt: queriedAt + ttlMs * refreshAfterShare,
                    expiresAt: queriedAt + ttlMs,
                });
                return response;
            })
            .finally(() => this.#pendingQueries.delete(service));
        this.#pendingQueries.set(service, query);
        return query;
    }

    /** Queries the entry VMs one after another, starting at a random one, until one returns a valid response. */
    async #queryEntryVms(service: string, deadlineAt: number): Promise<AddressResponse> {
        const { entryAddresses, random, clock } = this.#options;
        const start = Math.floor(random() * entryAddresses.length);
        for (let i = 0; i < entryAddresses.length; i++) {
            const entryAddress = entryAddresses[(start + i) % entryAddresses.length] ?? "";
            const timeoutMs = Math.min(queryTimeoutMs, deadlineAt - clock());
            const path = `${addressesPathPrefix}${service}`;
            const response = await exchange({
                address: entryAddress,
                method: "GET",
                path,
                timeoutMs,
                agent: this.#agent,
            })
                .then(readJson)
                .catch(() => undefined);
            const parsed =
                response?.status === 200 ? addressResponseSchema.safeParse(response.json) : undefined;
            if (parsed?.success) {
                return parsed.data;
            }
        }
        throw new ExchangeError("no entry VM responded to the address query", false);
    }

    /** Makes one attempt; returns undefined if it got no response. */
    async #attempt(state: CallState): Promise<CallResponse | undefined> {
        try {
            const { service } = state.request;
            const { addresses, ticket } = await this.getAddresses(service, state.deadlineAt);
            state.ticket ??= ticket;
            const address = addresses[state.addressIndex % addresses.length] ?? "";
            return await this.#send(address, state);
        } catch {
            return undefined;
        }
    }

    async #send(address: string, state: CallState): Promise<CallResponse> {
        const { request, attempt, execution } = state;
        const timeoutMs = state.deadlineAt - this.#options.clock();
        execution.start();
        const res = await exchange({
            address,
            method: request.method ?? "GET",
            path: `${callPathPrefix}${request.service}${request.path}`,
            headers: this.#requestHeaders(state, timeoutMs),
            body: request.body,
            timeoutMs: timeoutMs + responseGraceMs,
            agent: this.#agent,
        }).catch((err: unknown) => {
            execution.settle(err instanceof ExchangeError && !err.sent ? "not run" : "outcome unknown");
            throw err;
        });
        const kind = res.headers[responseHeaders.error];
        const error = typeof kind === "string" && isErrorKind(kind) ? kind : undefined;
        execution.settle(kind === undefined ? "ran" : errorKinds[error ?? "internal"].ran);
        const ran = execution.state;
        return {
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: res,
            error,
            attempts: attempt,
            ran,
        };
    }

    #requestHeaders(state: CallState, timeoutMs: number): Record<string, string> {
        const { tenant } = this.#options;
        return {
            ...state.request.headers,
            ...(tenant === undefined ? {} : { [callHeaders.tenant]: tenant }),
            [callHeaders.deadline]: String(Math.max(1, Math.floor(timeoutMs))),
            [callHeaders.requestId]: state.requestId,
            [callHeaders.ticket]: state.ticket ?? "",
            [callHeaders.attempt]: String(state.attempt),
        };
    }

    /** Selects address and ticket of the next attempt; keeps the ticket while an attempt with it may have run. */
    #prepareRetry(state: CallState, error: ErrorKind | undefined): void {
        state.attempt++;
        const advice = error ? errorKinds[error].retry : "other";
        if (advice !== "same") {
            state.addressIndex++;
        }
        if (advice === "ask again") {
            this.#cache.delete(state.request.service);
            state.addressIndex = 0;
            state.ticket = state.execution.mayHaveRun ? state.ticket : undefined;
        }
    }
}

const defaultMaxAttempts = 4;
/** Timeout per entry VM, so that one that is starting or stuck doesn't hold up the query; the next is tried. */
const queryTimeoutMs = 300;
/** Share of a response's time to live after which a refresh is due. */
const refreshAfterShare = 0.7;
/** Extra time after the deadline for the entry VM's timeout response to arrive, which tells whether the call ran. */
const responseGraceMs = 250;

const retryAfterOf = (response: CallResponse | undefined): number | undefined => {
    const ms = Number(response?.headers[responseHeaders.retryAfter] ?? NaN);
    return Number.isFinite(ms) ? ms : undefined;
};

const requireResponse = (response: CallResponse | undefined, state: CallState): CallResponse => {
    if (response) {
        return response;
    }
    throw new CallerError(
        "no response within the attempt limit and deadline",
        state.execution.state,
        state.requestId,
    );
};
