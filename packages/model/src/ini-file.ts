/**
 * Parses INI text and keeps line numbers. The ini package decodes the values; sections and keys are parsed here,
 * because the package splits section names at dots and drops line numbers.
 */

import ini from "ini";
import { suggestFix, createDiagnostic, type Diagnostic } from "./diagnostic.js";

/** A "key = value" line. */
export interface IniEntry {
    readonly key: string;
    /** The decoded value, without quotes, escapes and trailing comment. */
    readonly value: string;
    /** Line number, starting at 1. */
    readonly line: number;
}

/** A section. Entries above the first header form a section with an empty name. */
export interface IniSection {
    /** The name, with each run of white space replaced by one space. */
    readonly name: string;
    /** Line number of the header. */
    readonly line: number;
    readonly entries: readonly IniEntry[];
}

/** A parsed INI text with its syntax errors. */
export interface IniFile {
    /** File name, used in messages. */
    readonly file: string;
    readonly sections: readonly IniSection[];
    readonly errors: readonly Diagnostic[];
}

/** Maximum length of a line, in characters. */
export const maxLineLength = 2_000;

/** Maximum length of a text, in characters. */
export const maxTextLength = 4_194_304;

/** Maximum number of sections. */
export const maxSections = 10_000;

/** Maximum number of errors reported for one text. */
export const maxErrors = 200;

/** Characters that the canonical form of a line adds to the key and the quoted value: " = ". */
const canonicalPadding = 3;

const controlCharacter = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/u;

const hasControlCharacter = (text: string): boolean => controlCharacter.test(text.replaceAll("\t", " "));

/** Matches a value that begins with a quotation mark and doesn't end with the same mark. */
const unclosedQuote = /^(["'])(?:.*(?!\1).)?$/;

const headerPattern = /^\[([^[\]]*)\]\s*(?:[#;].*)?$/;

const prototypeKeys: ReadonlySet<string> = new Set(Object.getOwnPropertyNames(Object.prototype));

/**
 * Returns whether a word is the name of a property of `Object.prototype`. Such words are rejected as keys and names.
 */
export const isPrototypeKey = (word: string): boolean => prototypeKeys.has(word);

class IniScanner {
    readonly errors: Diagnostic[] = [];
    readonly sections: IniSection[] = [];
    readonly #names = new Set<string>();
    #entries: IniEntry[] = [];

    scan(text: string): void {
        this.#startSection("", 1);
        const lines = text.replace(/^\ufeff/, "").split("\n");
        for (const [index, raw] of lines.entries()) {
            this.#scanLine(raw.endsWith("\r") ? raw.slice(0, -1) : raw, index + 1);
        }
        if (this.sections[0]?.entries.length === 0) {
            this.sections.shift();
        }
    }

    #startSection(name: string, line: number): void {
        this.#entries = [];
        this.sections.push({ name, line, entries: this.#entries });
    }

    #addError(line: number, found: string, expected: string, fix: string): void {
        this.errors.push(createDiagnostic(line, found, expected, fix));
    }

    #scanLine(raw: string, line: number): void {
        const text = raw.trim();
        if (raw.length > maxLineLength) {
            const fix = "Split the line; server and depends-on lines may be repeated.";
            return this.#addError(line, text, `at most ${maxLineLength} characters per line`, fix);
        }
        if (hasControlCharacter(raw)) {
            const fix = "Type the line again in a plain text editor.";
            return this.#addError(line, text, "a line without control characters", fix);
        }
        if (text === "" || text.startsWith("#") || text.startsWith(";")) {
            return;
        }
        if (text.startsWith("[")) {
            return this.#scanHeader(text, line);
        }
        this.#scanEntry(text, line);
    }

    #scanHeader(text: string, line: number): void {
        const name = headerPattern.exec(text)?.[1]?.trim().replaceAll(/\s+/g, " ");
        if (!name) {
            const fix = 'Write the section\'s name between one "[" and one "]".';
            this.#addError(line, text, "a section header such as [service stops-lookup]", fix);
            this.#startSection("", line);
            this.sections.pop();
            return;
        }
        if (this.#names.has(name)) {
            const fix = "Merge the two sections, or rename one of them.";
            this.#addError(line, text, "each section to appear once", fix);
        }
        this.#names.add(name);
        this.#startSection(name, line);
    }

    #scanEntry(text: string, line: number): void {
        const equals = text.indexOf("=");
        const key = (equals < 0 ? text : text.slice(0, equals)).trim();
        if (equals < 0 || key === "") {
            const fix = 'Write a key, "=" and a value, or put "#" before a comment.';
            return this.#addError(line, text, "key = value", fix);
        }
        if (isPrototypeKey(key)) {
            return this.#addError(line, text, "a key of this section", "Remove the line.");
        }
        const raw = text.slice(equals + 1).trim();
        if (unclosedQuote.test(raw)) {
            const fix = "Close the quotes at the end of the line, and put a comment on a line of its own.";
            return this.#addError(line, raw, "a value with matching quotes or without quotes", fix);
        }
        const value = String(ini.unsafe(raw));
        if (hasControlCharacter(value)) {
            const fix = "Remove the escaped character.";
            return this.#addError(line, text, "a value without control characters", fix);
        }
        if (key.length + JSON.stringify(value).length + canonicalPadding > maxLineLength) {
            return this.#addError(line, text, "a shorter line", "Split the line.");
        }
        this.#entries.push({ key, value, line });
    }
}

/**
 * Parses INI text.
 *
 * @param file the file name, used in messages
 * @returns every section that could be parsed, and all syntax errors
 */
export const parseIni = (text: string, file: string): IniFile => {
    const scanner = new IniScanner();
    if (text.length > maxTextLength) {
        const expected = `at most ${maxTextLength} characters`;
        const error = createDiagnostic(
            1,
            `${text.length} characters`,
            expected,
            "Split the deployment into two.",
        );
        return { file, sections: [], errors: [error] };
    }
    scanner.scan(text);
    const firstExcess = scanner.sections[maxSections];
    if (firstExcess) {
        const expected = `at most ${maxSections} sections`;
        scanner.errors.push(
            createDiagnostic(firstExcess.line, firstExcess.name, expected, "Split the deployment into two."),
        );
    }
    return { file, sections: scanner.sections.slice(0, maxSections), errors: scanner.errors };
};

/** The keys that a section may contain, and whether each may be repeated. */
export type KeySchema = Readonly<Record<string, "once" | "repeated">>;

/** Returns a diagnostic for every unknown key of a section, with a suggestion, and for every duplicate key. */
export const checkKeys = (section: IniSection, schema: KeySchema): readonly Diagnostic[] => {
    const allowed = Object.keys(schema);
    const ofSection = section.name === "" ? "" : ` of [${section.name}]`;
    const seen = new Set<string>();
    const errors: Diagnostic[] = [];
    for (const { key, line } of section.entries) {
        if (!Object.hasOwn(schema, key)) {
            const fix = suggestFix(key, allowed, "Remove the line.");
            errors.push(createDiagnostic(line, key, `a key${ofSection}: ${allowed.join(", ")}`, fix));
        } else if (schema[key] === "once" && seen.has(key)) {
            errors.push(createDiagnostic(line, key, `${key} to appear once`, "Remove one of the lines."));
        }
        seen.add(key);
    }
    return errors;
};
