/** Streams a response to a caller with backpressure. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteCollector } from "@bramleymoor/input/collector";
import { GatheredWriter } from "@bramleymoor/input/gatheredwriter";
import { endArmed, type ExitReset } from "@bramleymoor/reset/exitreset";
import { contained } from "./contained.js";
import { forwardedTrailers } from "./headers.js";
import type { Timer, TimerSet } from "./timers.js";
import { writeResponseHead } from "./writtenheads.js";

/** How a relay ended; "broken" if the response was truncated or stalled. */
export type RelayResult = "complete" | "broken" | "caller-gone";

/** Captures a small response body for the at-most-once table. */
export class BodyCapture {
    readonly #maxBytes: number;
    #body: ByteCollector | undefined = new ByteCollector();

    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** The captured body; undefined if it is too large. */
    get body(): Uint8Array | undefined {
        return this.#body?.toBuffer();
    }

    /** Whether the body so far is within the limit. */
    get isComplete(): boolean {
        return this.#body !== undefined;
    }

    /** Appends a chunk; returns false once the body exceeds the limit. */
    add(chunk: Buffer): boolean {
        this.#body?.append(chunk);
        if (this.#body && this.#body.bytes > this.#maxBytes) {
            this.#body = undefined;
        }
        return this.#body !== undefined;
    }
}

/** Limits how long a server may pause in the middle of a response. */
export interface StallLimit {
    readonly timers: TimerSet;
    readonly clock: () => number;
    /** Maximum time between chunks while the caller is reading, in milliseconds. */
    readonly stallMs: number;
}

/** Relays one response. */
export class Relay {
    readonly #from: IncomingMessage;
    readonly #to: ServerResponse;
    readonly #capture: BodyCapture | undefined;
    readonly #limit: StallLimit;
    readonly #stallTimer: Timer;
    readonly #writer: GatheredWriter;
    readonly #exitReset: ExitReset;
    /** Whether the end of the caller's connection is all that ends the response. */
    readonly #endsConnection: boolean;
    /** The body, while it has to be whole before anything is sent of it; undefined if it is streamed. */
    #held: ByteCollector | undefined = undefined;
    #sendHead: (framing: readonly string[]) => void = () => undefined;
    #resolve: (result: RelayResult) => void = () => undefined;
    #reject: (err: Error) => void = () => undefined;
    #bytes = 0;

    /**
     * @param capture if set, reading continues after the caller has disconnected, to store the response
     * @param exitReset has the end of this process reset the connection of a response that ends with it
     */
    constructor(
        from: IncomingMessage,
        to: ServerResponse,
        capture: BodyCapture | undefined,
        limit: StallLimit,
        exitReset: ExitReset,
    ) {
        this.#from = from;
        this.#to = to;
        this.#capture = capture;
        this.#limit = limit;
        this.#exitReset = exitReset;
        this.#endsConnection = losesChunks(from, to.req);
        this.#writer = new GatheredWriter(to, () => this.#pause());
        this.#stallTimer = limit.timers.schedule(limit.clock() + limit.stallMs, () => this.#handleBreak());
    }

    /** Number of body bytes relayed so far. */
    get bytes(): number {
        return this.#bytes;
    }

    /**
     * Relays until the last byte has been written or either side has disconnected. If the response is truncated or
     * stalls, the caller's connection is closed too, so that a truncated body never looks complete. Rejects at an error that is
     * neither side's.
     */
    async run(status: number, headers: string[]): Promise<RelayResult> {
        try {
            return await this.#copyAll(status, headers);
        } finally {
            this.#limit.timers.cancel(this.#stallTimer);
        }
    }

    #copyAll(status: number, headers: string[]): Promise<RelayResult> {
        return new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
            this.#attachListeners();
            this.#sendHead = framing => {
                if (!this.#to.destroyed) {
                    writeResponseHead(this.#to, status, [...headers, ...framing]);
                }
            };
            const { socket } = this.#to;
            if (this.#endsConnection && !(socket && this.#exitReset.arm(socket))) {
                this.#held = new ByteCollector();
            } else {
                this.#sendHead([]);
            }
            this.#from.on(
                "data",
                contained((chunk: Buffer) => this.#copy(chunk), this.#breakOff),
            );
        });
    }

    #attachListeners(): void {
        const from = this.#from;
        const to = this.#to;
        from.on(
            "end",
            contained(() => this.#handleEnd(), this.#breakOff),
        );
        from.on("error", () => this.#handleBreak());
        from.on("close", () => this.#handleBreak());
        to.on("drain", () => this.#resume());
        to.on("close", () => this.#handleCallerGone());
        if (to.destroyed) {
            this.#handleCallerGone();
        }
    }

    #copy(chunk: Buffer): void {
        this.#bytes += chunk.length;
        this.#resetStallTimer();
        const captured = this.#capture?.add(chunk) ?? false;
        if (this.#to.destroyed) {
            if (!captured) {
                this.#resolve("caller-gone");
            }
            return;
        }
        if (this.#held) {
            this.#hold(this.#held, chunk);
        } else {
            this.#writer.write(chunk);
        }
    }

    /** Keeps a part of a response that has to be whole before it is sent; one that is too long for that is broken off. */
    #hold(held: ByteCollector, chunk: Buffer): void {
        held.append(chunk);
        if (held.bytes > maxHeldBytes) {
            this.#from.destroy();
            this.#handleBreak();
        }
    }

    #resetStallTimer(): void {
        this.#stallTimer.dueAt = this.#limit.clock() + this.#limit.stallMs;
    }

    /** Pauses for a slow caller; the stall limit doesn't apply meanwhile. */
    #pause(): void {
        this.#stallTimer.dueAt = Infinity;
        this.#from.pause();
    }

    #resume(): void {
        this.#resetStallTimer();
        this.#from.resume();
    }

    #handleEnd(): void {
        if (!this.#from.complete) {
            this.#handleBreak();
            return;
        }
        if (this.#from.rawTrailers.length > 0 && this.#to.chunkedEncoding) {
            this.#to.addTrailers(forwardedTrailers(this.#from.rawTrailers));
        }
        this.#writer.flush();
        if (this.#held) {
            this.#sendHead(["Content-Length", String(this.#held.bytes)]);
            this.#to.end(this.#held.toBuffer());
        } else if (this.#endsConnection) {
            endArmed(this.#to, this.#exitReset);
        } else {
            this.#to.end();
        }
        this.#resolve("complete");
    }

    /** Closes the connection of a response that an error keeps from being sent to its end. */
    readonly #breakOff = (err: unknown): void => {
        breakConnection(this.#to);
        this.#reject(err instanceof Error ? err : new Error(String(err)));
    };

    #handleBreak(): void {
        if (!this.#from.complete) {
            breakConnection(this.#to);
            this.#resolve("broken");
        }
    }

    #handleCallerGone(): void {
        if (!this.#to.writableFinished && !this.#capture?.isComplete) {
            this.#resolve("caller-gone");
            return;
        }
        this.#resume();
    }
}

/** Returns whether a response in chunks ends with its caller's connection instead: one of HTTP/1.0 doesn't understand them. */
export const losesChunks = ({ headers }: IncomingMessage, { httpVersion }: IncomingMessage): boolean =>
    httpVersion === "1.0" && headers["transfer-encoding"] !== undefined;

/** Breaks a caller's connection so that it detects the truncation; in HTTP/1.0, a normal close would end the body. */
export const breakConnection = (to: ServerResponse): void => {
    if (to.req.httpVersion === "1.0") {
        to.socket?.resetAndDestroy();
    }
    to.destroy();
};

/** Bytes up to which a response is held until it is whole, where a connection can't be set to be reset. */
const maxHeldBytes = 1024 * 1024;
