/** Diagnostics for hand-written texts (config text and settings files): position, cause and correction. */

/** An error at one line of a text. */
export interface Diagnostic {
    /** Line number, starting at 1. */
    readonly line: number;
    /** The rejected text, truncated and with control characters escaped. */
    readonly found: string;
    /** What is valid there. */
    readonly expected: string;
    /** How to correct the text, as one sentence. */
    readonly fix: string;
    /** The whole diagnostic as one line of text. */
    readonly message: string;
}

/** Thrown when a config text is invalid; carries every error found. */
export class InvalidConfigError extends Error {
    /**
     * @param errors at least one
     */
    constructor(readonly errors: readonly Diagnostic[]) {
        super(errors.map(err => err.message).join("\n"));
        this.name = "InvalidConfigError";
    }
}

/** Maximum length of a quotation from the text, in characters. */
const maxQuotedLength = 80;

const unprintable = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/gu;

const escapeCharacter = (character: string): string =>
    `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;

/** Returns untrusted text truncated to `maxQuotedLength` characters, with control characters escaped. */
export const toPrintable = (text: string): string => {
    const truncated = text.length > maxQuotedLength ? `${text.slice(0, maxQuotedLength)}...` : text;
    return truncated.replace(unprintable, escapeCharacter);
};

/** Creates a diagnostic and formats its message. */
export const createDiagnostic = (line: number, found: string, expected: string, fix: string): Diagnostic => {
    const printable = toPrintable(found);
    const message = `line ${line}: found "${printable}"; expected ${expected}. ${fix}`;
    return { line, found: printable, expected, fix, message };
};

/** Formats a diagnostic as "file:line: ...". */
export const formatDiagnostic = (file: string, diagnostic: Diagnostic): string =>
    `${file}:${diagnostic.line}: found "${diagnostic.found}"; expected ${diagnostic.expected}. ${diagnostic.fix}`;

/** Returns the Levenshtein distance. */
const editDistance = (a: string, b: string): number => {
    let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
    for (let i = 1; i <= a.length; i++) {
        const current = [i];
        for (let j = 1; j <= b.length; j++) {
            const substitution = (previous[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
            current.push(Math.min(substitution, (previous[j] ?? 0) + 1, (current[j - 1] ?? 0) + 1));
        }
        previous = current;
    }
    return previous[b.length] ?? 0;
};

/** Returns the candidate with the smallest edit distance to a word; undefined if none is close. */
export const closestMatch = (word: string, candidates: Iterable<string>): string | undefined => {
    const maxDistance = Math.max(2, Math.ceil(word.length / 3));
    const searched = word.slice(0, maxQuotedLength).toLowerCase();
    let best: string | undefined;
    let bestDistance = maxDistance + 1;
    for (const candidate of candidates) {
        const distance = editDistance(searched, candidate.toLowerCase());
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
};

/** Returns a fix for an unknown word: the closest candidate, or `fallback` if none is close. */
export const suggestFix = (word: string, candidates: Iterable<string>, fallback: string): string => {
    const candidate = closestMatch(word, candidates);
    return candidate === undefined ? fallback : `Did you mean "${candidate}"?`;
};
