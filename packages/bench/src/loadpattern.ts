/** Body contents in which every byte is determined by the request's id and the byte's offset. */

import { createHash } from "node:crypto";

/** Generates and checks the body of one request id. */
export class BodyPattern {
    readonly #block: Buffer;

    /** @param id the request's id */
    constructor(id: string) {
        this.#block = Buffer.concat(
            [0, 1, 2, 3].map(part => createHash("sha512").update(`${part} ${id}`).digest()),
        );
    }

    /** Returns `length` bytes of the body from `offset` on. */
    bytes(offset: number, length: number): Buffer {
        const out = Buffer.allocUnsafe(length);
        let filled = 0;
        while (filled < length) {
            const from = (offset + filled) % this.#block.length;
            filled += this.#block.copy(
                out,
                filled,
                from,
                Math.min(this.#block.length, from + length - filled),
            );
        }
        return out;
    }

    /** Tells whether `chunk` is the part of the body at `offset`. */
    matches(offset: number, chunk: Buffer): boolean {
        let checked = 0;
        while (checked < chunk.length) {
            const from = (offset + checked) % this.#block.length;
            const length = Math.min(this.#block.length - from, chunk.length - checked);
            if (this.#block.compare(chunk, checked, checked + length, from, from + length) !== 0) {
                return false;
            }
            checked += length;
        }
        return true;
    }
}
