/** Copies a body to another stream. */

import type { Writable } from "node:stream";
import { ByteCollector } from "./collector.js";

/** Writes the chunks that are read at the same time together, as a write costs much more than a small chunk. */
export class GatheredWriter {
    readonly #to: Pick<Writable, "write" | "destroyed">;
    readonly #onFull: () => void;
    readonly #gathered = new ByteCollector();
    #isScheduled = false;

    /** @param onFull called when `to` wants no more until its next "drain" */
    constructor(to: Pick<Writable, "write" | "destroyed">, onFull: () => void) {
        this.#to = to;
        this.#onFull = onFull;
    }

    /** Writes a chunk, at the latest when the present read has been handled. */
    write(chunk: Buffer): void {
        if (chunk.length >= largeChunkBytes) {
            this.flush();
            this.#writeNow(chunk);
            return;
        }
        this.#gathered.append(chunk);
        if (this.#gathered.bytes >= maxGatheredBytes) {
            this.flush();
        } else if (!this.#isScheduled) {
            this.#isScheduled = true;
            process.nextTick(() => this.flush());
        }
    }

    /** Writes what has been gathered; to be called before the stream is ended. */
    flush(): void {
        this.#isScheduled = false;
        if (this.#gathered.bytes > 0) {
            this.#writeNow(this.#gathered.take());
        }
    }

    #writeNow(chunk: Buffer): void {
        if (!this.#to.destroyed && !this.#to.write(chunk)) {
            this.#onFull();
        }
    }
}

/** A chunk of at least this many bytes is written by itself. */
const largeChunkBytes = 4 * 1024;
/** Node reads at most this many bytes at a time. */
const maxGatheredBytes = 64 * 1024;
