/** One request to a backend server or a peer, up to the response head; tracks whether it can have received any of it. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { SlotResult } from "@bramleymoor/balance/types";
import { limitInterimResponses } from "@bramleymoor/input/interim";
import { receiveResponse } from "@bramleymoor/input/receive";
import { contained } from "@bramleymoor/proxy/contained";
import { discardResponse } from "@bramleymoor/proxy/discard";
import { writableRequestHeaders } from "@bramleymoor/proxy/writtenheads";
import { hasEndedInOrder } from "@bramleymoor/reset/orderlyend";
import type { KeepAliveAgent } from "./agent.js";
import type { ResponseConnection, Unrelayed } from "./examine.js";
import { isFramed } from "./relay.js";

/** A request to send. */
export interface OutgoingRequest {
    /** "IP:port" of the receiver. */
    readonly address: string;
    /** Its next connection to `address` must not have carried a request with this id; see `KeepAliveAgent.hasCarried`. */
    readonly agent: KeepAliveAgent;
    readonly requestId: string;
    readonly method: string;
    readonly target: string;
    /** Names and values alternating, framing included. */
    readonly headers: readonly string[];
    /** When the remaining time in the headers is outdated, so that a connection established later isn't used. */
    readonly latestConnectAt: number;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    /** Returns how the send ended if its response isn't one to relay. */
    readonly examine: (res: IncomingMessage, connection: ResponseConnection) => Unrelayed | undefined;
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
    /** Resolves at the head of a response to relay; rejects with a SendError. */
    readonly head: Promise<IncomingMessage>;
    /** Resolves when the exchange has ended, in whatever way. */
    readonly closed: Promise<void>;
    readonly #req: ClientRequest;
    #socket: Socket | undefined = undefined;
    #connected = false;
    /** Resolves to whether the connection ended in order; undefined until it has ended, or if that doesn't matter. */
    #endedInOrder: Promise<boolean> | undefined = undefined;
    #wasReset = false;
    #aborted = false;
    /** Number of requests that the connection had carried before. */
    #carriedBefore = 0;
    /** Whether `head` has been settled. */
    #settled = false;
    #fail: (error: SendError) => void = () => undefined;
    readonly #handleSocketError = (): void => {
        this.#wasReset = true;
    };

    constructor(outgoing: OutgoingRequest) {
        const { host, port } = splitAddress(outgoing.address);
        this.#req = request({
            host,
            port,
            method: outgoing.method,
            path: outgoing.target,
            agent: outgoing.agent,
            headers: writableRequestHeaders(outgoing.headers),
            setHost: false,
        });
        this.head = new Promise((resolve, reject) => {
            this.#fail = error => {
                this.#settled = true;
                reject(error);
            };
            const onResponse = contained(
                (res: IncomingMessage) => this.#handleResponse(res, outgoing, resolve),
                err => this.abort({ kind: "lost" }, `the response couldn't be examined: ${String(err)}`),
            );
            receiveResponse(
                this.#req,
                res => {
                    onResponse(res);
                    this.#settled = true;
                },
                problem => this.abort({ kind: "lost" }, `malformed response: ${problem}`),
            );
        });
        this.closed = new Promise(resolve => this.#req.once("close", resolve));
        limitInterimResponses(this.#req, () => this.abort({ kind: "lost" }, "too many interim responses"));
        this.#req.on("error", err => this.#handleConnectionLoss(err.message));
        this.#req.on("close", () => {
            this.#socket?.off("error", this.#handleSocketError);
            this.#handleConnectionLoss("connection closed before the response");
        });
        this.#req.once("socket", socket => {
            this.#socket = socket;
            socket.prependListener("error", this.#handleSocketError);
            const onConnect = contained(
                () => this.#handleConnect(outgoing),
                err => this.abort({ kind: "lost" }, `the request couldn't be written: ${String(err)}`),
            );
            if (socket.connecting) {
                socket.once("connect", onConnect);
            } else {
                onConnect();
            }
        });
    }

    /** Whether any byte of the request can have reached the receiver. */
    get sent(): boolean {
        return this.#connected;
    }

    /**
     * Whether the response was cut off, by a reset of its connection or by `abort`. Node then lets a response end that it has
     * received but not handed out, so that its end proves nothing.
     */
    get isBroken(): boolean {
        return this.#wasReset || this.#aborted;
    }

    /** Resolves to whether the connection of a response that ends with it has ended in order, and not by a reset. */
    async hasEndedInOrder(): Promise<boolean> {
        return (await this.#endedInOrder) !== false && !this.isBroken;
    }

    /** Aborts the exchange and closes the connection. */
    abort(result: SlotResult, detail = "aborted"): void {
        this.#fail(new SendError(result, detail));
        this.#aborted = true;
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
        if (!this.#claimConnection(outgoing)) {
            this.abort({ kind: "unreachable" }, "the connection has carried a request with this id");
            return;
        }
        this.#connected = true;
        outgoing.writeBody(this.#req);
    }

    /**
     * Records that the connection carries the request; returns false if it has carried one with the same id. A copy of the
     * response to that couldn't be told from the response to this one.
     */
    #claimConnection({ agent, requestId }: OutgoingRequest): boolean {
        const carried = this.#socket && agent.carriedBy(this.#socket);
        if (!carried || carried.has(requestId)) {
            return false;
        }
        this.#carriedBefore = carried.size;
        carried.add(requestId);
        return true;
    }

    #handleResponse(
        res: IncomingMessage,
        outgoing: OutgoingRequest,
        resolve: (res: IncomingMessage) => void,
    ): void {
        if (!isFramed(res, outgoing.method)) {
            this.#watchEnd();
        }
        const unrelayed = outgoing.examine(res, {
            isNew: !this.#req.reusedSocket,
            closeAfterResponse: () => (this.#req.shouldKeepAlive = false),
        });
        if (!unrelayed) {
            resolve(res);
            return;
        }
        const evidence = `${unrelayed.evidence}, on a connection that had carried ${this.#carriedBefore} others`;
        if (unrelayed.result.kind === "refused") {
            discardResponse(res, () => this.finish());
            this.#fail(new SendError(unrelayed.result, evidence));
        } else {
            this.abort(unrelayed.result, evidence);
        }
    }

    /** Finds out whether the connection ends in order. */
    #watchEnd(): void {
        const socket = this.#socket;
        if (!socket) {
            return;
        }
        socket.allowHalfOpen = true;
        socket.prependOnceListener("end", () => {
            this.#endedInOrder = hasEndedInOrder(socket);
        });
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
