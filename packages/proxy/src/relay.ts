/** Streams an answer to a caller at the caller's pace. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { forwardedTrailers } from "./headers.js";
import type { Timer, TimerSet } from "./timers.js";

/** How a relay ended. */
export type RelayEnd = "whole" | "broken" | "caller-gone";

/** Collects a small answer's body for the at-most-once table. */
export class BodyCapture {
    readonly #maxBytes: number;
    #chunks: Buffer[] | undefined = [];
    #bytes = 0;

    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** The whole body; undefined if it is too large. */
    get body(): Uint8Array | undefined {
        return this.#chunks && Buffer.concat(this.#chunks);
    }

    /** Whether everything so far is held. */
    get isComplete(): boolean {
        return this.#chunks !== undefined;
    }

    /** Takes the next part; false once the body has grown too large. */
    add(chunk: Buffer): boolean {
        this.#bytes += chunk.length;
        if (this.#bytes > this.#maxBytes) {
            this.#chunks = undefined;
        }
        this.#chunks?.push(chunk);
        return this.#chunks !== undefined;
    }
}

/** How long a server may send nothing in the middle of an answer. */
export interface StallLimit {
    readonly timers: TimerSet;
    readonly clock: () => number;
    /** Time without a byte while the caller is ready to read, in milliseconds. */
    readonly stallMs: number;
}

/** Copies one answer. */
export class Relay {
    readonly #from: IncomingMessage;
    readonly #to: ServerResponse;
    readonly #capture: BodyCapture | undefined;
    readonly #limit: StallLimit;
    readonly #stallTimer: Timer;
    #resolve: (end: RelayEnd) => void = () => undefined;
    #bytes = 0;

    /** @param keep goes on reading for the table when the caller has gone */
    constructor(from: IncomingMessage, to: ServerResponse, keep: BodyCapture | undefined, limit: StallLimit) {
        this.#from = from;
        this.#to = to;
        this.#capture = keep;
        this.#limit = limit;
        this.#stallTimer = limit.timers.schedule(limit.clock() + limit.stallMs, () => this.#handleBreak());
    }

    /** Body bytes copied so far. */
    get bytes(): number {
        return this.#bytes;
    }

    /**
     * Copies until the last byte has been handed over or either side has gone. When the answer breaks off or
     * stalls, the caller's connection is broken too, so that a short body never looks complete.
     */
    async run(status: number, headers: string[]): Promise<RelayEnd> {
        try {
            return await this.#copyAll(status, headers);
        } finally {
            this.#limit.timers.cancel(this.#stallTimer);
        }
    }

    #copyAll(status: number, headers: string[]): Promise<RelayEnd> {
        return new Promise(resolve => {
            this.#resolve = resolve;
            this.#attachListeners();
            if (!this.#to.destroyed) {
                this.#to.writeHead(status, headers);
            }
            this.#from.on("data", (chunk: Buffer) => this.#copy(chunk));
        });
    }

    #attachListeners(): void {
        const from = this.#from;
        const to = this.#to;
        from.on("end", () => this.#handleEnd());
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
        const kept = this.#capture?.add(chunk) ?? false;
        if (this.#to.destroyed) {
            if (!kept) {
                this.#resolve("caller-gone");
            }
            return;
        }
        if (!this.#to.write(chunk)) {
            this.#pause();
        }
    }

    #resetStallTimer(): void {
        this.#stallTimer.dueAt = this.#limit.clock() + this.#limit.stallMs;
    }

    /** Waits for the caller, which isn't held against the server. */
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
        this.#to.end();
        this.#resolve("whole");
    }

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

/** Breaks a caller's connection so that it notices; HTTP/1.0 takes a plain end for the body's end. */
const breakConnection = (to: ServerResponse): void => {
    if (to.req.httpVersion === "1.0") {
        to.socket?.resetAndDestroy();
    }
    to.destroy();
};
