/** Terminal output: results go to standard output, progress and errors to standard error. */

import { styleText } from "node:util";

/** Standard output or standard error. */
export interface OutputStream {
    readonly isTTY?: boolean | undefined;
    write(text: string): unknown;
}

/** Meaning of a piece of text, shown by its colour. */
export type Style = "good" | "warn" | "bad" | "faint";

/** Writes results, progress and errors. Colours and in-place progress lines are used only on a terminal. */
export class Terminal {
    readonly #out: OutputStream;
    readonly #err: OutputStream;
    readonly #colour: boolean;
    #progress = "";

    /**
     * @param out standard output
     * @param err standard error
     * @param env environment variables; NO_COLOR turns colours off
     */
    constructor(out: OutputStream, err: OutputStream, env: Readonly<Record<string, string | undefined>>) {
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

    /** Shows progress: one line updated in place on a terminal, otherwise a new line for each change. */
    progress(text: string): void {
        if (text === this.#progress) {
            return;
        }
        this.#progress = text;
        this.#err.write(this.#err.isTTY ? `\r\u001b[K${text}` : `${text}\n`);
    }

    /** Clears the progress line. */
    endProgress(): void {
        if (this.#progress !== "" && this.#err.isTTY) {
            this.#err.write("\r\u001b[K");
        }
        this.#progress = "";
    }

    /** Colours a text if standard output is a terminal and NO_COLOR is not set. */
    style(style: Style, text: string): string {
        return this.#colour ? styleText(colours[style], text, { validateStream: false }) : text;
    }
}

const colours = { good: "green", warn: "yellow", bad: "red", faint: "gray" } as const;

/** Formats rows as aligned columns; the first row is the header. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
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

/** Formats a count with its noun: "1 server", "2 servers". */
export const formatCount = (count: number, noun: string): string =>
    `${count} ${noun}${count === 1 ? "" : "s"}`;
