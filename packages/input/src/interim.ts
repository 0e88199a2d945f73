/** Interim responses, of which HTTP allows any number before the final one. */

import type { ClientRequest } from "node:http";

/** Calls `onExcess` when a request gets more interim responses than any sound receiver sends. */
export const limitInterimResponses = (req: ClientRequest, onExcess: () => void): void => {
    let count = 0;
    req.on("information", () => {
        count++;
        if (count === maxInterimResponses + 1) {
            onExcess();
        }
    });
};

/** Several early hints, or one note a second during the longest time-out. */
const maxInterimResponses = 32;
