/** Responses that are held back until their turn on a pipelining caller's connection. */

import { ServerResponse } from "node:http";

/**
 * A response whose body is kept out of Node's queue until all earlier responses of its connection have been sent. Node
 * stops reading a connection while its queue holds more than 16 kB, and then doesn't see the caller's disconnect.
 */
export class OrderedResponse extends ServerResponse {
    /** Writes to make once it is this response's turn; undefined if nothing is held back. */
    #held: (() => boolean)[] | undefined = undefined;
    #heldBytes = 0;
    #endHeld = false;
    #needsDrain = false;
    #onHeldChange: (bytes: number) => void = () => undefined;

    /** Whether `end` has been called, also if the end is held back. */
    get isEnded(): boolean {
        return this.#endHeld || this.writableEnded;
    }

    /** Calls `onChange` with the difference each time that the number of bytes held back changes. */
    trackHeldBytes(onChange: (bytes: number) => void): void {
        this.#onHeldChange = onChange;
    }

    override write(chunk: unknown, encoding?: unknown, callback?: unknown): boolean {
        // Node's type of the callback has null.
        const write = (): boolean =>
            super.write(chunk, encoding as BufferEncoding, callback as (err?: Error | null) => void);
        if (!this.#mustHold()) {
            return write();
        }
        this.#hold(write, chunk);
        this.#needsDrain ||= this.#heldBytes >= maxHeldBytes;
        return !this.#needsDrain;
    }

    override end(chunk?: unknown, encoding?: unknown, callback?: unknown): this {
        const end = (): this => super.end(chunk, encoding as BufferEncoding, callback as () => void);
        if (!this.#mustHold()) {
            return end();
        }
        this.#endHeld = true;
        this.#hold(() => end().writableEnded, chunk);
        return this;
    }

    /** Drops what is held back, as the connection has closed. */
    discardHeld(): void {
        this.#held = undefined;
        this.#addHeldBytes(-this.#heldBytes);
    }

    #mustHold(): boolean {
        return this.#held !== undefined || !(this.socket || this.destroyed || this.writableEnded);
    }

    #hold(write: () => boolean, chunk: unknown): void {
        if (!this.#held) {
            this.#held = [];
            this.once("socket", () => process.nextTick(() => this.#release()));
        }
        this.#held.push(write);
        this.#addHeldBytes(byteLength(chunk));
    }

    #release(): void {
        const writes = this.#held ?? [];
        this.discardHeld();
        const accepted = writes.map(write => write()).at(-1);
        if (this.#needsDrain && !this.#endHeld && accepted) {
            this.emit("drain");
        }
    }

    #addHeldBytes(bytes: number): void {
        this.#heldBytes += bytes;
        this.#onHeldChange(bytes);
    }
}

/** Resolves when it is a response's turn on its connection, or that has closed. */
export const whenInTurn = (res: ServerResponse): Promise<void> =>
    new Promise(resolve => {
        if (res.socket || res.destroyed) {
            resolve();
            return;
        }
        res.once("socket", () => resolve());
        res.once("close", () => resolve());
    });

/** Bytes that a response takes before its turn comes; a server's connection isn't kept waiting for less. */
const maxHeldBytes = 64 * 1024;

const byteLength = (chunk: unknown): number =>
    typeof chunk === "string" || chunk instanceof Uint8Array ? Buffer.byteLength(chunk) : 0;
