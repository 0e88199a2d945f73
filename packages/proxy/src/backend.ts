/**
 * HTTP client for backend servers with keep-alive connections. An exchange knows whether any byte of its request
 * may have reached the server: nothing is written before the connection is established.
 */

import { request, type Agent, type ClientRequest, type IncomingMessage } from "node:http";
import type { SlotResult } from "@bramleymoor/dispatch/types";
import { isBodiless } from "@bramleymoor/input/heads";
import { limitInterimResponses } from "@bramleymoor/input/interim";
import { PacedAgent } from "@bramleymoor/input/pacedagent";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import { receiveResponse } from "@bramleymoor/input/receive";
import { callHeaders, responseHeaders } from "@bramleymoor/protocol/headers";
import { discardResponse } from "./discard.js";
import type { RequestBody } from "./body.js";
import { isResponseTo, SendIds } from "./sendid.js";
import type { TimerSet } from "./timers.js";
import { writableRequestHeaders } from "./writtenheads.js";

/** Options of a BackendClient. */
export interface BackendClientOptions {
    /** Maximum number of connections to one server, counted separately for idempotent and other requests. */
    readonly maxConnections: number;
    /** Idle timeout of connections in milliseconds; must be less than the servers' own idle timeout. */
    readonly idleMs: number;
    /** Idle timeout of connections for non-idempotent requests, in milliseconds; 0 disables keep-alive. */
    readonly nonIdempotentIdleMs: number;
    /** Timeout for opening a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}

/** A request to a backend server or to another entry VM. */
export interface OutgoingRequest {
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values, without Host and the body's framing headers. */
    readonly headers: readonly string[];
    readonly body: RequestBody;
    /** Uses only a recently used or a new connection, as the request can't be retried if a stale one breaks. */
    readonly nonIdempotent: boolean;
    /** Whether the receiver is another entry VM, whose HTTP server writes one response to each request, in their order. */
    readonly toPeer: boolean;
    /** Called immediately before the first byte is written. */
    readonly onSending: () => void;
}

/** Manages the connections to backend servers. */
export class BackendClient {
    readonly #options: BackendClientOptions;
    readonly #timers: TimerSet;
    readonly #clock: () => number;
    readonly #idempotentAgent: Agent;
    readonly #nonIdempotentAgent: Agent;
    readonly #sendIds = new SendIds();

    /** @param pacer reads the connections */
    constructor(options: BackendClientOptions, timers: TimerSet, pacer: ReadPacer, clock: () => number) {
        this.#options = options;
        this.#timers = timers;
        this.#clock = clock;
        this.#idempotentAgent = createAgent(options.maxConnections, options.idleMs, pacer);
        this.#nonIdempotentAgent = createAgent(options.maxConnections, options.nonIdempotentIdleMs, pacer);
    }

    /** Sends a request. */
    send(out: OutgoingRequest): Exchange {
        const sendId = out.toPeer ? undefined : this.#sendIds.next();
        const req = request({
            host: out.host,
            port: out.port,
            method: out.method,
            path: out.path,
            agent: out.nonIdempotent ? this.#nonIdempotentAgent : this.#idempotentAgent,
            headers: writableRequestHeaders([
                ...out.headers,
                ...(sendId === undefined ? [] : [callHeaders.sendId, sendId]),
                ...out.body.framingHeaders(),
                "Host",
                `${out.host}:${out.port}`,
            ]),
        });
        const exchange = new Exchange(req, out, sendId);
        const timer = this.#timers.schedule(this.#clock() + this.#options.connectTimeoutMs, () =>
            exchange.abort({ kind: "connect-failed" }),
        );
        exchange.onConnected = () => this.#timers.cancel(timer);
        return exchange;
    }

    /** Closes all connections. */
    close(): void {
        this.#idempotentAgent.destroy();
        this.#nonIdempotentAgent.destroy();
    }
}

const createAgent = (maxSockets: number, timeout: number, pacer: ReadPacer): Agent =>
    new PacedAgent({ keepAlive: timeout > 0, maxSockets, timeout, scheduling: "lifo" }, pacer);

/** Thrown when a request gets no response that can be relayed. */
export class SendError extends Error {
    /** @param retryAfterMs delay that a refusing server asked for, in milliseconds */
    constructor(
        readonly result: SlotResult,
        readonly retryAfterMs: number | undefined = undefined,
    ) {
        super(`request without a response to relay: ${result.kind}`);
        this.name = "SendError";
    }

    /** Whether the server did not execute the request: it refused it, or no byte can have reached it. */
    get isNotRun(): boolean {
        return this.result.kind === "refused" || this.result.kind === "connect-failed";
    }
}

/** One request to one backend server and its response. */
export class Exchange {
    /** Resolves with the response once its head has arrived; rejects with a SendError. */
    readonly head: Promise<IncomingMessage>;
    /** Called when the connection is established and when the exchange fails. */
    onConnected: () => void = () => undefined;
    readonly #req: ClientRequest;
    readonly #sendId: string | undefined;
    #connected = false;
    #responded = false;
    #fail: (error: SendError) => void = () => undefined;

    /** @param sendId id that the response has to repeat; undefined if its order on the connection proves whose it is */
    constructor(req: ClientRequest, out: OutgoingRequest, sendId: string | undefined) {
        this.#req = req;
        this.#sendId = sendId;
        this.head = new Promise((resolve, reject) => {
            this.#fail = reject;
            receiveResponse(
                req,
                res => this.#handleResponse(res, out.method, resolve),
                () => this.abort({ kind: "lost" }),
            );
        });
        limitInterimResponses(req, () => this.abort({ kind: "lost" }));
        req.on("error", () => this.#handleClose());
        req.on("close", () => this.#handleClose());
        req.once("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => this.#handleConnect(out));
            } else {
                this.#handleConnect(out);
            }
        });
    }

    /** Whether any byte of the request may have reached the server. */
    get sent(): boolean {
        return this.#connected;
    }

    /** Whether the whole request, including its body, has been written to the connection. */
    get fullySent(): boolean {
        return this.#req.writableEnded;
    }

    /** Aborts the exchange and closes its connection. */
    abort(result: SlotResult): void {
        this.onConnected();
        this.#fail(new SendError(result));
        this.#req.destroy();
    }

    #handleConnect(out: OutgoingRequest): void {
        if (this.#req.destroyed) {
            return;
        }
        this.onConnected();
        this.#connected = true;
        out.onSending();
        out.body.writeTo(this.#req);
    }

    #handleResponse(res: IncomingMessage, method: string, resolve: (res: IncomingMessage) => void): void {
        this.#responded = true;
        if (this.#sendId !== undefined && !isResponseTo(res, this.#req, this.#sendId)) {
            this.abort({ kind: "lost" });
            return;
        }
        const refused = res.headers[responseHeaders.refused];
        if (refused !== undefined) {
            discardResponse(res);
            this.#fail(
                new SendError({ kind: "refused", draining: refused === "drain" }, parseRetryAfter(res)),
            );
            return;
        }
        if (!isFramed(res, method)) {
            this.#fail(new SendError({ kind: "lost" }));
            this.#req.destroy();
            return;
        }
        resolve(res);
    }

    #handleClose(): void {
        if (!this.#responded) {
            this.onConnected();
            this.#fail(new SendError({ kind: this.#connected ? "lost" : "connect-failed" }));
        }
    }
}

/** Without Content-Length or chunked encoding, a truncated response can't be told from a complete one. */
const isFramed = (res: IncomingMessage, method: string): boolean =>
    res.headers["content-length"] !== undefined ||
    res.headers["transfer-encoding"] !== undefined ||
    method === "HEAD" ||
    isBodiless(res.statusCode ?? 0);

/** Returns the delay in milliseconds that a refusing server asks for. */
const parseRetryAfter = (res: IncomingMessage): number | undefined => {
    const ms = Number(res.headers[responseHeaders.retryAfter] ?? NaN);
    if (Number.isInteger(ms) && ms >= 0) {
        return ms;
    }
    const seconds = Number(res.headers["retry-after"] ?? NaN);
    return Number.isInteger(seconds) && seconds >= 0 ? seconds * msPerSecond : undefined;
};

const msPerSecond = 1000;
