/** One request to a backend server, up to the response head; tracks whether the server can have received any of it. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { ServerStatement, StatementSource } from "@bramleymoor/balance/statement";
import type { SlotResult } from "@bramleymoor/balance/types";
import type { ServerEntry } from "@bramleymoor/model/route";
import { discardResponse } from "@bramleymoor/proxy/discard";
import type { KeepAliveAgent } from "./agent.js";
import type { WireFormat } from "./wireformat.js";

/** A request to send. */
export interface OutgoingRequest {
    readonly server: ServerEntry;
    readonly agent: KeepAliveAgent;
    readonly method: string;
    readonly target: string;
    /** Names and values alternating, framing included. */
    readonly headers: readonly string[];
    readonly requestId: string;
    /** When the remaining time in the headers is outdated, so that a connection established later isn't used. */
    readonly latestConnectAt: number;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    /** Called with what the server says of itself in its response. */
    readonly onStatement: (statement: ServerStatement, source: StatementSource) => void;
    /** Writes the body and ends the request. */
    readonly writeBody: (req: ClientRequest) => void;
}

/** Thrown when a send yields no response that can be relayed. */
export class SendError extends Error {
    constructor(
        readonly result: SlotResult,
        readonly detail: string,
    ) {
        super(`${result.kind}: ${detail}`);
        this.name = "SendError";
    }
}

/** A send in progress. */
export class Exchange {
    /** Resolves at the head of the server's response to this request; rejects with a SendError. */
    readonly head: Promise<IncomingMessage>;
    readonly #req: ClientRequest;
    #socket: Socket | undefined = undefined;
    #statement: ServerStatement | undefined = undefined;
    #connected = false;
    #wasReset = false;
    /** Whether `head` has been settled. */
    #settled = false;
    #fail: (error: SendError) => void = () => undefined;
    readonly #handleSocketError = (): void => {
        this.#wasReset = true;
    };

    constructor(outgoing: OutgoingRequest, wire: WireFormat) {
        const { host, port } = splitAddress(outgoing.server.address);
        this.#req = request({
            host,
            port,
            method: outgoing.method,
            path: outgoing.target,
            agent: outgoing.agent,
            headers: outgoing.headers as string[],
            setHost: false,
        });
        this.head = new Promise((resolve, reject) => {
            this.#fail = error => {
                this.#settled = true;
                reject(error);
            };
            this.#req.on("response", res => {
                this.#handleResponse(res, outgoing, wire, resolve);
                this.#settled = true;
            });
        });
        this.#req.on("error", err => this.#handleConnectionLoss(err.message));
        this.#req.on("close", () => {
            this.#socket?.off("error", this.#handleSocketError);
            this.#handleConnectionLoss("connection closed before the response");
        });
        this.#req.once("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => this.#handleConnect(outgoing));
            } else {
                this.#handleConnect(outgoing);
            }
            this.#socket = socket;
            socket.prependListener("error", this.#handleSocketError);
        });
    }

    /** Whether any byte of the request can have reached the server. */
    get sent(): boolean {
        return this.#connected;
    }

    /** What the server says of itself in its response; undefined before the head. */
    get statement(): ServerStatement | undefined {
        return this.#statement;
    }

    /** Whether the connection was reset, in which case a response without a declared length is incomplete. */
    get wasReset(): boolean {
        return this.#wasReset;
    }

    /** Aborts the exchange and closes the connection. */
    abort(result: SlotResult): void {
        this.#fail(new SendError(result, "aborted"));
        this.#req.destroy();
    }

    /**
     * Ends the exchange after a complete response. Closes the connection if the request was not written in full, as the
     * rest of it would precede the next request.
     */
    finish(): void {
        if (!this.#req.writableFinished) {
            this.#req.destroy();
        }
    }

    #handleConnect(outgoing: OutgoingRequest): void {
        if (this.#req.destroyed) {
            return;
        }
        if (outgoing.clock() > outgoing.latestConnectAt) {
            this.abort({ kind: "unreachable" });
            return;
        }
        this.#connected = true;
        outgoing.writeBody(this.#req);
    }

    #handleResponse(
        res: IncomingMessage,
        outgoing: OutgoingRequest,
        wire: WireFormat,
        resolve: (res: IncomingMessage) => void,
    ): void {
        const status = res.statusCode ?? 0;
        const echoedId = wire.requestId(res.headers);
        if (echoedId !== undefined && echoedId !== outgoing.requestId) {
            this.abort({ kind: "lost" });
            return;
        }
        const refusal = wire.refusal(status, res.headers);
        const statement = wire.statement(status, res.headersDistinct);
        this.#statement = statement;
        if (refusal) {
            if (refusal !== "other-incarnation") {
                outgoing.onStatement(statement, "refusal");
            }
            discardResponse(res, () => this.finish());
            this.#fail(new SendError({ kind: "refused", reason: refusal }, `status ${status}`));
            return;
        }
        if (echoedId === undefined || !wire.isFromServer(res.headers)) {
            this.abort({ kind: "lost" });
            return;
        }
        outgoing.onStatement(statement, "response");
        resolve(res);
    }

    #handleConnectionLoss(detail: string): void {
        if (this.#settled) {
            return;
        }
        this.#fail(new SendError({ kind: this.#connected ? "lost" : "unreachable" }, detail));
    }
}

/** Splits "IP:port" into host and port. */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
