/** A caller's request body: buffered if it is small, so that a retry can send it again, otherwise streamed once. */

import type { ClientRequest, IncomingMessage } from "node:http";
import { ByteCollector } from "@bramleymoor/input/collector";
import { GatheredWriter } from "@bramleymoor/input/gatheredwriter";
import { CallError } from "@bramleymoor/protocol/errors";

/** The body of one request. */
export class RequestBody {
    readonly #req: IncomingMessage;
    readonly #limit: number;
    readonly #buffer = new ByteCollector();
    #complete = false;
    #streamed = false;

    /** @param limit maximum size that the configuration allows, in bytes */
    constructor(req: IncomingMessage, limit: number) {
        this.#req = req;
        this.#limit = limit;
    }

    /** What has been buffered: the whole body, or the beginning of one that is too large. */
    get buffered(): readonly Buffer[] {
        return this.#buffer.blocks;
    }

    /** Whether the body can be sent, or sent again. */
    get replayable(): boolean {
        return this.#complete || !this.#streamed;
    }

    /** Whether the whole body is buffered, so that it can be sent twice at the same time. */
    get isBuffered(): boolean {
        return this.#complete;
    }

    /**
     * Reads until the body is complete or too large to buffer.
     *
     * @throws CallError if the body exceeds the limit or the caller disconnects
     */
    async buffer(): Promise<void> {
        const declaredBytes = Number(this.#req.headers["content-length"] ?? 0);
        if (declaredBytes > this.#limit) {
            throw new CallError("body-too-large");
        }
        if (!hasBody(this.#req)) {
            this.#complete = true;
            return;
        }
        if (declaredBytes <= maxBufferedBytes) {
            await this.#readBuffered();
        }
    }

    /** Returns the headers that frame the body, names and values alternating. */
    framingHeaders(): readonly string[] {
        const length = this.#req.headers["content-length"];
        if (length !== undefined) {
            return ["Content-Length", length];
        }
        return hasBody(this.#req) ? ["Transfer-Encoding", "chunked"] : [];
    }

    /** Writes the body to a request to a backend server. */
    writeTo(serverReq: ClientRequest): void {
        this.#buffer.blocks.forEach(it => serverReq.write(it));
        if (this.#complete) {
            serverReq.end();
            return;
        }
        this.#streamed = true;
        this.#req.on("aborted", () => serverReq.destroy());
        this.#copyTo(serverReq);
    }

    /** Copies the rest of the body; one that is longer than the configuration allows ends the request to the server. */
    #copyTo(serverReq: ClientRequest): void {
        const req = this.#req;
        const writer = new GatheredWriter(serverReq, () => req.pause());
        let bytes = this.#buffer.bytes;
        const onData = (chunk: Buffer): void => {
            bytes += chunk.length;
            if (bytes > this.#limit) {
                serverReq.destroy(new CallError("body-too-large"));
            } else {
                writer.write(chunk);
            }
        };
        const onEnd = (): void => {
            writer.flush();
            serverReq.end();
        };
        req.on("data", onData).on("end", onEnd);
        serverReq.on("drain", () => req.resume());
        serverReq.once("close", () => req.off("data", onData).off("end", onEnd));
        req.resume();
    }

    /** Resolves when the body is complete, or when more of it has arrived than is buffered. */
    #readBuffered(): Promise<void> {
        return new Promise((resolve, reject) => {
            const req = this.#req;
            const removeListeners = (): void => {
                req.off("data", onData).off("end", onEnd).off("close", onClose);
            };
            const onData = (chunk: Buffer): void => {
                this.#buffer.append(chunk);
                if (this.#buffer.bytes > this.#limit) {
                    removeListeners();
                    reject(new CallError("body-too-large"));
                } else if (this.#buffer.bytes > maxBufferedBytes) {
                    removeListeners();
                    req.pause();
                    resolve();
                }
            };
            const onEnd = (): void => {
                removeListeners();
                this.#complete = true;
                resolve();
            };
            const onClose = (): void => {
                removeListeners();
                reject(new CallError("caller-gone"));
            };
            req.on("data", onData).on("end", onEnd).on("close", onClose);
        });
    }
}

const hasBody = (req: IncomingMessage): boolean =>
    req.headers["transfer-encoding"] !== undefined || Number(req.headers["content-length"] ?? 0) > 0;

/** Largest body that is buffered, in bytes; a few hundred such bodies fit into the memory of the smallest VM. */
const maxBufferedBytes = 256 * 1024;
