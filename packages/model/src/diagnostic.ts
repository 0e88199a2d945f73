/** Errors in a text written by hand: what stands where, what is wanted, and how to mend it. */

/** One error in a text. */
export interface Diagnostic {
    /** 1-based line. */
    readonly line: number;
    /** What stands there, safe to print. */
    readonly found: string;
    readonly expected: string;
    /** What to do about it, as one sentence. */
    readonly fix: string;
    /** The whole error as one line for the reader. */
    readonly message: string;
}

/** Thrown where a text must be right and isn't; carries every error found. */
export class InvalidConfigError extends Error {
    /**
     * @param errors at least one
     */
    constructor(readonly errors: readonly Diagnostic[]) {
        super(errors.map(err => err.message).join("\n"));
        this.name = "InvalidConfigError";
    }
}

/** Longest piece of the text that an error repeats, in characters. */
const maxQuotedLength = 80;

const unprintable = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/gu;

const escapeCharacter = (character: string): string =>
    `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;

/** Makes a piece of untrusted text safe to print: bounded, with control characters escaped. */
export const toPrintable = (text: string): string => {
    const cut = text.length > maxQuotedLength ? `${text.slice(0, maxQuotedLength)}...` : text;
    return cut.replace(unprintable, escapeCharacter);
};

/** Builds an error. */
export const createDiagnostic = (line: number, read: string, wanted: string, mend: string): Diagnostic => {
    const shown = toPrintable(read);
    const message = `line ${line}: read "${shown}"; wanted ${wanted}. ${mend}`;
    return { line, found: shown, expected: wanted, fix: mend, message };
};

/** Formats an error of a settings file as "file:line: ...". */
export const formatDiagnostic = (file: string, error: Diagnostic): string =>
    `${file}:${error.line}: read "${error.found}"; wanted ${error.expected}. ${error.fix}`;

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
export const closestMatch = (word: string, candidates: Iterable<string>): string | undefined => {
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
export const suggestFix = (word: string, candidates: Iterable<string>, otherwise: string): string => {
    const candidate = closestMatch(word, candidates);
    return candidate === undefined ? otherwise : `Did you mean "${candidate}"?`;
};
