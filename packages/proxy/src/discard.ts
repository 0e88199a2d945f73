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
        bytes += chunk.length;
        if (bytes > maxDiscardedBytes) {
            res.destroy();
        }
    });
    res.on("end", onEnd);
    // A response that breaks off is of no further interest.
    res.on("error", () => undefined);
    res.on("close", () => clearTimeout(timer));
};

/** Far above the body of a server's refusal or error; a new connection costs less than reading more. */
const maxDiscardedBytes = 65_536;
/** Several round trips between failure domains. */
const discardTimeoutMs = 500;
