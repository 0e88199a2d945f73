/** Callers of a load: ask for addresses, keep the answer, call, retry, and check every answer to its last byte. */

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

/** What became of one call, over all its attempts. */
export interface CallResult {
    readonly call: PlannedCall;
    /** "answered", or why there is no answer: an error kind, "broken connection", "no address". */
    readonly end: string;
    readonly ran: ExecutionState;
    readonly attempts: number;
    /** From the call's due time until its answer began and until its last byte, in milliseconds. */
    readonly firstByteMs: number;
    readonly lastByteMs: number;
    /** An answer that began and did not come whole. */
    readonly cut: boolean;
    /** An answer with bytes that are not the caller's own. */
    readonly foreign: boolean;
    /** The request reached the server with fewer or more bytes than were sent. */
    readonly mangled: boolean;
}

/** How callers behave. */
export interface CallerOptions {
    /** "IP:port" of entry VMs that are asked for addresses. */
    readonly entries: readonly string[];
    readonly attempts: number;
    /** Whether the body of an answer has to be the pattern of the request's id. */
    readonly checkPattern: boolean;
}

/** All callers of a load. */
export class LoadCaller {
    readonly #options: CallerOptions;
    readonly #agent = new Agent({ keepAlive: true, scheduling: "lifo" });
    readonly #answers = new Map<string, Kept>();
    #asked = 0;

    /**
     * @param options whom to ask, and how often to try
     */
    constructor(options: CallerOptions) {
        this.#options = options;
    }

    /** Makes one call that was due at `dueAt`; never rejects. */
    async run(call: PlannedCall, dueAt: number): Promise<CallResult> {
        let last: Attempt = { kind: "failed", end: "no address", ran: "not run", retry: "ask again" };
        let attempts = 0;
        while (attempts < this.#options.attempts) {
            attempts++;
            last = await this.#attempt(call, attempts);
            if (last.kind === "answered" || last.retry === "never") {
                break;
            }
            this.#forget(call, last.retry);
            await delay(retryPauseMs * attempts);
        }
        return result(call, last, attempts, dueAt);
    }

    /** Closes idle connections. */
    close(): void {
        this.#agent.destroy();
    }

    async #attempt(call: PlannedCall, attempt: number): Promise<Attempt> {
        const answer = await this.#addresses(call);
        if (!answer) {
            return { kind: "failed", end: "no address", ran: "not run", retry: "ask again" };
        }
        const address = answer.addresses[(attempt - 1) % answer.addresses.length] ?? "";
        const sent = { connected: false };
        try {
            const res = await this.#send(call, address, answer.ticket, attempt, sent);
            return await this.#read(call, res);
        } catch {
            // Without a connection nothing ran; otherwise the same ticket and id make the retry safe.
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

    async #read(call: PlannedCall, res: IncomingMessage): Promise<Attempt> {
        const begunAt = monotonicMs();
        const kind = res.headers[responseHeaders.error];
        if (typeof kind === "string") {
            res.resume();
            return refusal(kind);
        }
        const body = await readBody(call, res, this.#options.checkPattern);
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

    /** Each tenant keeps its own answer for its time to live. */
    async #addresses(call: PlannedCall): Promise<AddressResponse | undefined> {
        const name = `${call.tenant} ${call.service}`;
        const kept = this.#answers.get(name);
        if (kept && monotonicMs() < kept.until) {
            return kept.answer;
        }
        const asking = this.#ask(call.service);
        this.#answers.set(name, { answer: asking, until: monotonicMs() + askTimeoutMs });
        const answer = await asking;
        if (answer) {
            this.#answers.set(name, { answer: asking, until: monotonicMs() + answer.ttlMs });
        } else {
            this.#answers.delete(name);
        }
        return answer;
    }

    /** What a retry needs to know anew; an order keeps its ticket unless it is told to ask again. */
    #forget(call: PlannedCall, retry: RetryAdvice): void {
        if (retry === "ask again") {
            this.#answers.delete(`${call.tenant} ${call.service}`);
        }
    }

    /** Asks one entry VM after the other, beginning with another one each time. */
    async #ask(service: string): Promise<AddressResponse | undefined> {
        const { entries } = this.#options;
        const first = this.#asked++;
        for (let i = 0; i < entries.length; i++) {
            const answer = await this.#askOne(entries[(first + i) % entries.length] ?? "", service);
            if (answer) {
                return answer;
            }
        }
        return undefined;
    }

    async #askOne(entry: string, service: string): Promise<AddressResponse | undefined> {
        try {
            const signal = AbortSignal.timeout(askTimeoutMs);
            const res = await fetch(`http://${entry}${addressesPathPrefix}${service}`, { signal });
            return res.ok ? addressResponseSchema.parse(await res.json()) : undefined;
        } catch {
            return undefined;
        }
    }
}

interface Kept {
    readonly answer: Promise<AddressResponse | undefined>;
    readonly until: number;
}

interface ReadBody {
    readonly cut: boolean;
    readonly foreign: boolean;
}

type Attempt =
    | {
          readonly kind: "failed";
          readonly end: string;
          readonly ran: ExecutionState;
          readonly retry: RetryAdvice;
      }
    | (ReadBody & {
          readonly kind: "answered";
          readonly status: number;
          readonly begunAt: number;
          readonly endedAt: number;
          readonly mangled: boolean;
      });

const retryPauseMs = 20;

const askTimeoutMs = 2_000;

const msPerSecond = 1_000;

const refusal = (kind: string): Attempt => {
    const known = isErrorKind(kind) ? errorKinds[kind] : errorKinds.internal;
    return { kind: "failed", end: kind, ran: known.ran, retry: known.retry };
};

const readBody = async (call: PlannedCall, res: IncomingMessage, checkOwn: boolean): Promise<ReadBody> => {
    const pattern = checkOwn ? new BodyPattern(call.id) : undefined;
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
    const short = checkOwn && bytes !== call.bytes;
    return { cut: !res.complete || short, foreign };
};

const result = (call: PlannedCall, last: Attempt, attempts: number, dueAt: number): CallResult => {
    if (last.kind === "failed") {
        const passedMs = monotonicMs() - dueAt;
        const flags = { cut: false, foreign: false, mangled: false };
        return {
            call,
            end: last.end,
            ran: last.ran,
            attempts,
            firstByteMs: passedMs,
            lastByteMs: passedMs,
            ...flags,
        };
    }
    const { status, begunAt, endedAt, cut, foreign, mangled } = last;
    const end = status < 400 ? "answered" : `status ${status}`;
    const times = { firstByteMs: begunAt - dueAt, lastByteMs: endedAt - dueAt };
    return { call, end, ran: "ran", attempts, ...times, cut, foreign, mangled };
};
