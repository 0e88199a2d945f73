/** Writes log lines to a file descriptor without blocking, and counts the lines that it drops. */

import { write } from "node:fs";

/** Options of a line writer. */
export interface LineWriterOptions {
    /** Maximum number of buffered lines; further lines are dropped. */
    readonly maxPendingLines: number;
    /** Time for which lines are buffered before they are written, in milliseconds. */
    readonly flushDelayMs: number;
}

/** Default options, suitable for a small VM. */
export const defaultLineWriterOptions: LineWriterOptions = { maxPendingLines: 2_000, flushDelayMs: 100 };

/** Buffers lines and writes them in the background. */
export class LineWriter {
    readonly #fd: number;
    readonly #options: LineWriterOptions;
    #lines: string[] = [];
    #dropped = 0;
    #writing = false;
    #timer: NodeJS.Timeout | undefined = undefined;

    constructor(fd: number, options: LineWriterOptions = defaultLineWriterOptions) {
        this.#fd = fd;
        this.#options = options;
    }

    /** Number of lines dropped since the start. */
    get dropped(): number {
        return this.#dropped;
    }

    /** Buffers one line, which is passed without a line feed; drops it if the buffer is full. */
    write(line: string): void {
        if (this.#lines.length >= this.#options.maxPendingLines) {
            this.#dropped++;
            return;
        }
        this.#lines.push(line);
        this.#timer ??= setTimeout(() => this.#flush(), this.#options.flushDelayMs).unref();
    }

    /** Writes the buffered lines; resolves when they are written or writing has failed. */
    async end(): Promise<void> {
        clearTimeout(this.#timer);
        while (this.#writing) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        await new Promise<void>(resolve => this.#writeBuffer(resolve));
    }

    #flush(): void {
        this.#timer = undefined;
        if (!this.#writing) {
            this.#writeBuffer(() => undefined);
        }
    }

    #writeBuffer(done: () => void): void {
        const text = this.#lines.map(it => `${it}\n`).join("");
        const count = this.#lines.length;
        this.#lines = [];
        this.#writeAll(Buffer.from(text), count, done);
    }

    #writeAll(data: Buffer, count: number, done: () => void): void {
        if (data.length === 0) {
            done();
            return;
        }
        this.#writing = true;
        write(this.#fd, data, (err, written) => {
            this.#writing = false;
            if (err) {
                this.#dropped += count;
                done();
            } else if (written < data.length) {
                this.#writeAll(data.subarray(written), count, done);
                return;
            } else {
                done();
            }
            if (this.#lines.length > 0) {
                this.#timer ??= setTimeout(() => this.#flush(), this.#options.flushDelayMs).unref();
            }
        });
    }
}
