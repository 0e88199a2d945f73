/** The operators' text as a persistent value whose unit of change is the section. */

import { createHash } from "node:crypto";
import { parseIni, type IniSection } from "./ini-file.js";
import { InvalidConfigError, createDiagnostic } from "./diagnostic.js";

/** One section in canonical form. */
export interface Section {
    /** Such as "service stops-lookup" or "class stops-lookup/departures". */
    readonly name: string;
    /** "key = value" lines joined by line feeds, without comments. */
    readonly body: string;
}

/** What leads from one text to another. */
export interface ConfigChange {
    /** Sections that are new or have another body. */
    readonly set: readonly Section[];
    /** Names of sections that are no longer there. */
    readonly remove: readonly string[];
}

/** An operators' text: comments and order of sections dropped, order of lines in a section kept. */
export class ConfigDocument {
    /** The text without sections. */
    static readonly empty = new ConfigDocument([]);

    readonly #sections: readonly Section[];
    #byName: ReadonlyMap<string, Section> | undefined;
    #groups: ReadonlyMap<string, readonly Section[]> | undefined;
    #digest: string | undefined;

    private constructor(sections: readonly Section[]) {
        this.#sections = sections;
    }

    /**
     * Reads a text, of whose sections only the form is checked.
     *
     * @throws InvalidConfigError with every error of form
     */
    static parse(text: string): ConfigDocument {
        const { sections, errors } = parseIni(text, "text");
        if (errors.length > 0) {
            throw new InvalidConfigError(errors);
        }
        return ConfigDocument.of(sections);
    }

    /** Makes a text of sections read from INI; names must be unique. */
    static of(sections: readonly IniSection[]): ConfigDocument {
        return new ConfigDocument(sections.map(canonical).sort(bySortKey));
    }

    /** Sorted: each service, then its classes. */
    get sections(): readonly Section[] {
        return this.#sections;
    }

    /** SHA-256 over the sections' own SHA-256 digests, as hex. */
    get digest(): string {
        this.#digest ??= sha256(this.#sections.map(sectionDigest).join(""));
        return this.#digest;
    }

    /** The sections of each service, by the service's name. */
    get groups(): ReadonlyMap<string, readonly Section[]> {
        this.#groups ??= groupByOwner(this.#sections);
        return this.#groups;
    }

    /** The section of that name; undefined if there is none. */
    section(name: string): Section | undefined {
        this.#byName ??= new Map(this.#sections.map(section => [section.name, section]));
        return this.#byName.get(name);
    }

    /** The canonical text. */
    toString(): string {
        return this.#sections.map(formatSection).join("\n");
    }

    /** What leads from this text to `next`. */
    diff(next: ConfigDocument): ConfigChange {
        const set = next.sections.filter(section => this.section(section.name)?.body !== section.body);
        const gone = this.#sections.filter(section => !next.section(section.name));
        return { set, remove: gone.map(section => section.name) };
    }

    /**
     * The text after a change. Removing a section that isn't there changes nothing.
     *
     * @throws InvalidConfigError if a section of the change isn't in canonical form
     */
    apply(change: ConfigChange): ConfigDocument {
        const replaced = new Set([...change.remove, ...change.set.map(section => section.name)]);
        const set = change.set.map(checked);
        if (new Set(set.map(section => section.name)).size < set.length) {
            throw invalidSection(1, "a section named twice");
        }
        const kept = this.#sections.filter(section => !replaced.has(section.name));
        return new ConfigDocument([...kept, ...set].sort(bySortKey));
    }
}

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

const digests = new WeakMap<Section, string>();

const sectionDigest = (section: Section): string => {
    const known = digests.get(section);
    if (known !== undefined) {
        return known;
    }
    const digest = sha256(formatSection(section));
    digests.set(section, digest);
    return digest;
};

const formatSection = (section: Section): string => `[${section.name}]\n${section.body}\n`;

/** Values that decode to themselves; all others are written as JSON strings. */
const plainValue = /^[^\s"';#\\](?:[^"';#\\]*[^\s"';#\\])?$/;

const formatValue = (value: string): string => (plainValue.test(value) ? value : JSON.stringify(value));

const canonical = (section: IniSection): Section => ({
    name: section.name,
    body: section.entries.map(entry => `${entry.key} = ${formatValue(entry.value)}`).join("\n"),
});

const invalidSection = (line: number, read: string): InvalidConfigError =>
    new InvalidConfigError([
        createDiagnostic(line, read, "sections in canonical form", "Publish the text again from its file."),
    ]);

const checked = (section: Section): Section => {
    const { sections, errors } = parseIni(formatSection(section), "change");
    if (errors.length > 0) {
        throw new InvalidConfigError(errors);
    }
    const read = sections[0] && canonical(sections[0]);
    if (sections.length !== 1 || read?.name !== section.name || read.body !== section.body) {
        throw invalidSection(1, section.name);
    }
    return read;
};

/** The service that a section belongs to: "a" for "service a" and "class a/b". */
const ownerOf = (name: string): string => /^(?:service|class) ([^/]*)/.exec(name)?.[1] ?? name;

const groupByOwner = (sections: readonly Section[]): ReadonlyMap<string, readonly Section[]> => {
    const groups = new Map<string, Section[]>();
    for (const section of sections) {
        const owner = ownerOf(section.name);
        const group = groups.get(owner);
        if (group) {
            group.push(section);
        } else {
            groups.set(owner, [section]);
        }
    }
    return groups;
};

const sortKey = (name: string): string => `${ownerOf(name)} ${name.startsWith("service ") ? 0 : 1} ${name}`;

const bySortKey = (a: Section, b: Section): number => {
    const keyA = sortKey(a.name);
    const keyB = sortKey(b.name);
    return keyA < keyB ? -1 : Number(keyA > keyB);
};
