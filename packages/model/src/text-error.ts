/** Errors in a text written by hand: what stands where, what is wanted, and how to mend it. */

/** One error in a text. */
export interface TextError {
    /** 1-based line. */
    readonly line: number;
    /** What stands there, safe to print. */
    readonly read: string;
    readonly wanted: string;
    /** What to do about it, as one sentence. */
    readonly mend: string;
    /** The whole error as one line for the reader. */
    readonly message: string;
}

/** Thrown where a text must be right and isn't; carries every error found. */
export class InvalidTextError extends Error {
    /**
     * @param errors at least one
     */
    constructor(readonly errors: readonly TextError[]) {
        super(errors.map(err => err.message).join("\n"));
        this.name = "InvalidTextError";
    }
}

/** Longest piece of the text that an error repeats, in characters. */
const maxQuotedLength = 80;

const unprintable = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/gu;

const escapeCharacter = (character: string): string =>
    `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;

/** Makes a piece of untrusted text safe to print: bounded, with control characters escaped. */
export const printable = (text: string): string => {
    const cut = text.length > maxQuotedLength ? `${text.slice(0, maxQuotedLength)}...` : text;
    return cut.replace(unprintable, escapeCharacter);
};

/** Builds an error. */
export const textError = (line: number, read: string, wanted: string, mend: string): TextError => {
    const shown = printable(read);
    const message = `line ${line}: read "${shown}"; wanted ${wanted}. ${mend}`;
    return { line, read: shown, wanted, mend, message };
};

/** Formats an error of a settings file as "file:line: ...". */
export const formatError = (file: string, error: TextError): string =>
    `${file}:${error.line}: read "${error.read}"; wanted ${error.wanted}. ${error.mend}`;

const editDistance = (a: string, b: string): number => {
    let above = Array.from({ length: b.length + 1 }, (_, index) => index);
    for (let i = 1; i <= a.length; i++) {
        const row = [i];
        for (let j = 1; j <= b.length; j++) {
            const swap = (above[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
            row.push(Math.min(swap, (above[j] ?? 0) + 1, (row[j - 1] ?? 0) + 1));
        }
        above = row;
    }
    return above[b.length] ?? 0;
};

/** Finds the candidate that a misspelt word most likely means; undefined if none is near. */
export const nearest = (word: string, candidates: Iterable<string>): string | undefined => {
    const limit = Math.max(2, Math.ceil(word.length / 3));
    const read = word.slice(0, maxQuotedLength).toLowerCase();
    let best: string | undefined;
    let bestDistance = limit + 1;
    for (const candidate of candidates) {
        const distance = editDistance(read, candidate.toLowerCase());
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
};

/** The sentence that mends an unknown word: the nearest candidate, or what to do without one. */
export const suggest = (word: string, candidates: Iterable<string>, otherwise: string): string => {
    const candidate = nearest(word, candidates);
    return candidate === undefined ? otherwise : `Did you mean "${candidate}"?`;
};
