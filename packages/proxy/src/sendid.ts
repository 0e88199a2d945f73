/** Matches the responses of backend servers with the sends that they respond to. */

import type { ClientRequest, IncomingMessage } from "node:http";
import { responseHeaders } from "@bramleymoor/protocol/headers";

/** Numbers the sends of one client; a connection never carries the same id twice. */
export class SendIds {
    #sends = 0;

    /** Returns the id of the next send. */
    next(): string {
        return (++this.#sends).toString(36);
    }
}

/**
 * Returns whether a response is that to a send, rather than one that the server repeats to an earlier send on the same connection.
 * If the server doesn't repeat the send's id, nothing but a new connection proves it, and the connection is closed after the response.
 */
export const isResponseTo = (res: IncomingMessage, req: ClientRequest, id: string): boolean => {
    const echoedId = res.headers[responseHeaders.sendId];
    if (echoedId === undefined) {
        req.shouldKeepAlive = false;
        return !req.reusedSocket;
    }
    return echoedId === id;
};
