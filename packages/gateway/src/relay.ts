/** Passes a server's answer on to the caller: whole if it is small, else as it comes. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { endToEndHeaders } from "@bramleymoor/proxy/headers";

/** How passing an answer on ended. */
export type RelayResult =
    | "whole"
    /** The server broke off before anything was passed on. */
    | "broken-unseen"
    /** The server broke off midway; the caller's connection was broken too. */
    | "broken"
    | "caller-gone";

/** Passes one answer on. */
export class Relay {
    readonly #from: IncomingMessage;
    readonly #to: ServerResponse;
    readonly #wasReset: () => boolean;

    /** @param wasReset whether the server's connection was reset */
    constructor(from: IncomingMessage, to: ServerResponse, wasReset: () => boolean) {
        this.#from = from;
        this.#to = to;
        this.#wasReset = wasReset;
    }

    /** @param extra headers of the entry VM's own, asked for when the head is written */
    async run(extra: () => readonly string[]): Promise<RelayResult> {
        return isSmall(this.#from) ? await this.#whole(extra) : await this.#stream(extra);
    }

    #whole(extra: () => readonly string[]): Promise<RelayResult> {
        const chunks: Buffer[] = [];
        return new Promise(resolve => {
            this.#from.on("data", (chunk: Buffer) => chunks.push(chunk));
            this.#from.on("end", () => {
                if (!this.#from.complete || this.#wasReset()) {
                    resolve("broken-unseen");
                    return;
                }
                const body = Buffer.concat(chunks);
                this.#to.writeHead(this.#from.statusCode ?? 0, this.#headers(extra));
                this.#to.end(body);
                resolve(this.#to.destroyed ? "caller-gone" : "whole");
            });
            this.#from.on("error", () => resolve("broken-unseen"));
            this.#from.on("close", () => resolve("broken-unseen"));
        });
    }

    #stream(extra: () => readonly string[]): Promise<RelayResult> {
        const from = this.#from;
        const to = this.#to;
        if (!isFramed(from)) {
            // Its end can't be told from a break, so the caller must get it the same way, not in whole chunks.
            to.useChunkedEncodingByDefault = false;
            to.shouldKeepAlive = false;
        }
        to.writeHead(from.statusCode ?? 0, this.#headers(extra));
        return new Promise(resolve => {
            const broke = (): void => {
                if (isFramed(from)) {
                    to.destroy();
                } else {
                    to.socket?.resetAndDestroy();
                }
                resolve("broken");
            };
            from.on("data", (chunk: Buffer) => {
                if (!to.write(chunk)) {
                    from.pause();
                }
            });
            to.on("drain", () => from.resume());
            from.on("end", () => {
                if (!from.complete || this.#wasReset()) {
                    broke();
                    return;
                }
                to.end(() => resolve("whole"));
            });
            from.on("error", broke);
            from.on("close", () => {
                if (!from.complete) {
                    broke();
                }
            });
            to.on("close", () => {
                if (!to.writableFinished) {
                    resolve("caller-gone");
                }
            });
        });
    }

    #headers(extra: () => readonly string[]): string[] {
        const { rawHeaders, headers } = this.#from;
        return [...endToEndHeaders(rawHeaders, headers.connection, noNames), ...extra()];
    }
}

/** Whether an answer's length is told; otherwise it ends with its connection. */
const isFramed = ({ headers }: IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

const isSmall = (from: IncomingMessage): boolean => {
    const length = from.headers["content-length"];
    return length !== undefined && Number(length) <= wholeBytes;
};

const noNames: ReadonlySet<string> = new Set();

/** Answers up to so many bytes are passed on only when they are whole. */
const wholeBytes = 64 * 1024;
