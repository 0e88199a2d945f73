/**
 * Sends requests to backend servers over kept connections. An exchange knows whether a byte of its request
 * can have reached the server: nothing is written before the connection stands.
 */

import { Agent, request, type ClientRequest, type IncomingMessage } from "node:http";
import type { SlotResult } from "@bramleymoor/dispatch/types";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import type { CallBody } from "./body.js";
import type { TimerSet } from "./timers.js";

/** Settings of a BackendClient. */
export interface BackendOptions {
    /** Connections to one server at most, of either kind. */
    readonly maxConnections: number;
    /** An idle connection is closed after this time; must be less than the servers' own idle timeout. */
    readonly idleMs: number;
    /** The same for the connections of non-idempotent requests; 0 opens one for each request. */
    readonly nonIdempotentIdleMs: number;
    readonly connectTimeoutMs: number;
}

/** One request to be sent. */
export interface OutgoingRequest {
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    /** Names and values by turns, framing excepted. */
    readonly headers: readonly string[];
    readonly body: CallBody;
    /** A non-idempotent request: only a connection that was used a moment ago, or a new one. */
    readonly nonIdempotent: boolean;
    /** Called just before the first byte is written. */
    readonly onSending: () => void;
}

/** Keeps the connections to backend servers. */
export class BackendClient {
    readonly #options: BackendOptions;
    readonly #timers: TimerSet;
    readonly #clock: () => number;
    readonly #idempotentAgent: Agent;
    readonly #nonIdempotentAgent: Agent;

    constructor(options: BackendOptions, sweep: TimerSet, clock: () => number) {
        this.#options = options;
        this.#timers = sweep;
        this.#clock = clock;
        this.#idempotentAgent = createAgent(options.maxConnections, options.idleMs);
        this.#nonIdempotentAgent = createAgent(options.maxConnections, options.nonIdempotentIdleMs);
    }

    /** Starts an exchange. */
    send(out: OutgoingRequest): Exchange {
        const req = request({
            host: out.host,
            port: out.port,
            method: out.method,
            path: out.path,
            agent: out.nonIdempotent ? this.#nonIdempotentAgent : this.#idempotentAgent,
            headers: [...out.headers, ...out.body.framing(), "Host", `${out.host}:${out.port}`],
        });
        const exchange = new Exchange(req, out);
        const due = this.#timers.schedule(this.#clock() + this.#options.connectTimeoutMs, () =>
            exchange.abort({ kind: "connect-failed" }),
        );
        exchange.onConnected = () => this.#timers.cancel(due);
        return exchange;
    }

    /** Closes every connection. */
    close(): void {
        this.#idempotentAgent.destroy();
        this.#nonIdempotentAgent.destroy();
    }
}

const createAgent = (maxSockets: number, timeout: number): Agent =>
    new Agent({ keepAlive: timeout > 0, maxSockets, timeout, scheduling: "lifo" });

/** Why an exchange gave no answer. */
export class ExchangeError extends Error {
    /** @param retryAfterMs what the server asked for when it refused */
    constructor(
        readonly result: SlotResult,
        readonly retryAfterMs: number | undefined = undefined,
    ) {
        super(`exchange ended: ${result.kind}`);
        this.name = "ExchangeError";
    }

    /** Whether the server did not start: it said so, or no byte can have reached it. */
    get notStarted(): boolean {
        return this.result.kind === "refused" || this.result.kind === "connect-failed";
    }
}

/** One request to one backend server and its answer. */
export class Exchange {
    /** The answer's head; rejects with an ExchangeError. */
    readonly head: Promise<IncomingMessage>;
    onConnected: () => void = () => undefined;
    readonly #req: ClientRequest;
    #connected = false;
    #responded = false;
    #fail: (error: ExchangeError) => void = () => undefined;

    constructor(req: ClientRequest, out: OutgoingRequest) {
        this.#req = req;
        this.head = new Promise((resolve, reject) => {
            this.#fail = reject;
            req.on("response", res => this.#handleResponse(res, out.method, resolve));
        });
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

    /** Whether a byte of the request can have reached the server. */
    get sent(): boolean {
        return this.#connected;
    }

    /** Whether the whole request, body included, has been handed to the connection. */
    get fullySent(): boolean {
        return this.#req.writableEnded;
    }

    /** Breaks the exchange off, closing its connection. */
    abort(result: SlotResult): void {
        this.onConnected();
        this.#fail(new ExchangeError(result));
        this.#req.destroy();
    }

    #handleConnect(out: OutgoingRequest): void {
        if (this.#req.destroyed) {
            return;
        }
        this.onConnected();
        this.#connected = true;
        out.onSending();
        out.body.send(this.#req);
    }

    #handleResponse(res: IncomingMessage, method: string, resolve: (res: IncomingMessage) => void): void {
        this.#responded = true;
        const refused = res.headers[responseHeaders.refused];
        if (refused !== undefined) {
            res.resume();
            this.#fail(
                new ExchangeError({ kind: "refused", draining: refused === "drain" }, parseRetryAfter(res)),
            );
            return;
        }
        if (!isFramed(res, method)) {
            this.#responded = false;
            this.#req.destroy();
            return;
        }
        resolve(res);
    }

    #handleClose(): void {
        if (!this.#responded) {
            this.onConnected();
            this.#fail(new ExchangeError({ kind: this.#connected ? "lost" : "connect-failed" }));
        }
    }
}

/** An answer without length or chunks ends with its connection, so a break would look like its end. */
const isFramed = (res: IncomingMessage, method: string): boolean =>
    res.headers["content-length"] !== undefined ||
    res.headers["transfer-encoding"] !== undefined ||
    method === "HEAD" ||
    res.statusCode === 204 ||
    res.statusCode === 304;

/** Reads the milliseconds after which a server that refused may be asked again. */
const parseRetryAfter = (res: IncomingMessage): number | undefined => {
    const ms = Number(res.headers[responseHeaders.retryAfter] ?? NaN);
    if (Number.isInteger(ms) && ms >= 0) {
        return ms;
    }
    const seconds = Number(res.headers["retry-after"] ?? NaN);
    return Number.isInteger(seconds) && seconds >= 0 ? seconds * msPerSecond : undefined;
};

const msPerSecond = 1000;
