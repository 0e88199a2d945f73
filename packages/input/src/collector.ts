/** Collects the chunks of a message. */

/** Keeps chunks in about as much memory as they have bytes: each kept chunk costs as much as a hundred bytes beside its own. */
export class ByteCollector {
    readonly #blocks: Buffer[] = [];
    /** The block that small chunks are copied to, and how much of it is used. */
    #open: Buffer | undefined = undefined;
    #used = 0;
    #bytes = 0;

    /** Number of bytes collected. */
    get bytes(): number {
        return this.#bytes;
    }

    /** The collected bytes, in order. */
    get blocks(): readonly Buffer[] {
        return this.#open ? [...this.#blocks, this.#open.subarray(0, this.#used)] : this.#blocks;
    }

    /** Adds a chunk behind the others. */
    append(chunk: Buffer): void {
        const isFirst = this.#bytes === 0;
        this.#bytes += chunk.length;
        if ((isFirst && !keepsMore(chunk)) || chunk.length >= maxBlockBytes) {
            this.#closeBlock();
            this.#blocks.push(chunk);
            return;
        }
        for (let at = 0; at < chunk.length;) {
            const block = this.#blockWithRoom(chunk.length - at);
            const copied = chunk.copy(block, this.#used, at);
            this.#used += copied;
            at += copied;
        }
    }

    /** Returns the collected bytes as one buffer. */
    toBuffer(): Buffer {
        const { blocks } = this;
        return blocks.length === 1 && blocks[0] ? blocks[0] : Buffer.concat(blocks);
    }

    /** Returns the collected bytes as one buffer, and forgets them. */
    take(): Buffer {
        const buffer = this.toBuffer();
        this.#blocks.length = 0;
        this.#open = undefined;
        this.#used = 0;
        this.#bytes = 0;
        return buffer;
    }

    /** Returns the open block, or a new one for at least a part of `wanted` bytes: each is twice as large as the one before. */
    #blockWithRoom(wanted: number): Buffer {
        if (this.#open && this.#used < this.#open.length) {
            return this.#open;
        }
        const bytes = Math.min(maxBlockBytes, Math.max(wanted, 2 * (this.#open?.length ?? 0), minBlockBytes));
        this.#closeBlock();
        this.#open = Buffer.allocUnsafe(bytes);
        return this.#open;
    }

    #closeBlock(): void {
        if (this.#open) {
            this.#blocks.push(this.#open.subarray(0, this.#used));
            this.#open = undefined;
            this.#used = 0;
        }
    }
}

/** Whether a chunk keeps far more bytes in memory than its own: those that were read with it. */
const keepsMore = ({ length, buffer }: Buffer): boolean =>
    buffer.byteLength - length > Math.max(length, maxKeptBytes);

const minBlockBytes = 128;
/** Chunks of at least this many bytes are kept as they are. */
const maxBlockBytes = 16 * 1024;
/** About a head, which is read with the first chunk of most bodies. */
const maxKeptBytes = 4 * 1024;
