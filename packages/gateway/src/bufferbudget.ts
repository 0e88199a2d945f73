/** Bounds the bytes that one process buffers for a purpose. */

/** A number of bytes that several buffers share. */
export class BufferBudget {
    #free: number;

    /** @param bytes size of all buffers together */
    constructor(bytes: number) {
        this.#free = bytes;
    }

    /** Takes bytes; returns false if too few are free. */
    tryTake(bytes: number): boolean {
        if (bytes > this.#free) {
            return false;
        }
        this.#free -= bytes;
        return true;
    }

    /** Gives back bytes that were taken. */
    release(bytes: number): void {
        this.#free += bytes;
    }
}
