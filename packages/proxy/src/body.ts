/** A caller's request body: none, small and held, or streamed once. */

import { createHash, type Hash } from "node:crypto";
import type { ClientRequest, IncomingMessage, ServerResponse } from "node:http";
import { CallError } from "@bramleymoor/protocol/errors";
import { hasBody } from "./request.js";
import { forwardedTrailers } from "./headers.js";

/** Bodies up to this size are read before a slot is asked for, and can be sent again. */
export const maxBufferedBytes = 16_384;

/** The body of one call. */
export class CallBody {
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #hash: Hash | undefined;
    readonly #length: string | undefined;
    readonly #streamed: boolean;
    #buffered: Buffer | undefined = undefined;
    #started = false;
    #digest: string | undefined = undefined;

    /** @param digestOf what the digest covers before the body; undefined for no digest */
    constructor(req: IncomingMessage, res: ServerResponse, digestOf: string | undefined) {
        this.#req = req;
        this.#res = res;
        this.#hash = digestOf === undefined ? undefined : createHash("sha256").update(digestOf).update("\n");
        this.#length = req.headers["content-length"];
        this.#streamed = hasBody(req) && !(Number(this.#length) <= maxBufferedBytes);
    }

    /** Whether it can be sent (again) to a backend server. */
    get replayable(): boolean {
        return !this.#streamed || !this.#started;
    }

    /** Whether it can be sent to two backend servers at the same time. */
    get hedgeable(): boolean {
        return !this.#streamed;
    }

    /** Digest of the whole body; undefined until it has been read, or if none was asked for. */
    get digest(): string | undefined {
        return this.#digest;
    }

    /** Reads a small body whole; does nothing for a streamed one. Fails if the caller goes away. */
    async buffer(): Promise<void> {
        if (this.#streamed || this.#buffered) {
            return;
        }
        if (hasBody(this.#req)) {
            this.#buffered = await this.#readAll();
        }
        this.#finishDigest();
    }

    /** Reads a body to its end for its digest alone. */
    async readForDigest(): Promise<void> {
        await this.#read(chunk => this.#hash?.update(chunk));
        this.#finishDigest();
    }

    /** Headers that frame the body towards a backend server. */
    framing(): string[] {
        if (this.#length !== undefined) {
            return ["Content-Length", this.#length];
        }
        return this.#streamed ? ["Transfer-Encoding", "chunked"] : [];
    }

    /** Writes the body to an open request; a streamed one follows the reader's pace. */
    send(out: ClientRequest): void {
        if (!this.#streamed) {
            out.end(this.#buffered);
            return;
        }
        this.#sendContinue();
        this.#started = true;
        const req = this.#req;
        req.on("data", (chunk: Buffer) => {
            this.#hash?.update(chunk);
            if (!out.destroyed && !out.write(chunk)) {
                req.pause();
            }
        });
        out.on("close", () => req.resume());
        out.on("drain", () => req.resume());
        req.on("end", () => this.#finish(out));
    }

    #finish(out: ClientRequest): void {
        this.#finishDigest();
        if (this.#length === undefined && this.#req.rawTrailers.length > 0) {
            out.addTrailers(forwardedTrailers(this.#req.rawTrailers));
        }
        out.end();
    }

    #finishDigest(): void {
        this.#digest = this.#hash?.update(this.#buffered ?? "").digest("base64url");
    }

    #sendContinue(): void {
        if (this.#req.headers.expect !== undefined && !this.#res.headersSent) {
            this.#res.writeContinue();
        }
    }

    #read(take: (chunk: Buffer) => void): Promise<void> {
        this.#sendContinue();
        const req = this.#req;
        return new Promise((resolve, reject) => {
            req.on("data", take);
            req.on("end", resolve);
            req.on("close", () => reject(new CallError("caller-gone")));
        });
    }

    async #readAll(): Promise<Buffer> {
        const chunks: Buffer[] = [];
        await this.#read(chunk => chunks.push(chunk));
        return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
    }
}
