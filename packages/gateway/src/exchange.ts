/** One request to one backend server, to its answer's head; knows whether the server can have begun. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { SlotResult } from "@bramleymoor/balance/types";
import type { ServerEntry } from "@bramleymoor/model/route";
import type { KeepAliveAgent } from "./agent.js";
import type { WireFormat } from "./wireformat.js";

/** What is sent. */
export interface OutgoingRequest {
    readonly server: ServerEntry;
    readonly agent: KeepAliveAgent;
    readonly method: string;
    readonly target: string;
    /** Names and values by turns, framing included. */
    readonly headers: readonly string[];
    readonly requestId: string;
    /** Writes the body and ends the request. */
    readonly writeBody: (req: ClientRequest) => void;
}

/** Why there is no answer to pass on. */
export class SendError extends Error {
    constructor(
        readonly end: SlotResult,
        readonly detail: string,
    ) {
        super(`${end.kind}: ${detail}`);
        this.name = "SendError";
    }
}

/** A send on its way. */
export class Exchange {
    /** The head of the server's own answer to this request; rejects with a SendError. */
    readonly head: Promise<IncomingMessage>;
    readonly #req: ClientRequest;
    #socket: Socket | undefined = undefined;
    #connected = false;
    #reset = false;
    /** Whether `head` has been settled. */
    #settled = false;
    #fail: (error: SendError) => void = () => undefined;
    readonly #noteReset = (): void => {
        this.#reset = true;
    };

    constructor(out: OutgoingRequest, wire: WireFormat) {
        const { host, port } = splitAddress(out.server.address);
        this.#req = request({
            host,
            port,
            method: out.method,
            path: out.target,
            agent: out.agent,
            headers: out.headers as string[],
            setHost: false,
        });
        this.head = new Promise((resolve, reject) => {
            this.#fail = error => {
                this.#settled = true;
                reject(error);
            };
            this.#req.on("response", res => {
                this.#answered(res, out, wire, resolve);
                this.#settled = true;
            });
        });
        this.#req.on("error", err => this.#broke(err.message));
        this.#req.on("close", () => {
            this.#socket?.off("error", this.#noteReset);
            this.#broke("the connection closed");
        });
        this.#req.once("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => this.#connect(out));
            } else {
                this.#connect(out);
            }
            this.#socket = socket;
            socket.prependListener("error", this.#noteReset);
        });
    }

    /** Whether a byte of the request can have reached the server. */
    get sent(): boolean {
        return this.#connected;
    }

    /** Whether the connection was reset, so that an answer without a length isn't whole. */
    get wasReset(): boolean {
        return this.#reset;
    }

    /** Breaks off and closes the connection. */
    abort(end: SlotResult): void {
        this.#fail(new SendError(end, "broken off"));
        this.#req.destroy();
    }

    /** The answer has come whole; if the server has not read all of the request, the connection can't be kept. */
    finish(): void {
        if (!this.#req.writableFinished) {
            this.#req.destroy();
        }
    }

    #connect(out: OutgoingRequest): void {
        if (!this.#req.destroyed) {
            this.#connected = true;
            out.writeBody(this.#req);
        }
    }

    #answered(
        res: IncomingMessage,
        out: OutgoingRequest,
        wire: WireFormat,
        resolve: (res: IncomingMessage) => void,
    ): void {
        const status = res.statusCode ?? 0;
        const refusal = wire.refusal(status, res.headers);
        if (refusal) {
            res.resume();
            res.on("end", () => this.finish());
            this.#fail(new SendError({ kind: "refused", why: refusal }, `status ${status}`));
            return;
        }
        const echoed = wire.requestId(res.headers);
        if (echoed !== out.requestId || !wire.isFromServer(res.headers)) {
            this.abort({ kind: "lost" });
            return;
        }
        resolve(res);
    }

    #broke(detail: string): void {
        if (this.#settled) {
            return;
        }
        this.#fail(new SendError({ kind: this.#connected ? "lost" : "unreachable" }, detail));
    }
}

/** Host and port of "IP:port". */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
