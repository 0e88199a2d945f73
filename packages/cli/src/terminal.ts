/** What the program writes: results to standard output, progress and errors to standard error. */

import { styleText } from "node:util";

/** One of the two streams that a program writes to. */
export interface Sink {
    readonly isTTY?: boolean | undefined;
    write(text: string): unknown;
}

/** A colour with a meaning. */
export type Tone = "good" | "warn" | "bad" | "faint";

/** Writes results, progress and errors; colour and rewriting lines only on a terminal. */
export class Terminal {
    readonly #out: Sink;
    readonly #err: Sink;
    readonly #colour: boolean;
    #progress = "";

    /**
     * @param out standard output
     * @param err standard error
     * @param env environment; NO_COLOR is looked up in it
     */
    constructor(out: Sink, err: Sink, env: Readonly<Record<string, string | undefined>>) {
        this.#out = out;
        this.#err = err;
        this.#colour = out.isTTY === true && !env["NO_COLOR"];
    }

    /** Writes one or more lines of the result. */
    print(text: string): void {
        this.endProgress();
        this.#out.write(`${text}\n`);
    }

    /** Writes one or more lines that aren't part of the result. */
    warn(text: string): void {
        this.endProgress();
        this.#err.write(`${text}\n`);
    }

    /** Shows what is being waited for: in place on a terminal, otherwise a line for each change. */
    progress(text: string): void {
        if (text === this.#progress) {
            return;
        }
        this.#progress = text;
        this.#err.write(this.#err.isTTY ? `\r\u001b[K${text}` : `${text}\n`);
    }

    /** Takes the progress line away. */
    endProgress(): void {
        if (this.#progress !== "" && this.#err.isTTY) {
            this.#err.write("\r\u001b[K");
        }
        this.#progress = "";
    }

    /** Colours a text if standard output is a terminal. */
    tone(tone: Tone, text: string): string {
        return this.#colour ? styleText(styles[tone], text, { validateStream: false }) : text;
    }
}

const styles = { good: "green", warn: "yellow", bad: "red", faint: "gray" } as const;

/** Lays rows out in columns; the first row is the head. */
export const table = (rows: readonly (readonly string[])[]): string => {
    const widths: number[] = [];
    for (const row of rows) {
        row.forEach((cell, column) => {
            widths[column] = Math.max(widths[column] ?? 0, cell.length);
        });
    }
    const line = (row: readonly string[]): string =>
        row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ");
    return rows.map(row => line(row).trimEnd()).join("\n");
};

/** A count with its noun: "1 server", "2 servers". */
export const counted = (count: number, noun: string): string => `${count} ${noun}${count === 1 ? "" : "s"}`;
