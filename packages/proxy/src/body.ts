/** A caller's request body: absent, buffered if it is small, or else streamed once. */

import { createHash, type Hash } from "node:crypto";
import type { ClientRequest, IncomingMessage, ServerResponse } from "node:http";
import { ByteCollector } from "@bramleymoor/input/collector";
import { GatheredWriter } from "@bramleymoor/input/gatheredwriter";
import { CallError } from "@bramleymoor/protocol/errors";
import { hasBody } from "./request.js";
import { forwardedTrailers } from "./headers.js";

/** Bodies up to this size are buffered before the call is queued, so they can be sent again. */
export const maxBufferedBytes = 16_384;

/** The body of one call. */
export class RequestBody {
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #hash: Hash | undefined;
    readonly #length: string | undefined;
    readonly #streamed: boolean;
    #buffered: Buffer | undefined = undefined;
    #started = false;
    #digest: string | undefined = undefined;

    /** @param digestPrefix text that the digest covers before the body; undefined for no digest */
    constructor(req: IncomingMessage, res: ServerResponse, digestPrefix: string | undefined) {
        this.#req = req;
        this.#res = res;
        this.#hash =
            digestPrefix === undefined ? undefined : createHash("sha256").update(digestPrefix).update("\n");
        this.#length = req.headers["content-length"];
        this.#streamed = hasBody(req) && !(Number(this.#length) <= maxBufferedBytes);
    }

    /** Whether the body can be sent (again). */
    get replayable(): boolean {
        return !this.#streamed || !this.#started;
    }

    /** Whether the body can be sent to two backend servers at the same time. */
    get hedgeable(): boolean {
        return !this.#streamed;
    }

    /** SHA-256 digest of the prefix and the body, as base64url; undefined until the body is read, or if disabled. */
    get digest(): string | undefined {
        return this.#digest;
    }

    /** Buffers a small body; does nothing for a streamed one. Rejects with caller-gone if the caller disconnects. */
    async buffer(): Promise<void> {
        if (this.#streamed || this.#buffered) {
            return;
        }
        if (hasBody(this.#req)) {
            this.#buffered = await this.#readAll();
        }
        this.#finishDigest();
    }

    /** Reads the body to its end and keeps only its digest. */
    async readForDigest(): Promise<void> {
        await this.#read(chunk => this.#hash?.update(chunk));
        this.#finishDigest();
    }

    /** Returns the framing headers of the outgoing request. */
    framingHeaders(): string[] {
        if (this.#length !== undefined) {
            return ["Content-Length", this.#length];
        }
        return this.#streamed ? ["Transfer-Encoding", "chunked"] : [];
    }

    /** Writes the body to `out` and ends it; a streamed body respects backpressure. */
    writeTo(out: ClientRequest): void {
        if (!this.#streamed) {
            out.end(this.#buffered);
            return;
        }
        this.#sendContinue();
        this.#started = true;
        const req = this.#req;
        const writer = new GatheredWriter(out, () => req.pause());
        req.on("data", (chunk: Buffer) => {
            this.#hash?.update(chunk);
            writer.write(chunk);
        });
        out.on("close", () => req.resume());
        out.on("drain", () => req.resume());
        req.on("end", () => {
            writer.flush();
            this.#finish(out);
        });
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

    #read(onData: (chunk: Buffer) => void): Promise<void> {
        this.#sendContinue();
        const req = this.#req;
        return new Promise((resolve, reject) => {
            req.on("data", onData);
            req.on("end", resolve);
            req.on("close", () => reject(new CallError("caller-gone")));
        });
    }

    async #readAll(): Promise<Buffer> {
        const body = new ByteCollector();
        await this.#read(chunk => body.append(chunk));
        return body.toBuffer();
    }
}
