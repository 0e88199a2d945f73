/** Reads a whole body into memory. */

import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./collector.js";

/** Thrown for a body that is longer than its reader accepts. */
export class BodyTooLongError extends Error {
    /** @param maxBytes the bytes that its reader accepts */
    constructor(readonly maxBytes: number) {
        super(`more than ${maxBytes} bytes`);
        this.name = "BodyTooLongError";
    }
}

/**
 * Reads a message's body to its end; rejects if its connection breaks, or with a BodyTooLongError after closing the connection.
 *
 * @param maxBytes longest body that is accepted
 */
export const readBody = (message: IncomingMessage, maxBytes: number): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const body = new ByteCollector();
        message.on("data", (chunk: Buffer) => {
            body.append(chunk);
            if (body.bytes > maxBytes) {
                reject(new BodyTooLongError(maxBytes));
                message.destroy();
            }
        });
        message.on("end", () => resolve(body.toBuffer()));
        message.on("error", reject);
        message.on("close", () => reject(new Error("the connection ended within the body")));
    });
