/** Tracks the callers' connections: bounds what is pending on them, and closes only idle ones at a graceful shutdown. */

import type { Duplex } from "node:stream";
import { Server as NetServer, type Socket } from "node:net";
import type { OrderedResponse } from "./orderedresponse.js";
import { drainPendingInput } from "./unreadinput.js";

interface Connection {
    /** The response to the latest request. */
    response: OrderedResponse | undefined;
    /** Responses that aren't closed yet. */
    readonly pending: Set<OrderedResponse>;
    /** Number of requests that were ignored because the response to an earlier one closes the connection. */
    ignored: number;
    /** Whether a request has been refused, so that its response closes the connection. */
    refused: boolean;
    /** Value of `bytesRead` when the connection was last seen idle; undefined if it was busy. */
    idleBytesRead: number | undefined;
}

/** Whether a request may be served; one that follows a refused request can't get a response. */
export type Admission = "serve" | "refuse" | "ignore";

/**
 * Open connections with the responses of each. Node's closeIdleConnections treats a response as finished once
 * its last byte has been buffered, which is before a slow reader has received it.
 */
export class ConnectionTracker {
    readonly #open = new Map<Duplex, Connection>();
    /** Number of connections accepted so far. */
    #accepted = 0;
    /** Bytes of responses that wait for their turn. */
    #heldBytes = 0;

    /** Tracks a connection until it closes. */
    track(socket: Socket): void {
        this.#accepted++;
        const pending = new Set<OrderedResponse>();
        this.#open.set(socket, {
            response: undefined,
            pending,
            ignored: 0,
            refused: false,
            idleBytesRead: undefined,
        });
        socket.once("close", () => {
            this.#open.delete(socket);
            pending.forEach(closeQueued);
        });
        socket.destroySoon = () => closeGracefully(socket);
    }

    /**
     * Records the response to the connection's latest request, and returns whether to serve the request. The response to a
     * refused one must close the connection.
     */
    admit(socket: Socket, response: OrderedResponse): Admission {
        const connection = this.#open.get(socket);
        if (!connection) {
            return "serve";
        }
        if (connection.refused || socket.writableEnded) {
            this.ignore(socket);
            return "ignore";
        }
        this.#addResponse(connection, response);
        const { size } = connection.pending;
        connection.refused = size > maxPipelinedRequests || (size > 1 && this.#heldBytes > maxHeldBytes);
        return connection.refused ? "refuse" : "serve";
    }

    /**
     * Records a request that follows one whose response closes the connection. A caller that keeps sending such requests isn't read
     * any more, as Node keeps each of them until the responses before it have been sent.
     */
    ignore(socket: Socket): void {
        const connection = this.#open.get(socket);
        if (connection && ++connection.ignored === maxPipelinedRequests) {
            const stopReading = (): void => void socket.pause();
            socket.on("resume", stopReading);
            stopReading();
        }
    }

    /** Returns the connection's latest response, if it hasn't been sent completely. */
    unfinishedResponse(socket: Duplex): OrderedResponse | undefined {
        const response = this.#open.get(socket)?.response;
        return response && !response.writableFinished ? response : undefined;
    }

    /**
     * Stops listening and closes connections as they become idle; resolves when all are closed. The HTTP server's
     * own close would truncate responses that a slow reader has not received yet.
     *
     * @param isWaiting whether a connection waits to be served
     */
    async closeAll(server: NetServer, isWaiting: (socket: Socket) => boolean): Promise<void> {
        await this.#acceptWaiting();
        const closed = new Promise<void>(resolve => NetServer.prototype.close.call(server, () => resolve()));
        const timer = setInterval(() => this.closeIdle(isWaiting), idleCheckIntervalMs);
        await closed;
        clearInterval(timer);
    }

    /** Accepts the connections that wait for it: when the listener is closed, the operating system resets them. */
    async #acceptWaiting(): Promise<void> {
        for (let i = 0; i < maxAcceptRounds; i++) {
            const before = this.#accepted;
            await drainPendingInput();
            if (this.#accepted === before) {
                return;
            }
        }
    }

    #addResponse(connection: Connection, response: OrderedResponse): void {
        connection.response = response;
        connection.pending.add(response);
        response.trackHeldBytes(bytes => (this.#heldBytes += bytes));
        response.once("close", () => {
            connection.pending.delete(response);
            response.discardHeld();
        });
    }

    /** Closes connections that were idle at the previous check and have received nothing since, but for those that wait. */
    closeIdle(isWaiting: (socket: Socket) => boolean): void {
        for (const [socket, connection] of this.#open) {
            const { bytesRead } = socket as Socket;
            if (this.unfinishedResponse(socket) || isWaiting(socket as Socket)) {
                connection.idleBytesRead = undefined;
            } else if (connection.idleBytesRead === bytesRead) {
                (socket as Socket).destroySoon();
            } else {
                connection.idleBytesRead = bytesRead;
            }
        }
    }
}

/**
 * Closes a connection once the caller has closed its side too. Node's own `destroySoon`, which its HTTP server calls after the last
 * response, closes it when that has been written: input that arrives afterwards makes the operating system reset the
 * connection and discard what the caller hasn't received yet.
 */
const closeGracefully = (socket: Socket): void => {
    if (socket.destroyed || socket.writableEnded) {
        return;
    }
    socket.end();
    const timer = setTimeout(() => socket.destroy(), lingerMs);
    socket.once("close", () => clearTimeout(timer));
};

/**
 * Closes a response that waits for its turn on a connection that has closed. Node closes only the one whose turn it is, so
 * the others' requests would continue without a caller.
 */
const closeQueued = (response: OrderedResponse): void => {
    if (!response.socket && !response.writableFinished) {
        response.destroy();
        response.emit("close");
    }
};

/** Many round trips to a caller, which usually closes its side at once. */
const lingerMs = 2_000;
/** Maximum number of pending requests on one connection. */
const maxPipelinedRequests = 32;
/** Bytes of responses waiting for their turn, on all connections, above which pipelined requests are refused. */
const maxHeldBytes = 32 * 1024 * 1024;
/** Enough for several hundred waiting connections, while callers that still connect don't put off the stop. */
const maxAcceptRounds = 100;
/** An idle connection is closed at the second check, so within twice this interval. */
const idleCheckIntervalMs = 50;
