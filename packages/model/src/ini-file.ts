/**
 * Reads INI text with line numbers. The ini package decodes the values; sections and keys are scanned here,
 * because the package splits section names at dots and drops line numbers.
 */

import ini from "ini";
import { suggestFix, createDiagnostic, type Diagnostic } from "./diagnostic.js";

/** One "key = value" line. */
export interface IniEntry {
    readonly key: string;
    /** Decoded: without quotes, escapes and trailing comment. */
    readonly value: string;
    readonly line: number;
}

/** One section; the entries above the first header form a section with an empty name. */
export interface IniSection {
    /** White space inside the name is collapsed to single spaces. */
    readonly name: string;
    /** Line of the header. */
    readonly line: number;
    readonly entries: readonly IniEntry[];
}

/** An INI text with its errors of form. */
export interface IniFile {
    readonly file: string;
    readonly sections: readonly IniSection[];
    readonly errors: readonly Diagnostic[];
}

/** Longest line accepted, in characters. */
export const maxLineLength = 2_000;

/** Longest text accepted, in characters. */
export const maxTextLength = 4_194_304;

/** Most sections accepted. */
export const maxSections = 10_000;

/** Most errors reported at once. */
export const maxErrors = 200;

/** Characters that the canonical form of a line adds to key and quoted value. */
const canonicalPadding = 3;

const forbidden = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/u;

const hasForbidden = (text: string): boolean => forbidden.test(text.replaceAll("\t", " "));

/** A value that begins with a quotation mark and doesn't end with it. */
const openQuote = /^(["'])(?:.*(?!\1).)?$/;

const headerPattern = /^\[([^[\]]*)\]\s*(?:[#;].*)?$/;

const prototypeKeys: ReadonlySet<string> = new Set(Object.getOwnPropertyNames(Object.prototype));

/** Tells whether a word names a property of every object, which no key or name may. */
export const isPrototypeKey = (word: string): boolean => prototypeKeys.has(word);

class Scanner {
    readonly errors: Diagnostic[] = [];
    readonly sections: IniSection[] = [];
    readonly #names = new Set<string>();
    #entries: IniEntry[] = [];

    scan(text: string): void {
        this.#open("", 1);
        const lines = text.replace(/^\ufeff/, "").split("\n");
        for (const [index, raw] of lines.entries()) {
            this.#line(raw.endsWith("\r") ? raw.slice(0, -1) : raw, index + 1);
        }
        if (this.sections[0]?.entries.length === 0) {
            this.sections.shift();
        }
    }

    #open(name: string, line: number): void {
        this.#entries = [];
        this.sections.push({ name, line, entries: this.#entries });
    }

    #fail(line: number, read: string, wanted: string, mend: string): void {
        this.errors.push(createDiagnostic(line, read, wanted, mend));
    }

    #line(raw: string, line: number): void {
        const text = raw.trim();
        if (raw.length > maxLineLength) {
            const mend = "Split it; server and depends-on lines may be repeated.";
            return this.#fail(line, text, `at most ${maxLineLength} characters in a line`, mend);
        }
        if (hasForbidden(raw)) {
            const mend = "Type the line again in a plain text editor.";
            return this.#fail(line, text, "a line without control characters", mend);
        }
        if (text === "" || text.startsWith("#") || text.startsWith(";")) {
            return;
        }
        if (text.startsWith("[")) {
            return this.#header(text, line);
        }
        this.#entry(text, line);
    }

    #header(text: string, line: number): void {
        const name = headerPattern.exec(text)?.[1]?.trim().replaceAll(/\s+/g, " ");
        if (!name) {
            const mend = 'Write the section\'s name between one "[" and one "]".';
            this.#fail(line, text, "a section header such as [service stops-lookup]", mend);
            this.#open("", line);
            this.sections.pop();
            return;
        }
        if (this.#names.has(name)) {
            const mend = "Put both sections' lines into one, or rename one of them.";
            this.#fail(line, text, "each section once", mend);
        }
        this.#names.add(name);
        this.#open(name, line);
    }

    #entry(text: string, line: number): void {
        const at = text.indexOf("=");
        const key = (at < 0 ? text : text.slice(0, at)).trim();
        if (at < 0 || key === "") {
            const mend = 'Write a key, "=" and a value, or put "#" before a comment.';
            return this.#fail(line, text, "key = value", mend);
        }
        if (isPrototypeKey(key)) {
            return this.#fail(line, text, "a key of this section", "Remove the line.");
        }
        const raw = text.slice(at + 1).trim();
        if (openQuote.test(raw)) {
            const mend = "Close the quotes at the end of the line, and put a comment on a line of its own.";
            return this.#fail(line, raw, "a value in quotes, or one without", mend);
        }
        const value = String(ini.unsafe(raw));
        if (hasForbidden(value)) {
            const mend = "Remove the escaped character.";
            return this.#fail(line, text, "a value without control characters", mend);
        }
        if (key.length + JSON.stringify(value).length + canonicalPadding > maxLineLength) {
            return this.#fail(line, text, "a shorter line", "Split it.");
        }
        this.#entries.push({ key, value, line });
    }
}

/**
 * Reads INI text.
 *
 * @param file its name, for messages
 * @returns every section that can be read, and all errors of form
 */
export const parseIni = (text: string, file: string): IniFile => {
    const scanner = new Scanner();
    if (text.length > maxTextLength) {
        const wanted = `at most ${maxTextLength} characters`;
        const error = createDiagnostic(
            1,
            `${text.length} characters`,
            wanted,
            "Split the deployment into two.",
        );
        return { file, sections: [], errors: [error] };
    }
    scanner.scan(text);
    const surplus = scanner.sections[maxSections];
    if (surplus) {
        const wanted = `at most ${maxSections} sections`;
        scanner.errors.push(
            createDiagnostic(surplus.line, surplus.name, wanted, "Split the deployment into two."),
        );
    }
    return { file, sections: scanner.sections.slice(0, maxSections), errors: scanner.errors };
};

/** What may stand in a section: each key, and whether it may be repeated. */
export type KeySchema = Readonly<Record<string, "once" | "repeated">>;

/** Finds unknown keys, with suggestions, and keys that are given twice. */
export const checkKeys = (section: IniSection, table: KeySchema): readonly Diagnostic[] => {
    const known = Object.keys(table);
    const place = section.name === "" ? "" : ` of [${section.name}]`;
    const seen = new Set<string>();
    const errors: Diagnostic[] = [];
    for (const { key, line } of section.entries) {
        if (!Object.hasOwn(table, key)) {
            const mend = suggestFix(key, known, "Remove the line.");
            errors.push(createDiagnostic(line, key, `a key${place}: ${known.join(", ")}`, mend));
        } else if (table[key] === "once" && seen.has(key)) {
            errors.push(createDiagnostic(line, key, `${key} once`, "Remove one of the lines."));
        }
        seen.add(key);
    }
    return errors;
};
