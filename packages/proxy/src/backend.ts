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
export interface Outgoing {
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    /** Names and values by turns, framing excepted. */
    readonly headers: readonly string[];
    readonly body: CallBody;
    /** A non-idempotent request: only a connection that was used a moment ago, or a new one. */
    readonly guarded: boolean;
    /** Called just before the first byte is written. */
    readonly onSending: () => void;
}

/** Keeps the connections to backend servers. */
export class BackendClient {
    readonly #options: BackendOptions;
    readonly #sweep: TimerSet;
    readonly #clock: () => number;
    readonly #plain: Agent;
    readonly #guarded: Agent;

    constructor(options: BackendOptions, sweep: TimerSet, clock: () => number) {
        this.#options = options;
        this.#sweep = sweep;
        this.#clock = clock;
        this.#plain = agent(options.maxConnections, options.idleMs);
        this.#guarded = agent(options.maxConnections, options.nonIdempotentIdleMs);
    }

    /** Starts an exchange. */
    send(out: Outgoing): Exchange {
        const req = request({
            host: out.host,
            port: out.port,
            method: out.method,
            path: out.path,
            agent: out.guarded ? this.#guarded : this.#plain,
            headers: [...out.headers, ...out.body.framing(), "Host", `${out.host}:${out.port}`],
        });
        const exchange = new Exchange(req, out);
        const due = this.#sweep.schedule(this.#clock() + this.#options.connectTimeoutMs, () =>
            exchange.abort({ kind: "connect-failed" }),
        );
        exchange.onConnected = () => this.#sweep.cancel(due);
        return exchange;
    }

    /** Closes every connection. */
    close(): void {
        this.#plain.destroy();
        this.#guarded.destroy();
    }
}

const agent = (maxSockets: number, timeout: number): Agent =>
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
    #headed = false;
    #fail: (error: ExchangeError) => void = () => undefined;

    constructor(req: ClientRequest, out: Outgoing) {
        this.#req = req;
        this.head = new Promise((resolve, reject) => {
            this.#fail = reject;
            req.on("response", res => this.#answered(res, out.method, resolve));
        });
        req.on("error", () => this.#broke());
        req.on("close", () => this.#broke());
        req.once("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => this.#connect(out));
            } else {
                this.#connect(out);
            }
        });
    }

    /** Whether a byte of the request can have reached the server. */
    get sent(): boolean {
        return this.#connected;
    }

    /** Whether the whole request, body included, has been handed to the connection. */
    get wholeSent(): boolean {
        return this.#req.writableEnded;
    }

    /** Breaks the exchange off, closing its connection. */
    abort(result: SlotResult): void {
        this.onConnected();
        this.#fail(new ExchangeError(result));
        this.#req.destroy();
    }

    #connect(out: Outgoing): void {
        if (this.#req.destroyed) {
            return;
        }
        this.onConnected();
        this.#connected = true;
        out.onSending();
        out.body.send(this.#req);
    }

    #answered(res: IncomingMessage, method: string, resolve: (res: IncomingMessage) => void): void {
        this.#headed = true;
        const refused = res.headers[responseHeaders.refused];
        if (refused !== undefined) {
            res.resume();
            this.#fail(
                new ExchangeError({ kind: "refused", draining: refused === "drain" }, retryAfterOf(res)),
            );
            return;
        }
        if (!framed(res, method)) {
            this.#headed = false;
            this.#req.destroy();
            return;
        }
        resolve(res);
    }

    #broke(): void {
        if (!this.#headed) {
            this.onConnected();
            this.#fail(new ExchangeError({ kind: this.#connected ? "lost" : "connect-failed" }));
        }
    }
}

/** An answer without length or chunks ends with its connection, so a break would look like its end. */
const framed = (res: IncomingMessage, method: string): boolean =>
    res.headers["content-length"] !== undefined ||
    res.headers["transfer-encoding"] !== undefined ||
    method === "HEAD" ||
    res.statusCode === 204 ||
    res.statusCode === 304;

/** Reads the milliseconds after which a server that refused may be asked again. */
const retryAfterOf = (res: IncomingMessage): number | undefined => {
    const ms = Number(res.headers[responseHeaders.retryAfter] ?? NaN);
    if (Number.isInteger(ms) && ms >= 0) {
        return ms;
    }
    const seconds = Number(res.headers["retry-after"] ?? NaN);
    return Number.isInteger(seconds) && seconds >= 0 ? seconds * msPerSecond : undefined;
};

const msPerSecond = 1000;
