/** Discards responses that aren't relayed. */

import type { IncomingMessage } from "node:http";

/**
 * Reads a response to its end, so that its connection can be used again. A response that is long or takes long may have no
 * end; its connection is closed.
 *
 * @param onEnd called after a complete response
 */
export const discardResponse = (res: IncomingMessage, onEnd: () => void = () => undefined): void => {
    let bytes = 0;
    const timer = setTimeout(() => res.destroy(), discardTimeoutMs);
    res.on("data", (chunk: Buffer) => {
        bytes += Math.max(chunk.length, minChunkBytes);
        if (bytes > maxDiscardedBytes) {
            res.destroy();
        }
    });
    res.on("end", onEnd);
    // A response that breaks off is of no further interest.
    res.on("error", () => undefined);
    res.on("close", () => clearTimeout(timer));
};

/**
 * Reads the rest of a request's body, as the next request of its connection follows it.
 *
 * @param maxBytes length from which on the connection is closed instead
 */
export const discardRequest = (req: IncomingMessage, maxBytes: number): void => {
    if (req.complete || req.destroyed) {
        return;
    }
    let bytes = 0;
    req.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            req.socket.destroySoon();
        }
    });
    // From here on Node doesn't skip the body, unseen, when the response has been sent.
    req.read(0);
    req.resume();
};

/** Far above the body of a server's refusal or error; a new connection costs less than reading more. */
const maxDiscardedBytes = 65_536;
/** As which a smaller chunk counts: reading it costs about as much. */
const minChunkBytes = 256;
/** Several round trips between failure domains. */
const discardTimeoutMs = 500;
