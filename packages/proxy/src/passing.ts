/** Passes a request on, once, to the entry VM that issued its ticket or that dispatches its service. */

import { Agent, request, type ClientRequest, type IncomingMessage, type ServerResponse } from "node:http";
import { callHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/kinds";
import { CallBody } from "./body.js";
import { passedAnswerHeaders, passedRequestHeaders } from "./headers.js";
import { Relay, type RelayEnd } from "./relay.js";

/** Kind of error if the entry VM gives no answer; either way the outcome is unknown. */
export type PassFailure = "issuer-unreachable" | "server-lost";

/** Keeps the connections to other entry VMs' caller ports. */
export class Passing {
    readonly #agent: Agent;
    readonly #clock: () => number;

    constructor(maxConnections: number, idleMs: number, clock: () => number) {
        this.#agent = new Agent({ keepAlive: true, maxSockets: maxConnections, timeout: idleMs });
        this.#clock = clock;
    }

    /** Starts passing a request on to "IP:port"; `failure` is the kind if no answer comes. */
    pass(
        to: string,
        req: IncomingMessage,
        res: ServerResponse,
        deadlineAt: number,
        failure: PassFailure,
    ): Passed {
        const body = new CallBody(req, res, undefined);
        const headers = passedRequestHeaders(req.rawHeaders, req.headers.connection);
        headers.push(...body.framing());
        headers.push(callHeaders.deadline, String(Math.max(1, Math.floor(deadlineAt - this.#clock()))));
        headers.push(callHeaders.forwarded, "1");
        headers.push("Host", to);
        const cut = to.lastIndexOf(":");
        const out = request({
            host: to.slice(0, cut),
            port: Number(to.slice(cut + 1)),
            method: req.method ?? "POST",
            path: req.url ?? "/",
            agent: this.#agent,
            headers,
        });
        return new Passed(out, body, res, failure);
    }

    /** Closes every connection. */
    close(): void {
        this.#agent.destroy();
    }
}

/** One request on its way to another entry VM. Nothing that fails here tells whether an earlier attempt has run. */
export class Passed {
    /** The other entry VM's answer; rejects with a CallError whose outcome is unknown. */
    readonly answer: Promise<IncomingMessage>;
    readonly #out: ClientRequest;
    readonly #res: ServerResponse;
    #fail: (error: CallError) => void = () => undefined;

    constructor(out: ClientRequest, body: CallBody, res: ServerResponse, failure: PassFailure) {
        this.#out = out;
        this.#res = res;
        this.answer = new Promise((resolve, reject) => {
            this.#fail = reject;
            out.on("response", resolve);
            out.on("error", () => reject(new CallError(failure, "", unreachableRetryMs)));
        });
        body.hold().then(
            () => body.send(out),
            () => out.destroy(),
        );
    }

    /** Breaks off. */
    abort(error: CallError): void {
        this.#fail(error);
        this.#out.destroy();
    }

    /** Copies the answer to the caller. */
    async relay(answer: IncomingMessage, extra: readonly string[]): Promise<RelayEnd> {
        const headers = passedAnswerHeaders(answer.rawHeaders, answer.headers.connection);
        const relay = new Relay(answer, this.#res, undefined);
        const end = await relay.run(answer.statusCode ?? 0, [...headers, ...extra]);
        if (end !== "whole") {
            this.#out.destroy();
        }
        return end;
    }
}

const unreachableRetryMs = 1000;
