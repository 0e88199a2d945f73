/**
 * A caller that does it right: keeps the answer to "which addresses" for its time to live, fails over, keeps
 * ticket and request id on every retry, honours retry-after with jitter, and stops at its deadline.
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
import { retryDelayMs, type Random } from "./backoff.js";
import { exchange, ExchangeError, readJson } from "./exchange.js";

/** Settings of a Caller. */
export interface CallerOptions {
    /** "IP:port" of some entry VMs, to ask which addresses to use. */
    readonly entryAddresses: readonly string[];
    /** Monotonic milliseconds. */
    readonly clock: () => number;
    readonly random: Random;
    /** Gives a new request id, as crypto.randomUUID does. */
    readonly newRequestId: () => string;
    readonly tenant?: string;
    /** Attempts of one call at most. */
    readonly maxAttempts?: number;
}

/** One call. */
export interface CallRequest {
    readonly service: string;
    /** Path and query at the service. */
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Kept until the answer comes, for retries. */
    readonly body?: string | Uint8Array;
    readonly deadlineMs: number;
    /** To repeat an earlier call knowingly; otherwise a new one. */
    readonly requestId?: string;
}

/** An answer: a backend server's, or the system's own one if `error` is set. */
export interface CallResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    /** Streams the body; fails if it breaks off. Must be read or destroyed. */
    readonly body: IncomingMessage;
    readonly error: ErrorKind | undefined;
    readonly attempts: number;
}

/** A call that got no answer at all. */
export class CallerError extends Error {
    /** @param ran what is known of the request after all attempts */
    constructor(
        message: string,
        readonly ran: ExecutionState,
        readonly requestId: string,
    ) {
        super(message);
        this.name = "CallerError";
    }
}

interface Kept {
    readonly answer: AddressResponse;
    /** When a new answer is asked for while this one still serves. */
    readonly renewAt: number;
    readonly until: number;
}

/** What the attempts of one call have in common. */
interface Attempts {
    readonly request: CallRequest;
    readonly requestId: string;
    readonly deadlineAt: number;
    ticket: string | undefined;
    attempt: number;
    /** Index into the answer's addresses. */
    address: number;
    ran: ExecutionState;
}

/** Calls services through the entry VMs. */
export class Caller {
    readonly #options: CallerOptions;
    readonly #agent = new Agent({ keepAlive: true });
    readonly #kept = new Map<string, Kept>();
    readonly #asking = new Map<string, Promise<AddressResponse>>();

    constructor(options: CallerOptions) {
        if (options.entryAddresses.length === 0) {
            throw new RangeError("a caller needs the address of one entry VM or more");
        }
        this.#options = options;
    }

    /**
     * Makes a call. Retries as each answer's error kind allows, until the deadline.
     *
     * @throws CallerError if no answer came
     */
    async call(request: CallRequest): Promise<CallResponse> {
        const { clock, newRequestId, maxAttempts = defaultMaxAttempts } = this.#options;
        const attempts: Attempts = {
            request,
            requestId: request.requestId ?? newRequestId(),
            deadlineAt: clock() + request.deadlineMs,
            ticket: undefined,
            attempt: 1,
            address: 0,
            ran: "not run",
        };
        for (;;) {
            const answer = await this.#attempt(attempts);
            const last = attempts.attempt >= maxAttempts;
            if (answer && (last || !answer.error || errorKinds[answer.error].retry === "never")) {
                return answer;
            }
            const wait = retryDelayMs(attempts.attempt, retryAfterOf(answer), this.#options.random);
            if (last || clock() + wait >= attempts.deadlineAt) {
                return lastAnswer(answer, attempts);
            }
            answer?.body.destroy();
            await new Promise(resolve => setTimeout(resolve, wait));
            this.#prepareNext(attempts, answer?.error);
        }
    }

    /** Closes idle connections. */
    close(): void {
        this.#agent.destroy();
    }

    /** The address answer that the caller holds, or a fresh one. */
    async getAddresses(service: string, deadlineAt: number): Promise<AddressResponse> {
        const kept = this.#kept.get(service);
        const now = this.#options.clock();
        if (kept && now < kept.until) {
            if (now >= kept.renewAt && !this.#asking.has(service)) {
                // Calls go on with the kept answer; if no new one comes, the next one asks again.
                this.#askAndKeep(service, kept.until).catch(() => undefined);
            }
            return kept.answer;
        }
        const asking = this.#asking.get(service) ?? this.#askAndKeep(service, deadlineAt);
        return await asking;
    }

    /** One question at a time for each service; calls that come meanwhile share its answer. */
    #askAndKeep(service: string, deadlineAt: number): Promise<AddressResponse> {
        const askedAt = this.#options.clock();
        const asking = this.#ask(service, deadlineAt)
            .then(answer => {
                const { ttlMs } = answer;
                this.#kept.set(service, {
                    answer,
                    renewAt: askedAt + ttlMs * renewAfter,
                    until: askedAt + ttlMs,
                });
                return answer;
            })
            .finally(() => this.#asking.delete(service));
        this.#asking.set(service, asking);
        return asking;
    }

    async #ask(service: string, deadlineAt: number): Promise<AddressResponse> {
        const { entryAddresses: entries, random, clock } = this.#options;
        const first = Math.floor(random() * entries.length);
        for (let i = 0; i < entries.length; i++) {
            const entry = entries[(first + i) % entries.length] ?? "";
            const timeoutMs = Math.min(askTimeoutMs, deadlineAt - clock());
            const path = `${addressesPathPrefix}${service}`;
            const answer = await exchange({
                address: entry,
                method: "GET",
                path,
                timeoutMs,
                agent: this.#agent,
            })
                .then(readJson)
                .catch(() => undefined);
            const parsed = answer?.status === 200 ? addressResponseSchema.safeParse(answer.json) : undefined;
            if (parsed?.success) {
                return parsed.data;
            }
        }
        throw new ExchangeError("no entry VM told which addresses to use", false);
    }

    async #attempt(attempts: Attempts): Promise<CallResponse | undefined> {
        try {
            const { service } = attempts.request;
            const { addresses, ticket } = await this.getAddresses(service, attempts.deadlineAt);
            attempts.ticket ??= ticket;
            const address = addresses[attempts.address % addresses.length] ?? "";
            return await this.#send(address, attempts);
        } catch (err) {
            const sent = !(err instanceof ExchangeError) || err.sent;
            attempts.ran = sent ? "outcome unknown" : attempts.ran;
            return undefined;
        }
    }

    async #send(address: string, attempts: Attempts): Promise<CallResponse> {
        const { request, attempt } = attempts;
        const timeoutMs = attempts.deadlineAt - this.#options.clock();
        const res = await exchange({
            address,
            method: request.method ?? "GET",
            path: `${callPathPrefix}${request.service}${request.path}`,
            headers: this.#headers(attempts, timeoutMs),
            body: request.body,
            timeoutMs: timeoutMs + answerGraceMs,
            agent: this.#agent,
        });
        const kind = res.headers[responseHeaders.error];
        const error = typeof kind === "string" && isErrorKind(kind) ? kind : undefined;
        if (error) {
            attempts.ran = errorKinds[error].ran;
        }
        return { status: res.statusCode ?? 0, headers: res.headers, body: res, error, attempts: attempt };
    }

    #headers(attempts: Attempts, timeoutMs: number): Record<string, string> {
        const { tenant } = this.#options;
        return {
            ...attempts.request.headers,
            ...(tenant === undefined ? {} : { [callHeaders.tenant]: tenant }),
            [callHeaders.deadline]: String(Math.max(1, Math.floor(timeoutMs))),
            [callHeaders.requestId]: attempts.requestId,
            [callHeaders.ticket]: attempts.ticket ?? "",
            [callHeaders.attempt]: String(attempts.attempt),
        };
    }

    /** The ticket stays the same for as long as an attempt under it may have run. */
    #prepareNext(attempts: Attempts, error: ErrorKind | undefined): void {
        attempts.attempt++;
        const at = error ? errorKinds[error].retry : "other";
        if (at !== "same") {
            attempts.address++;
        }
        if (at === "ask again") {
            this.#kept.delete(attempts.request.service);
            attempts.address = 0;
            attempts.ticket = attempts.ran === "not run" ? undefined : attempts.ticket;
        }
    }
}

const defaultMaxAttempts = 4;
/** An entry VM that is starting or stuck must not hold up the question; another one is asked then. */
const askTimeoutMs = 300;
/** Share of an answer's time to live after which a new one is asked for. */
const renewAfter = 0.7;
/** Time past the deadline for the entry VM's own answer about it to arrive, which tells whether the call ran. */
const answerGraceMs = 250;

const retryAfterOf = (answer: CallResponse | undefined): number | undefined => {
    const ms = Number(answer?.headers[responseHeaders.retryAfter] ?? NaN);
    return Number.isFinite(ms) ? ms : undefined;
};

const lastAnswer = (answer: CallResponse | undefined, attempts: Attempts): CallResponse => {
    if (answer) {
        return answer;
    }
    throw new CallerError("no answer within attempts and deadline", attempts.ran, attempts.requestId);
};
