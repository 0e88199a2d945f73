/** A caller's request body: held whole if it is small, so that it can be sent again, else streamed once. */

import type { ClientRequest, IncomingMessage } from "node:http";
import { CallError } from "@bramleymoor/protocol/errors";

/** One request's body. */
export class RequestBody {
    readonly #req: IncomingMessage;
    readonly #limit: number;
    readonly #chunks: Buffer[] = [];
    #bytes = 0;
    #whole = false;
    #streamed = false;

    /** @param limit bytes that the configuration allows */
    constructor(req: IncomingMessage, limit: number) {
        this.#req = req;
        this.#limit = limit;
    }

    /** Whether the body can be sent (again). */
    get replayable(): boolean {
        return this.#whole || !this.#streamed;
    }

    /** Reads until the body is whole or too long to be held; throws a CallError if it may not be sent on. */
    async buffer(): Promise<void> {
        const told = Number(this.#req.headers["content-length"] ?? 0);
        if (told > this.#limit) {
            throw new CallError("body-too-large");
        }
        if (!hasBody(this.#req)) {
            this.#whole = true;
            return;
        }
        if (told <= heldBytes) {
            await this.#read();
        }
    }

    /** Headers that frame the body. */
    framingHeaders(): readonly string[] {
        const length = this.#req.headers["content-length"];
        if (length !== undefined) {
            return ["Content-Length", length];
        }
        return hasBody(this.#req) ? ["Transfer-Encoding", "chunked"] : [];
    }

    /** Writes the body to a server. */
    writeTo(to: ClientRequest): void {
        this.#chunks.forEach(chunk => to.write(chunk));
        if (this.#whole) {
            to.end();
            return;
        }
        this.#streamed = true;
        this.#req.on("aborted", () => to.destroy());
        this.#req.pipe(to);
    }

    /** Resolves when the body is whole, or so much of it is here that it won't be held. */
    #read(): Promise<void> {
        return new Promise((resolve, reject) => {
            const req = this.#req;
            const stop = (): void => {
                req.off("data", take).off("end", end).off("close", gone);
            };
            const take = (chunk: Buffer): void => {
                this.#chunks.push(chunk);
                this.#bytes += chunk.length;
                if (this.#bytes > this.#limit) {
                    stop();
                    reject(new CallError("body-too-large"));
                } else if (this.#bytes > heldBytes) {
                    stop();
                    req.pause();
                    resolve();
                }
            };
            const end = (): void => {
                stop();
                this.#whole = true;
                resolve();
            };
            const gone = (): void => {
                stop();
                reject(new CallError("caller-gone"));
            };
            req.on("data", take).on("end", end).on("close", gone);
        });
    }
}

const hasBody = (req: IncomingMessage): boolean =>
    req.headers["transfer-encoding"] !== undefined || Number(req.headers["content-length"] ?? 0) > 0;

/** Largest body that is held, in bytes; a few hundred of them fit the smallest VM. */
const heldBytes = 256 * 1024;
