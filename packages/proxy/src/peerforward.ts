/** Passes a call on, once, to the entry VM that issued its ticket or that dispatches its service. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { callHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import { ExchangeError, type BackendClient, type Exchange, type OutgoingRequest } from "./backend.js";
import { CallBody } from "./body.js";
import { peerResponseHeaders, peerRequestHeaders } from "./headers.js";
import { Relay, type RelayEnd } from "./relay.js";
import type { TimerSet } from "./timers.js";

/** What passing on needs from its call. */
export interface PeerForwardParts {
    readonly client: BackendClient;
    readonly clock: () => number;
    readonly timers: TimerSet;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly deadlineAt: number;
    /** Time that the other entry VM may send nothing in the middle of an answer, in milliseconds. */
    readonly stallMs: number;
    readonly extraHeaders: () => readonly string[];
}

/** One call on its way through another entry VM. */
export class PeerForward {
    readonly #parts: PeerForwardParts;
    readonly #body: CallBody;
    #reject: (error: CallError) => void = () => undefined;

    constructor(parts: PeerForwardParts) {
        this.#parts = parts;
        this.#body = new CallBody(parts.req, parts.res, undefined);
    }

    /** Gives up waiting for an answer; does nothing once one has begun. */
    abort(error: CallError): void {
        this.#reject(error);
    }

    /**
     * Passes a request on to its issuer alone.
     *
     * @throws CallError issuer-unreachable: whether an earlier attempt has run can't be told
     */
    async toIssuer(address: string): Promise<RelayEnd> {
        try {
            return await this.#forward(address);
        } catch (err) {
            throw err instanceof ExchangeError
                ? new CallError("issuer-unreachable", "", unreachableRetryMs)
                : err;
        }
    }

    /**
     * Passes an idempotent call on to the first that answers of the entry VMs that dispatch its service.
     *
     * @throws CallError no-server if none could be reached, server-lost if one was lost
     */
    async toDispatcher(addresses: readonly string[]): Promise<RelayEnd> {
        let lost = false;
        for (const address of addresses) {
            try {
                return await this.#forward(address);
            } catch (err) {
                if (!(err instanceof ExchangeError)) {
                    throw err;
                }
                lost ||= err.result.kind === "lost";
            }
            if (!this.#body.replayable) {
                break;
            }
        }
        throw new CallError(lost ? "server-lost" : "no-server", "", unreachableRetryMs);
    }

    async #forward(address: string): Promise<RelayEnd> {
        await this.#abortable(this.#body.buffer());
        const exchange = this.#parts.client.send(this.#buildRequest(address));
        try {
            const answer = await this.#abortable(exchange.head);
            this.#reject = () => undefined;
            return await this.#relay(exchange, answer);
        } catch (err) {
            exchange.abort({ kind: "cancelled" });
            throw err;
        }
    }

    #buildRequest(address: string): OutgoingRequest {
        const { req, clock, deadlineAt } = this.#parts;
        const headers = peerRequestHeaders(req.rawHeaders, req.headers.connection);
        headers.push(callHeaders.deadline, String(Math.max(1, Math.floor(deadlineAt - clock()))));
        headers.push(callHeaders.forwarded, "1");
        const cut = address.lastIndexOf(":");
        return {
            host: address.slice(0, cut),
            port: Number(address.slice(cut + 1)),
            method: req.method ?? "GET",
            path: req.url ?? "/",
            headers,
            body: this.#body,
            nonIdempotent: false,
            onSending: () => undefined,
        };
    }

    async #relay(exchange: Exchange, answer: IncomingMessage): Promise<RelayEnd> {
        const headers = peerResponseHeaders(answer.rawHeaders, answer.headers.connection);
        const { res, extraHeaders, ...limit } = this.#parts;
        const relay = new Relay(answer, res, undefined, limit);
        const end = await relay.run(answer.statusCode ?? 0, [...headers, ...extraHeaders()]);
        if (end !== "whole") {
            exchange.abort({ kind: "cancelled" });
        }
        return end;
    }

    #abortable<T>(work: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            this.#reject = reject;
            work.then(resolve, reject);
        });
    }
}

const unreachableRetryMs = 1000;
