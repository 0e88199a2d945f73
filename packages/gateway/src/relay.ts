/** Relays a server's response to the caller: buffered if it is small, otherwise streamed. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteCollector } from "@bramleymoor/input/collector";
import { GatheredWriter } from "@bramleymoor/input/gatheredwriter";
import { isBodiless } from "@bramleymoor/input/heads";
import { contained } from "@bramleymoor/proxy/contained";
import { endToEndHeaders } from "@bramleymoor/proxy/headers";
import { whenInTurn } from "@bramleymoor/proxy/orderedresponse";
import { breakConnection, losesChunks } from "@bramleymoor/proxy/relay";
import { startTimeout } from "@bramleymoor/proxy/timers";
import { writeResponseHead } from "@bramleymoor/proxy/writtenheads";
import { endArmed, type ExitReset } from "@bramleymoor/reset/exitreset";
import type { BufferBudget } from "./bufferbudget.js";

/** How a relay ended. */
export type RelayResult =
    | "complete"
    /** The server's response broke off before anything was relayed. */
    | "broken-before-start"
    /** The server's response broke off midway; the caller's connection was closed as well. */
    | "broken"
    | "caller-gone";

/** What a relay needs beside the two messages. */
export interface RelayOptions {
    /** Returns whether the server's response was cut off. */
    readonly isBroken: () => boolean;
    /** Resolves to whether the connection of a response that ends with it has ended in order. */
    readonly hasEndedInOrder: () => Promise<boolean>;
    /** Returns whether other requests are pending on the caller's connection, which a response that breaks off midway closes. */
    readonly isPipelined: () => boolean;
    /** Returns whether requests behind this one are pending on the caller's connection. */
    readonly isFollowed: () => boolean;
    /** Bytes that may be buffered of long responses. */
    readonly buffers: BufferBudget;
    /** Has the end of this process reset the connection of a response that ends with it. */
    readonly exitReset: ExitReset;
    /**
     * Resolves to whether the server lives on, so that a response that ended with its connection is whole, and at the latest when
     * the caller has to have the response; undefined if that can't be found out.
     */
    readonly confirmAlive: (() => Promise<boolean>) | undefined;
    /** Called for an error that breaks a response off. */
    readonly onInternalError: (doing: string, err: unknown) => void;
}

/** Relays one response. */
export class Relay {
    readonly #from: IncomingMessage;
    readonly #to: ServerResponse;
    readonly #options: RelayOptions;
    readonly #isFramed: boolean;
    /** Whether the end of the caller's connection is all that ends the response. */
    #endsConnection: boolean;
    /** Resolves when a whole response has been handed to the caller's connection. */
    #sent: Promise<void> = Promise.resolve();
    /** Result of `#proveWhole`, once that has been asked for. */
    #proof: Promise<boolean> | undefined = undefined;

    constructor(from: IncomingMessage, to: ServerResponse, options: RelayOptions) {
        this.#from = from;
        this.#to = to;
        this.#options = options;
        this.#isFramed = isFramed(from, to.req.method ?? "");
        this.#endsConnection = !this.#isFramed || losesChunks(from, to.req);
    }

    /**
     * Relays the response.
     *
     * @param extraHeaders returns the headers that the entry VM adds; called when the head is written
     */
    async run(extraHeaders: () => readonly string[]): Promise<RelayResult> {
        if (declaredLength(this.#from) <= maxBufferedBytes) {
            return await this.#relayBuffered(extraHeaders, () => true);
        }
        const { isPipelined, buffers } = this.#options;
        const holdMs = this.#isFramed ? undefined : unframedHoldMs;
        if (holdMs === undefined && !isPipelined() && this.#canStream()) {
            return await this.#relayStreamed(extraHeaders, []);
        }
        let taken = 0;
        const mayBuffer = (bytes: number): boolean => {
            const mayTake = taken + bytes <= maxLongBufferedBytes && buffers.tryTake(bytes);
            taken += mayTake ? bytes : 0;
            return mayTake;
        };
        try {
            return await this.#relayBuffered(extraHeaders, mayBuffer, holdMs);
        } finally {
            void this.#sent.finally(() => buffers.release(taken));
        }
    }

    /**
     * Writes the head. A response without a length ends with its connection, and can't be told from one whose server has ended
     * midway; so the caller gets it without a length too.
     */
    #writeHead(extraHeaders: () => readonly string[], framing: readonly string[] = []): void {
        if (this.#endsConnection) {
            this.#to.useChunkedEncodingByDefault = false;
            this.#to.shouldKeepAlive = false;
        }
        const { rawHeaders, headers, statusCode } = this.#from;
        const relayed = endToEndHeaders(rawHeaders, headers.connection);
        writeResponseHead(this.#to, statusCode ?? 0, [...relayed, ...framing, ...extraHeaders()]);
    }

    /** Prepares the caller's connection for a response that isn't whole; returns false if the response has to be held back. */
    #canStream(): boolean {
        const { socket } = this.#to;
        return !this.#endsConnection || (!!socket && this.#options.exitReset.arm(socket));
    }

    /**
     * Relays a response once it is complete. Streams it from the first part on that can't be buffered, or when it has been held
     * back for long enough and no other request is pending on the connection: until then it can be replaced.
     *
     * @param mayBuffer returns whether a part of that many bytes may be buffered
     * @param holdMs time after which it is streamed if it can be, in milliseconds; undefined if that isn't to be tried
     */
    #relayBuffered(
        extraHeaders: () => readonly string[],
        mayBuffer: (bytes: number) => boolean,
        holdMs?: number,
    ): Promise<RelayResult> {
        const from = this.#from;
        const body = new ByteCollector();
        return new Promise((resolve, reject) => {
            const streamIfPossible = (): void => {
                if (!this.#options.isPipelined() && this.#canStream()) {
                    stream();
                }
            };
            const fail = (err: unknown): void => {
                removeListeners();
                reject(err instanceof Error ? err : new Error(String(err)));
            };
            const stopHolding =
                holdMs === undefined
                    ? (): void => undefined
                    : startTimeout(holdMs, contained(streamIfPossible, fail));
            const removeListeners = (): void => {
                stopHolding();
                from.off("data", onData).off("end", onEnd).off("error", onBroken).off("close", onBroken);
            };
            const stream = (): void => {
                removeListeners();
                from.pause();
                this.#relayStreamed(extraHeaders, body.blocks).then(resolve, reject);
            };
            const onData = contained((chunk: Buffer) => {
                body.append(chunk);
                if (!mayBuffer(chunk.length)) {
                    stream();
                }
            }, fail);
            const onEnd = (): void => {
                removeListeners();
                this.#whenWhole(contained(onWhole, fail), onBroken);
            };
            const send = (): void => {
                this.#sendWhole(extraHeaders, body.toBuffer());
                resolve(this.#to.destroyed ? "caller-gone" : "complete");
            };
            const onBroken = (): void => {
                stopHolding();
                resolve("broken-before-start");
            };
            const onWhole = (): void => {
                if (!this.#to.socket || this.#canStream()) {
                    send();
                } else {
                    this.#proveWhole()
                        .then(isWhole => (isWhole ? send() : onBroken()))
                        .catch(fail);
                }
            };
            from.on("data", onData).on("end", onEnd).on("error", onBroken).on("close", onBroken);
        });
    }

    /**
     * Resolves to whether a response that has been read to its end is whole, so that it may be given a length or a last chunk.
     * A server that has ended while it responded may have ended its connection in order.
     */
    #proveWhole(): Promise<boolean> {
        const { confirmAlive } = this.#options;
        this.#proof ??= Promise.resolve(this.#isFramed || (confirmAlive?.() ?? false));
        return this.#proof;
    }

    /** Sends a response that has been read to its end. */
    #sendWhole(extraHeaders: () => readonly string[], body: Buffer): void {
        if (this.#endsConnection) {
            this.#sent = this.#sendInTurn(extraHeaders, body).catch((err: unknown) => {
                this.#options.onInternalError("relaying a response", err);
                breakConnection(this.#to);
            });
        } else {
            this.#writeHead(extraHeaders);
            this.#to.end(body);
        }
    }

    /**
     * Sends a whole response that ends with its connection, when its turn has come: only then is it known whether requests that
     * have been passed on follow it, for which the connection has to be kept.
     */
    async #sendInTurn(extraHeaders: () => readonly string[], body: Buffer): Promise<void> {
        const to = this.#to;
        await whenInTurn(to);
        const keepsConnection = (this.#isFramed || this.#options.isFollowed()) && (await this.#proveWhole());
        if (to.destroyed || to.headersSent) {
            return;
        }
        if (!keepsConnection && this.#canStream()) {
            this.#writeHead(extraHeaders);
            to.write(body);
            this.#end();
        } else if (await this.#proveWhole()) {
            this.#endsConnection = false;
            this.#writeHead(extraHeaders, ["Content-Length", String(body.length)]);
            to.end(body);
        } else {
            breakConnection(to);
        }
    }

    /**
     * A response whose turn hasn't come can still be replaced by an error, so its head waits for that.
     *
     * @param begun what has been read of it
     */
    async #relayStreamed(
        extraHeaders: () => readonly string[],
        begun: readonly Buffer[],
    ): Promise<RelayResult> {
        const from = this.#from;
        const to = this.#to;
        if (!to.socket) {
            await whenInTurn(to);
        }
        if (to.destroyed) {
            return "caller-gone";
        }
        if (this.#options.isBroken() || (from.destroyed && !from.complete)) {
            return "broken-before-start";
        }
        if (this.#endsConnection && (this.#keepsConnection || !this.#canStream())) {
            if (!this.#allowsChunks) {
                from.destroy();
                return "broken-before-start";
            }
            this.#endsConnection = false;
        }
        this.#writeHead(extraHeaders);
        begun.forEach(it => to.write(it));
        return await this.#copyRest();
    }

    /** Copies what is still to be read of a response whose head has been written. */
    #copyRest(): Promise<RelayResult> {
        const from = this.#from;
        const to = this.#to;
        return new Promise(resolve => {
            const onBroken = (): void => {
                if (this.#endsConnection) {
                    to.socket?.resetAndDestroy();
                }
                breakConnection(to);
                resolve("broken");
            };
            const fail = (err: unknown): void => {
                this.#options.onInternalError("relaying a response", err);
                onBroken();
            };
            const writer = new GatheredWriter(to, () => from.pause());
            from.on(
                "data",
                contained((chunk: Buffer) => writer.write(chunk), fail),
            );
            from.resume();
            to.on("drain", () => from.resume());
            const end = (): void => {
                writer.flush();
                this.#end(() => resolve("complete"));
            };
            const onWhole = (): void => {
                if (this.#endsConnection || this.#isFramed) {
                    end();
                } else {
                    this.#proveWhole()
                        .then(isWhole => (isWhole ? end() : onBroken()))
                        .catch(fail);
                }
            };
            from.on("end", () => this.#whenWhole(contained(onWhole, fail), onBroken));
            from.on("error", onBroken);
            from.on("close", () => {
                if (!from.complete) {
                    onBroken();
                }
            });
            to.on("close", () => {
                if (!to.writableFinished) {
                    resolve("caller-gone");
                }
            });
        });
    }

    /** Whether a response may be sent in chunks: the caller understands them, and its end can be proved. */
    get #allowsChunks(): boolean {
        return this.#to.req.httpVersion !== "1.0" && this.#options.confirmAlive !== undefined;
    }

    /** Whether the connection is kept for the requests that follow. */
    get #keepsConnection(): boolean {
        return this.#allowsChunks && this.#options.isFollowed();
    }

    /** Ends a response that has been written. */
    #end(onEnd: () => void = () => undefined): void {
        if (this.#endsConnection) {
            endArmed(this.#to, this.#options.exitReset, onEnd);
        } else {
            this.#to.end(onEnd);
        }
    }

    /** Calls one of the functions at the end of the response: at once, unless its connection has to show whether it is whole. */
    #whenWhole(onWhole: () => void, onBroken: () => void): void {
        const { isBroken, hasEndedInOrder } = this.#options;
        if (!this.#from.complete || isBroken()) {
            onBroken();
        } else if (this.#isFramed) {
            onWhole();
        } else {
            void hasEndedInOrder().then(isInOrder => (isInOrder ? onWhole() : onBroken()));
        }
    }
}

/** Returns the length that a response declares, in bytes; Infinity if it declares none. */
const declaredLength = ({ headers }: IncomingMessage): number =>
    Number(headers["content-length"] ?? Infinity);

/**
 * Returns whether the framing of a response marks its end; otherwise it ends when the connection closes.
 *
 * @param method method of the request
 */
export const isFramed = ({ headers, statusCode = 0 }: IncomingMessage, method: string): boolean =>
    method === "HEAD" ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined ||
    isBodiless(statusCode);

/** Responses up to this many bytes are buffered and relayed only when they are complete. */
const maxBufferedBytes = 64 * 1024;
/** Responses beside others on their caller's connection, and those without a length, are buffered up to this many bytes. */
const maxLongBufferedBytes = 1024 * 1024;
/**
 * Time for which a response without a length is held back, so that another server can still be tried if its own ends. Most are
 * whole by then.
 */
const unframedHoldMs = 100;
