/** Callers of a load: query and cache addresses, send calls, retry, and check every response to its last byte. */

import { Agent, request, type IncomingMessage } from "node:http";
import { addressResponseSchema, type AddressResponse } from "@bramleymoor/protocol/messages";
import {
    addressesPathPrefix,
    responseHeaders,
    callHeaders,
    callPathPrefix,
} from "@bramleymoor/protocol/headers";
import { isErrorKind, errorKinds, type ExecutionState, type RetryAdvice } from "@bramleymoor/protocol/errors";
import { delay, monotonicMs } from "./clock.js";
import { BodyPattern } from "./loadpattern.js";
import type { PlannedCall } from "./loadplan.js";

/** Result of one call over all its attempts. */
export interface CallResult {
    readonly call: PlannedCall;
    /**
     * "answered", "status N" for an HTTP status of 400 or above, or the reason why there is no response: an error kind,
     * "broken connection" or "no address".
     */
    readonly end: string;
    readonly ran: ExecutionState;
    readonly attempts: number;
    /** Time from the call's due time to the response's first byte and to its last, in milliseconds. */
    readonly firstByteMs: number;
    readonly lastByteMs: number;
    /** The response began but was incomplete. */
    readonly cut: boolean;
    /** The response had bytes that don't belong to the request. */
    readonly foreign: boolean;
    /** The server received fewer or more bytes than were sent. */
    readonly mangled: boolean;
}

/** Options of LoadCaller. */
export interface LoadCallerOptions {
    /** "IP:port" of the entry VMs to query for addresses. */
    readonly entries: readonly string[];
    readonly attempts: number;
    /** Whether response bodies must be the byte pattern of the request's id. */
    readonly checkPattern: boolean;
}

/** All callers of a load. */
export class LoadCaller {
    readonly #options: LoadCallerOptions;
    readonly #agent = new Agent({ keepAlive: true, scheduling: "lifo" });
    readonly #addressCache = new Map<string, CachedAddresses>();
    #queryCount = 0;

    /** @param options entry VMs to query, attempts per call and checks */
    constructor(options: LoadCallerOptions) {
        this.#options = options;
    }

    /** Sends one call that was due at `dueAt`; never rejects. */
    async run(call: PlannedCall, dueAt: number): Promise<CallResult> {
        let last: AttemptResult = { kind: "failed", end: "no address", ran: "not run", retry: "ask again" };
        let attempts = 0;
        while (attempts < this.#options.attempts) {
            attempts++;
            last = await this.#attempt(call, attempts);
            if (last.kind === "answered" || last.retry === "never") {
                break;
            }
            this.#invalidateAddresses(call, last.retry);
            await delay(retryDelayMs * attempts);
        }
        return callResult(call, last, attempts, dueAt);
    }

    /** Closes idle connections. */
    close(): void {
        this.#agent.destroy();
    }

    async #attempt(call: PlannedCall, attempt: number): Promise<AttemptResult> {
        const response = await this.#addresses(call);
        if (!response) {
            return { kind: "failed", end: "no address", ran: "not run", retry: "ask again" };
        }
        const address = response.addresses[(attempt - 1) % response.addresses.length] ?? "";
        const sent = { connected: false };
        try {
            const res = await this.#send(call, address, response.ticket, attempt, sent);
            return await this.#readResponse(call, res);
        } catch {
            // Without a connection nothing was sent; otherwise the same ticket and request id make a retry safe.
            const ran = sent.connected ? "outcome unknown" : "not run";
            return { kind: "failed", end: "broken connection", ran, retry: "same" };
        }
    }

    #send(
        call: PlannedCall,
        address: string,
        ticket: string,
        attempt: number,
        sent: { connected: boolean },
    ): Promise<IncomingMessage> {
        const query = `id=${call.id}&bytes=${call.bytes}&workMs=${call.workMs}`;
        const url = `http://${address}${callPathPrefix}${call.service}${call.path}?${query}`;
        const headers = {
            [callHeaders.tenant]: call.tenant,
            [callHeaders.attempt]: String(attempt),
            ...(call.method === "GET"
                ? {}
                : { [callHeaders.requestId]: call.id, [callHeaders.ticket]: ticket }),
            ...(call.sentBytes > 0 ? { "content-length": call.sentBytes } : {}),
        };
        return new Promise((resolve, reject) => {
            const req = request(url, { method: call.method, headers, agent: this.#agent }, resolve);
            req.on("error", reject);
            req.on("socket", socket => {
                sent.connected = !socket.connecting;
                if (socket.connecting) {
                    socket.once("connect", () => {
                        sent.connected = true;
                    });
                }
            });
            req.end(call.sentBytes > 0 ? new BodyPattern(call.id).bytes(0, call.sentBytes) : undefined);
        });
    }

    async #readResponse(call: PlannedCall, res: IncomingMessage): Promise<AttemptResult> {
        const begunAt = monotonicMs();
        const kind = res.headers[responseHeaders.error];
        if (typeof kind === "string") {
            res.resume();
            return refusedAttempt(kind);
        }
        const body = await checkBody(call, res, this.#options.checkPattern);
        const received = res.headers["x-received-bytes"];
        return {
            kind: "answered",
            status: res.statusCode ?? 0,
            begunAt,
            endedAt: monotonicMs(),
            mangled: received !== undefined && Number(received) !== call.sentBytes,
            ...body,
        };
    }

    /** Returns the addresses of a call's service, cached per tenant for their time to live. */
    async #addresses(call: PlannedCall): Promise<AddressResponse | undefined> {
        const name = `${call.tenant} ${call.service}`;
        const cached = this.#addressCache.get(name);
        if (cached && monotonicMs() < cached.expiresAt) {
            return cached.response;
        }
        const pendingQuery = this.#queryAddresses(call.service);
        this.#addressCache.set(name, {
            response: pendingQuery,
            expiresAt: monotonicMs() + addressQueryTimeoutMs,
        });
        const response = await pendingQuery;
        if (response) {
            this.#addressCache.set(name, {
                response: pendingQuery,
                expiresAt: monotonicMs() + response.ttlMs,
            });
        } else {
            this.#addressCache.delete(name);
        }
        return response;
    }

    /** Drops the cached addresses if a retry must query them again; otherwise it keeps the addresses and the ticket. */
    #invalidateAddresses(call: PlannedCall, retry: RetryAdvice): void {
        if (retry === "ask again") {
            this.#addressCache.delete(`${call.tenant} ${call.service}`);
        }
    }

    /** Queries one entry VM after the other, starting with a different one each time. */
    async #queryAddresses(service: string): Promise<AddressResponse | undefined> {
        const { entries } = this.#options;
        const first = this.#queryCount++;
        for (let i = 0; i < entries.length; i++) {
            const response = await this.#queryEntryVm(entries[(first + i) % entries.length] ?? "", service);
            if (response) {
                return response;
            }
        }
        return undefined;
    }

    async #queryEntryVm(entry: string, service: string): Promise<AddressResponse | undefined> {
        try {
            const signal = AbortSignal.timeout(addressQueryTimeoutMs);
            const res = await fetch(`http://${entry}${addressesPathPrefix}${service}`, { signal });
            return res.ok ? addressResponseSchema.parse(await res.json()) : undefined;
        } catch {
            return undefined;
        }
    }
}

interface CachedAddresses {
    readonly response: Promise<AddressResponse | undefined>;
    readonly expiresAt: number;
}

interface BodyCheck {
    readonly cut: boolean;
    readonly foreign: boolean;
}

type AttemptResult =
    | {
          readonly kind: "failed";
          readonly end: string;
          readonly ran: ExecutionState;
          readonly retry: RetryAdvice;
      }
    | (BodyCheck & {
          readonly kind: "answered";
          readonly status: number;
          readonly begunAt: number;
          readonly endedAt: number;
          readonly mangled: boolean;
      });

const retryDelayMs = 20;

const addressQueryTimeoutMs = 2_000;

const msPerSecond = 1_000;

const refusedAttempt = (kind: string): AttemptResult => {
    const known = isErrorKind(kind) ? errorKinds[kind] : errorKinds.internal;
    return { kind: "failed", end: kind, ran: known.ran, retry: known.retry };
};

const checkBody = async (
    call: PlannedCall,
    res: IncomingMessage,
    checkPattern: boolean,
): Promise<BodyCheck> => {
    const pattern = checkPattern ? new BodyPattern(call.id) : undefined;
    let bytes = 0;
    let foreign = false;
    try {
        for await (const chunk of res as AsyncIterable<Buffer>) {
            foreign ||= pattern !== undefined && !pattern.matches(bytes, chunk);
            bytes += chunk.length;
            if (call.readPerSecond !== undefined) {
                await delay((chunk.length * msPerSecond) / call.readPerSecond);
            }
        }
    } catch {
        return { cut: true, foreign };
    }
    const short = checkPattern && bytes !== call.bytes;
    return { cut: !res.complete || short, foreign };
};

const callResult = (call: PlannedCall, last: AttemptResult, attempts: number, dueAt: number): CallResult => {
    if (last.kind === "failed") {
        const elapsedMs = monotonicMs() - dueAt;
        const flags = { cut: false, foreign: false, mangled: false };
        return {
            call,
            end: last.end,
            ran: last.ran,
            attempts,
            firstByteMs: elapsedMs,
            lastByteMs: elapsedMs,
            ...flags,
        };
    }
    const { status, begunAt, endedAt, cut, foreign, mangled } = last;
    const end = status < 400 ? "answered" : `status ${status}`;
    const times = { firstByteMs: begunAt - dueAt, lastByteMs: endedAt - dueAt };
    return { call, end, ran: "ran", attempts, ...times, cut, foreign, mangled };
};
