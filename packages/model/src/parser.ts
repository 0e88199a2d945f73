/** From the operators' text to what it says, with all errors at once. */

import { findDependencyErrors, maxDependencyDepth, type DependencyError } from "./dependencies.js";
import { ConfigDocument, type Section } from "./document.js";
import { maxErrors, parseIni, type IniFile, type IniSection } from "./ini-file.js";
import { ServiceParser } from "./service-parser.js";
import type { Service, ConfigSpec } from "./spec.js";
import { suggestFix, createDiagnostic, type Diagnostic } from "./diagnostic.js";

/** A text that was read, or why it can't be. */
export type ParseResult =
    | { readonly ok: true; readonly document: ConfigDocument; readonly spec: ConfigSpec }
    | { readonly ok: false; readonly errors: readonly Diagnostic[] };

/** A document with what it says. */
export interface ParsedDocument {
    readonly document: ConfigDocument;
    readonly spec: ConfigSpec;
}

/**
 * Reads an operators' text.
 *
 * @returns the document and what it says, or every error, at most `maxErrors`, by line
 */
export const parseConfig = (text: string): ParseResult => {
    const file = parseIni(text, "text");
    const reader = new TextReader(file);
    const spec = reader.read();
    if (reader.errors.length > 0) {
        return { ok: false, errors: sortErrors(reader.errors) };
    }
    return { ok: true, document: ConfigDocument.of(file.sections), spec };
};

/**
 * Reads a document, its services anew only where their sections differ from an earlier, valid document's.
 * The result is the same as without the earlier document; errors name lines of the canonical text.
 */
export const parseDocument = (document: ConfigDocument, previous?: ParsedDocument): ParseResult => {
    const spec = previous && incremental(document, previous);
    return spec ? { ok: true, document, spec } : parseConfig(document.toString());
};

class TextReader {
    readonly errors: Diagnostic[];
    readonly #sections: readonly IniSection[];

    constructor(file: IniFile) {
        this.errors = [...file.errors];
        this.#sections = file.sections;
    }

    read(): ConfigSpec {
        const classes = this.#classesByService();
        const services = new Map<string, Service>();
        for (const section of this.#sections) {
            const name = serviceName(section.name);
            if (name !== undefined) {
                const reader = new ServiceParser(this.errors);
                services.set(name, reader.parse(name, section, classes.get(name) ?? []));
            }
        }
        this.#checkOwners(services, classes);
        this.errors.push(
            ...findDependencyErrors(services).map(fault => this.#dependenceError(fault, services)),
        );
        return { services: new Map([...services].sort(byName)) };
    }

    #classesByService(): ReadonlyMap<string, readonly IniSection[]> {
        const classes = new Map<string, IniSection[]>();
        for (const section of this.#sections) {
            const owner = classOwner(section.name);
            if (owner !== undefined) {
                classes.set(owner, [...(classes.get(owner) ?? []), section]);
            } else if (serviceName(section.name) === undefined) {
                this.errors.push(unknownSection(section));
            }
        }
        return classes;
    }

    #checkOwners(
        services: ReadonlyMap<string, Service>,
        classes: ReadonlyMap<string, readonly IniSection[]>,
    ): void {
        for (const [owner, sections] of classes) {
            for (const { line, name } of services.has(owner) ? [] : sections) {
                const mend = suggestFix(owner, services.keys(), `Add a section [service ${owner}].`);
                this.errors.push(
                    createDiagnostic(line, `[${name}]`, "a class of a service of this text", mend),
                );
            }
        }
        if (services.size === 0 && this.errors.length === 0) {
            const mend = "Add a section [service NAME] with a line server = IP:PORT.";
            this.errors.push(createDiagnostic(1, "no service", "at least one service", mend));
        }
    }

    #dependenceError(fault: DependencyError, services: ReadonlyMap<string, Service>): Diagnostic {
        const line = this.#dependenceLine(fault);
        if (fault.kind === "unknown") {
            const mend = suggestFix(
                fault.on,
                services.keys(),
                `Add a section [service ${fault.on}], or remove it.`,
            );
            return createDiagnostic(line, fault.on, "a service of this text", mend);
        }
        const path = fault.path.join(" > ");
        if (fault.kind === "cycle") {
            const mend = `Remove one of the dependences of ${path}.`;
            return createDiagnostic(line, fault.on, "services that do not depend on themselves", mend);
        }
        const wanted = `at most ${maxDependencyDepth} services on a chain of calls`;
        return createDiagnostic(line, `${fault.path.length} services`, wanted, `Shorten ${path}.`);
    }

    #dependenceLine({ service, on }: DependencyError): number {
        const section = this.#sections.find(found => serviceName(found.name) === service);
        const entry = section?.entries.find(
            found => found.key === "depends-on" && found.value.split(/[\s,]+/).includes(on),
        );
        return entry?.line ?? section?.line ?? 1;
    }
}

const serviceName = (section: string): string | undefined => /^service (.+)$/.exec(section)?.[1];

const classOwner = (section: string): string | undefined => /^class ([^/]+)\/.+$/.exec(section)?.[1];

const unknownSection = ({ name, line }: IniSection): Diagnostic => {
    const wanted = "sections [service NAME] and [class SERVICE/NAME]";
    if (name === "") {
        return createDiagnostic(
            line,
            "lines above the first section",
            wanted,
            "Write a section's header above them.",
        );
    }
    const word = name.split(" ")[0] ?? "";
    return createDiagnostic(
        line,
        `[${name}]`,
        wanted,
        suggestFix(word, ["service", "class"], "Rename or remove it."),
    );
};

const byName = ([a]: readonly [string, Service], [b]: readonly [string, Service]): number => (a < b ? -1 : 1);

const byLine = (a: Diagnostic, b: Diagnostic): number => a.line - b.line;

const sortErrors = (errors: readonly Diagnostic[]): readonly Diagnostic[] => {
    const sorted = errors.toSorted(byLine);
    if (sorted.length <= maxErrors) {
        return sorted;
    }
    const shown = sorted.slice(0, maxErrors);
    const read = `${sorted.length} errors`;
    const more = createDiagnostic(
        sorted[maxErrors]?.line ?? 1,
        read,
        "none",
        "Mend those above, then check again.",
    );
    return [...shown, more];
};

const sameSections = (a: readonly Section[], b: readonly Section[] | undefined): boolean =>
    a.length === b?.length &&
    a.every((section, index) => section.body === b[index]?.body && section.name === b[index]?.name);

/** Reads only the services that differ; `undefined` if anything is wrong. */
const incremental = (document: ConfigDocument, previous: ParsedDocument): ConfigSpec | undefined => {
    const services = new Map<string, Service>();
    const errors: Diagnostic[] = [];
    for (const [name, group] of document.groups) {
        const known = previous.spec.services.get(name);
        const unchanged = sameSections(group, previous.document.groups.get(name));
        const service = known && unchanged ? known : readGroup(name, group, errors);
        if (!service) {
            return undefined;
        }
        services.set(name, service);
    }
    const sound = errors.length === 0 && services.size > 0 && findDependencyErrors(services).length === 0;
    return sound ? { services } : undefined;
};

const readGroup = (name: string, group: readonly Section[], errors: Diagnostic[]): Service | undefined => {
    const file = parseIni(group.map(section => `[${section.name}]\n${section.body}\n`).join(""), "change");
    errors.push(...file.errors);
    const [first, ...classes] = file.sections;
    const wellNamed =
        first?.name === `service ${name}` && classes.every(({ name: own }) => classOwner(own) === name);
    return first && wellNamed ? new ServiceParser(errors).parse(name, first, classes) : undefined;
};
