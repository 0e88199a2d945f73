/** The operators' config text as an immutable value whose unit of change is the section. */

import { createHash } from "node:crypto";
import { parseIni, type IniSection } from "./ini-file.js";
import { InvalidConfigError, createDiagnostic } from "./diagnostic.js";

/** One section in canonical form. */
export interface Section {
    /** For example "service stops-lookup" or "class stops-lookup/departures". */
    readonly name: string;
    /** "key = value" lines without comments, separated by line feeds. */
    readonly body: string;
}

/** The difference between two documents. */
export interface ConfigChange {
    /** Sections that are new or have a different body. */
    readonly set: readonly Section[];
    /** Names of removed sections. */
    readonly remove: readonly string[];
}

/**
 * A config text in canonical form. Comments and the order of sections are dropped; the order of lines within a section
 * is kept.
 */
export class ConfigDocument {
    /** The document without sections. */
    static readonly empty = new ConfigDocument([]);

    readonly #sections: readonly Section[];
    #byName: ReadonlyMap<string, Section> | undefined;
    #sectionsByService: ReadonlyMap<string, readonly Section[]> | undefined;
    #digest: string | undefined;

    private constructor(sections: readonly Section[]) {
        this.#sections = sections;
    }

    /**
     * Parses a text. Checks only the INI syntax, not the keys and values of the sections.
     *
     * @throws InvalidConfigError with every syntax error
     */
    static parse(text: string): ConfigDocument {
        const { sections, errors } = parseIni(text, "text");
        if (errors.length > 0) {
            throw new InvalidConfigError(errors);
        }
        return ConfigDocument.of(sections);
    }

    /** Creates a document from parsed INI sections, whose names must be unique. */
    static of(sections: readonly IniSection[]): ConfigDocument {
        return new ConfigDocument(sections.map(toCanonical).sort(bySortKey));
    }

    /** Sorted by service: the section of each service, then those of its classes. */
    get sections(): readonly Section[] {
        return this.#sections;
    }

    /** SHA-256 over the SHA-256 digests of the sections, in hexadecimal. */
    get digest(): string {
        this.#digest ??= sha256(this.#sections.map(sectionDigest).join(""));
        return this.#digest;
    }

    /** The sections of each service by service name. */
    get sectionsByService(): ReadonlyMap<string, readonly Section[]> {
        this.#sectionsByService ??= groupByService(this.#sections);
        return this.#sectionsByService;
    }

    /** Returns the section with a name; undefined if there is none. */
    section(name: string): Section | undefined {
        this.#byName ??= new Map(this.#sections.map(section => [section.name, section]));
        return this.#byName.get(name);
    }

    /** Returns the canonical text. */
    toString(): string {
        return this.#sections.map(formatSection).join("\n");
    }

    /** Returns the change that turns this document into `next`. */
    diff(next: ConfigDocument): ConfigChange {
        const set = next.sections.filter(section => this.section(section.name)?.body !== section.body);
        const removed = this.#sections.filter(section => !next.section(section.name));
        return { set, remove: removed.map(section => section.name) };
    }

    /**
     * Returns the document with a change applied. Removing a section that doesn't exist has no effect.
     *
     * @throws InvalidConfigError if a section of the change isn't in canonical form or is set twice
     */
    apply(change: ConfigChange): ConfigDocument {
        const replaced = new Set([...change.remove, ...change.set.map(section => section.name)]);
        const set = change.set.map(requireCanonical);
        if (new Set(set.map(section => section.name)).size < set.length) {
            throw invalidSection(1, "a section named twice");
        }
        const kept = this.#sections.filter(section => !replaced.has(section.name));
        return new ConfigDocument([...kept, ...set].sort(bySortKey));
    }
}

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

const sectionDigests = new WeakMap<Section, string>();

const sectionDigest = (section: Section): string => {
    const cached = sectionDigests.get(section);
    if (cached !== undefined) {
        return cached;
    }
    const digest = sha256(formatSection(section));
    sectionDigests.set(section, digest);
    return digest;
};

const formatSection = (section: Section): string => `[${section.name}]\n${section.body}\n`;

/** Values that the INI decoder returns unchanged; all others are written as JSON strings. */
const plainValue = /^[^\s"';#\\](?:[^"';#\\]*[^\s"';#\\])?$/;

const formatValue = (value: string): string => (plainValue.test(value) ? value : JSON.stringify(value));

const toCanonical = (section: IniSection): Section => ({
    name: section.name,
    body: section.entries.map(entry => `${entry.key} = ${formatValue(entry.value)}`).join("\n"),
});

const invalidSection = (line: number, found: string): InvalidConfigError =>
    new InvalidConfigError([
        createDiagnostic(line, found, "sections in canonical form", "Publish the text again from its file."),
    ]);

const requireCanonical = (section: Section): Section => {
    const { sections, errors } = parseIni(formatSection(section), "change");
    if (errors.length > 0) {
        throw new InvalidConfigError(errors);
    }
    const parsed = sections[0] && toCanonical(sections[0]);
    if (sections.length !== 1 || parsed?.name !== section.name || parsed.body !== section.body) {
        throw invalidSection(1, section.name);
    }
    return parsed;
};

/** Returns the service that a section belongs to: "a" for "service a" and "class a/b". */
const serviceOf = (name: string): string => /^(?:service|class) ([^/]*)/.exec(name)?.[1] ?? name;

const groupByService = (sections: readonly Section[]): ReadonlyMap<string, readonly Section[]> => {
    const groups = new Map<string, Section[]>();
    for (const section of sections) {
        const service = serviceOf(section.name);
        const group = groups.get(service);
        if (group) {
            group.push(section);
        } else {
            groups.set(service, [section]);
        }
    }
    return groups;
};

const sortKey = (name: string): string => `${serviceOf(name)} ${name.startsWith("service ") ? 0 : 1} ${name}`;

const bySortKey = (a: Section, b: Section): number => {
    const keyA = sortKey(a.name);
    const keyB = sortKey(b.name);
    return keyA < keyB ? -1 : Number(keyA > keyB);
};
