/** The callers' connections, so that a planned stop closes just those that are idle. */

import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { Server as NetServer, type Socket } from "node:net";

interface Connection {
    response: ServerResponse | undefined;
    /** Bytes read when it was last seen idle. */
    idleBytesRead: number | undefined;
}

/**
 * Open connections with the latest answer of each. Node's own closeIdleConnections counts an answer as over when
 * its last byte was handed over, which is before a slow reader has got it.
 */
export class ConnectionTracker {
    readonly #open = new Map<Duplex, Connection>();

    /** Follows a connection until it closes. */
    track(socket: Socket): void {
        this.#open.set(socket, { response: undefined, idleBytesRead: undefined });
        socket.once("close", () => this.#open.delete(socket));
    }

    /** Tells that a request has come, and where its answer goes. */
    setResponse(socket: Socket, answer: ServerResponse): void {
        const connection = this.#open.get(socket);
        if (connection) {
            connection.response = answer;
        }
    }

    /** The connection's latest answer, if it isn't out whole. */
    unfinishedResponse(socket: Duplex): ServerResponse | undefined {
        const answer = this.#open.get(socket)?.response;
        return answer && !answer.writableFinished ? answer : undefined;
    }

    /**
     * Closes a server's port and its connections as they fall idle; resolves when all are closed. The HTTP server's
     * own close would cut what a slow reader has not got yet.
     */
    async closeAll(server: Server): Promise<void> {
        const closed = new Promise<void>(resolve => NetServer.prototype.close.call(server, () => resolve()));
        const looking = setInterval(() => this.closeIdle(), idleCheckIntervalMs);
        await closed;
        clearInterval(looking);
    }

    /** Closes the connections that were idle at the last look and on which nothing has come since. */
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

/** A connection closes after two looks at which nothing has come, so within twice this. */
const idleCheckIntervalMs = 50;
