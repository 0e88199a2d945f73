/** Tracks the callers' connections, so that a graceful shutdown closes only idle ones. */

import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { Server as NetServer, type Socket } from "node:net";
import { drainPendingInput } from "./unreadinput.js";

interface Connection {
    /** The response to the latest request. */
    response: ServerResponse | undefined;
    /** Responses that aren't closed yet. */
    readonly pending: Set<ServerResponse>;
    /** Value of `bytesRead` when the connection was last seen idle; undefined if it was busy. */
    idleBytesRead: number | undefined;
}

/**
 * Open connections with the responses of each. Node's closeIdleConnections treats a response as finished once
 * its last byte has been buffered, which is before a slow reader has received it.
 */
export class ConnectionTracker {
    readonly #open = new Map<Duplex, Connection>();
    /** Number of connections accepted so far. */
    #accepted = 0;

    /** Tracks a connection until it closes. */
    track(socket: Socket): void {
        this.#accepted++;
        const pending = new Set<ServerResponse>();
        this.#open.set(socket, { response: undefined, pending, idleBytesRead: undefined });
        socket.once("close", () => {
            this.#open.delete(socket);
            pending.forEach(closeQueued);
        });
    }

    /** Records the response to the connection's latest request. */
    addResponse(socket: Socket, response: ServerResponse): void {
        const connection = this.#open.get(socket);
        if (connection) {
            connection.response = response;
            connection.pending.add(response);
            response.once("close", () => connection.pending.delete(response));
        }
    }

    /** Returns the connection's latest response, if it hasn't been sent completely. */
    unfinishedResponse(socket: Duplex): ServerResponse | undefined {
        const response = this.#open.get(socket)?.response;
        return response && !response.writableFinished ? response : undefined;
    }

    /**
     * Stops listening and closes connections as they become idle; resolves when all are closed. The HTTP server's
     * own close would truncate responses that a slow reader has not received yet.
     */
    async closeAll(server: Server): Promise<void> {
        await this.#acceptWaiting();
        const closed = new Promise<void>(resolve => NetServer.prototype.close.call(server, () => resolve()));
        const timer = setInterval(() => this.closeIdle(), idleCheckIntervalMs);
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

    /** Closes connections that were idle at the previous check and have received nothing since. */
    closeIdle(): void {
        for (const [socket, connection] of this.#open) {
            const { bytesRead } = socket as Socket;
            if (this.unfinishedResponse(socket)) {
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
 * Closes a response that waits for its turn on a connection that has closed. Node closes only the one whose turn it is, so
 * the others' requests would continue without a caller.
 */
const closeQueued = (response: ServerResponse): void => {
    if (!response.socket && !response.writableFinished) {
        response.destroy();
        response.emit("close");
    }
};

/** Enough for several hundred waiting connections, while callers that still connect don't put off the stop. */
const maxAcceptRounds = 100;
/** An idle connection is closed at the second check, so within twice this interval. */
const idleCheckIntervalMs = 50;
