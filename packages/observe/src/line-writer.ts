/** Writes log lines to a file descriptor without ever blocking; what doesn't fit is counted and told. */

import { write } from "node:fs";

/** Bounds of a line writer. */
export interface LineWriterOptions {
    /** Lines that wait to be written at most. */
    readonly maxPendingLines: number;
    /** Time for which lines are gathered before they are written, in milliseconds. */
    readonly flushDelayMs: number;
}

/** Bounds that suit a small VM. */
export const defaultLineWriterOptions: LineWriterOptions = { maxPendingLines: 2_000, flushDelayMs: 100 };

/** Gathers lines and writes them in the background. */
export class LineWriter {
    readonly #fd: number;
    readonly #bounds: LineWriterOptions;
    #lines: string[] = [];
    #dropped = 0;
    #busy = false;
    #timer: NodeJS.Timeout | undefined = undefined;

    constructor(fd: number, bounds: LineWriterOptions = defaultLineWriterOptions) {
        this.#fd = fd;
        this.#bounds = bounds;
    }

    /** Lines dropped since the start. */
    get dropped(): number {
        return this.#dropped;
    }

    /** Takes one line without its line feed. */
    write(line: string): void {
        if (this.#lines.length >= this.#bounds.maxPendingLines) {
            this.#dropped++;
            return;
        }
        this.#lines.push(line);
        this.#timer ??= setTimeout(() => this.#flush(), this.#bounds.flushDelayMs).unref();
    }

    /** Writes what is waiting; resolves when it is out or can't be written. */
    async end(): Promise<void> {
        clearTimeout(this.#timer);
        while (this.#busy) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        await new Promise<void>(resolve => this.#send(resolve));
    }

    #flush(): void {
        this.#timer = undefined;
        if (!this.#busy) {
            this.#send(() => undefined);
        }
    }

    #send(done: () => void): void {
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
        this.#busy = true;
        write(this.#fd, data, (err, written) => {
            this.#busy = false;
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
                this.#timer ??= setTimeout(() => this.#flush(), this.#bounds.flushDelayMs).unref();
            }
        });
    }
}
