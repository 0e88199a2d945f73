/** Forwards a call, at most one hop, to the entry VM that issued its ticket or one that dispatches its service. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { callHeaders, responseHeaders } from "@bramleymoor/protocol/headers";
import { CallError, type ExecutionState } from "@bramleymoor/protocol/errors";
import { ExecutionTracker } from "@bramleymoor/protocol/execution";
import type { ExitReset } from "@bramleymoor/reset/exitreset";
import { SendError, type BackendClient, type Exchange, type OutgoingRequest } from "./backend.js";
import { RequestBody } from "./body.js";
import { peerResponseHeaders, peerRequestHeaders } from "./headers.js";
import { Relay, type RelayResult } from "./relay.js";
import type { TimerSet } from "./timers.js";

/** Dependencies and settings of a PeerForward. */
export interface PeerForwardOptions {
    readonly client: BackendClient;
    readonly clock: () => number;
    readonly timers: TimerSet;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    /** Deadline on `clock`, in milliseconds. */
    readonly deadlineAt: number;
    /** How long the other entry VM may pause in the middle of a response, in milliseconds. */
    readonly stallMs: number;
    /** Returns the headers to add to the response. */
    readonly extraHeaders: () => readonly string[];
    /** Has the end of this process reset the connections of responses that end with them. */
    readonly exitReset: ExitReset;
}

/** Forwards one call to another entry VM and relays the response. */
export class PeerForward {
    readonly #options: PeerForwardOptions;
    readonly #body: RequestBody;
    readonly #execution = new ExecutionTracker();
    #reject: (error: CallError) => void = () => undefined;

    constructor(options: PeerForwardOptions) {
        this.#options = options;
        this.#body = new RequestBody(options.req, options.res, undefined);
    }

    /** Stops waiting for a response; does nothing once one has started. */
    abort(error: CallError): void {
        this.#reject(error);
    }

    /**
     * Forwards a request to its ticket's issuer, the only entry VM that may run it.
     *
     * @throws CallError issuer-unreachable; it is unknown whether an earlier attempt ran
     */
    async toIssuer(address: string): Promise<RelayResult> {
        try {
            return await this.#forward(address);
        } catch (err) {
            throw err instanceof SendError
                ? new CallError("issuer-unreachable", "", unreachableRetryMs)
                : err;
        }
    }

    /**
     * Forwards an idempotent call to the first entry VM of `addresses` that responds; all dispatch its service.
     *
     * @throws CallError no-server if none could be reached, server-lost if a connection broke after it was used and no
     * other entry VM ran the call
     */
    async toDispatcher(addresses: readonly string[]): Promise<RelayResult> {
        for (const address of addresses) {
            try {
                return await this.#forward(address);
            } catch (err) {
                if (!(err instanceof SendError)) {
                    throw err;
                }
            }
            if (!this.#body.replayable) {
                break;
            }
        }
        const kind = this.#execution.mayHaveRun ? "server-lost" : "no-server";
        throw new CallError(kind, "", unreachableRetryMs);
    }

    async #forward(address: string): Promise<RelayResult> {
        await this.#abortable(this.#body.buffer());
        const exchange = this.#options.client.send(this.#buildRequest(address));
        try {
            const response = await this.#abortable(exchange.head);
            this.#reject = () => undefined;
            this.#checkNotRun(response);
            return await this.#relay(exchange, response);
        } catch (err) {
            exchange.abort({ kind: "cancelled" });
            throw err;
        }
    }

    /**
     * Records whether the entry VM that responded ran the call.
     *
     * @throws CallError server-lost if it says "not run" and an entry VM before it may have run the call
     */
    #checkNotRun(response: IncomingMessage): void {
        const claimsNotRun = response.headers[responseHeaders.ran] === notRun;
        this.#execution.settle(claimsNotRun ? notRun : "ran");
        if (claimsNotRun && this.#execution.mayHaveRun) {
            const retryAfterMs = Number(response.headers[responseHeaders.retryAfter]) || unreachableRetryMs;
            throw new CallError("server-lost", "", retryAfterMs);
        }
    }

    #buildRequest(address: string): OutgoingRequest {
        const { req, clock, deadlineAt } = this.#options;
        const headers = peerRequestHeaders(req.rawHeaders, req.headers.connection);
        headers.push(callHeaders.deadline, String(Math.max(1, Math.floor(deadlineAt - clock()))));
        headers.push(callHeaders.forwarded, "1");
        const colon = address.lastIndexOf(":");
        return {
            host: address.slice(0, colon),
            port: Number(address.slice(colon + 1)),
            method: req.method ?? "GET",
            path: req.url ?? "/",
            headers,
            body: this.#body,
            nonIdempotent: false,
            toPeer: true,
            onSending: () => this.#execution.start(),
        };
    }

    async #relay(exchange: Exchange, response: IncomingMessage): Promise<RelayResult> {
        const headers = peerResponseHeaders(response.rawHeaders, response.headers.connection);
        const { res, extraHeaders, exitReset, ...limit } = this.#options;
        const relay = new Relay(response, res, undefined, limit, exitReset);
        const result = await relay.run(response.statusCode ?? 0, [...headers, ...extraHeaders()]);
        if (result !== "complete") {
            exchange.abort({ kind: "cancelled" });
        }
        return result;
    }

    #abortable<T>(work: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            this.#reject = reject;
            work.then(resolve, reject);
        });
    }
}

const notRun: ExecutionState = "not run";
const unreachableRetryMs = 1000;
