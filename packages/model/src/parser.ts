/** Parses the operators' config text into a `ConfigSpec` and reports all errors at once. */

import { findDependencyErrors, maxDependencyDepth, type DependencyError } from "./dependencies.js";
import { ConfigDocument, type Section } from "./document.js";
import { maxErrors, parseIni, type IniFile, type IniSection } from "./ini-file.js";
import { ServiceParser } from "./service-parser.js";
import type { Service, ConfigSpec } from "./spec.js";
import { suggestFix, createDiagnostic, type Diagnostic } from "./diagnostic.js";

/** A parsed config text, or the errors in it. */
export type ParseResult =
    | { readonly ok: true; readonly document: ConfigDocument; readonly spec: ConfigSpec }
    | { readonly ok: false; readonly errors: readonly Diagnostic[] };

/** A document and its content. */
export interface ParsedDocument {
    readonly document: ConfigDocument;
    readonly spec: ConfigSpec;
}

/**
 * Parses a config text.
 *
 * @returns the document and its content, or the errors ordered by line. After `maxErrors` errors, one more gives the
 * total number.
 */
export const parseConfig = (text: string): ParseResult => {
    const file = parseIni(text, "text");
    const parser = new ConfigParser(file);
    const spec = parser.parse();
    if (parser.errors.length > 0) {
        return { ok: false, errors: sortErrors(parser.errors) };
    }
    return { ok: true, document: ConfigDocument.of(file.sections), spec };
};

/**
 * Parses a document. With a previous, valid document, parses only the services whose sections differ; the result is the
 * same as without it. The line numbers of errors refer to the canonical text.
 */
export const parseDocument = (document: ConfigDocument, previous?: ParsedDocument): ParseResult => {
    const spec = previous && parseChanged(document, previous);
    return spec ? { ok: true, document, spec } : parseConfig(document.toString());
};

class ConfigParser {
    readonly errors: Diagnostic[];
    readonly #sections: readonly IniSection[];

    constructor(file: IniFile) {
        this.errors = [...file.errors];
        this.#sections = file.sections;
    }

    parse(): ConfigSpec {
        const classes = this.#classesByService();
        const services = new Map<string, Service>();
        for (const section of this.#sections) {
            const name = serviceNameOf(section.name);
            if (name !== undefined) {
                const parser = new ServiceParser(this.errors);
                services.set(name, parser.parse(name, section, classes.get(name) ?? []));
            }
        }
        this.#checkServices(services, classes);
        this.errors.push(
            ...findDependencyErrors(services).map(error => this.#dependencyDiagnostic(error, services)),
        );
        return { services: new Map([...services].sort(byName)) };
    }

    #classesByService(): ReadonlyMap<string, readonly IniSection[]> {
        const classes = new Map<string, IniSection[]>();
        for (const section of this.#sections) {
            const service = serviceNameOfClass(section.name);
            if (service !== undefined) {
                classes.set(service, [...(classes.get(service) ?? []), section]);
            } else if (serviceNameOf(section.name) === undefined) {
                this.errors.push(unknownSectionError(section));
            }
        }
        return classes;
    }

    #checkServices(
        services: ReadonlyMap<string, Service>,
        classes: ReadonlyMap<string, readonly IniSection[]>,
    ): void {
        for (const [service, sections] of classes) {
            for (const { line, name } of services.has(service) ? [] : sections) {
                const fix = suggestFix(service, services.keys(), `Add a section [service ${service}].`);
                this.errors.push(
                    createDiagnostic(line, `[${name}]`, "a class of a service defined in this text", fix),
                );
            }
        }
        if (services.size === 0 && this.errors.length === 0) {
            const fix = "Add a section [service NAME] with a line server = IP:PORT.";
            this.errors.push(createDiagnostic(1, "no service", "at least one service", fix));
        }
    }

    #dependencyDiagnostic(error: DependencyError, services: ReadonlyMap<string, Service>): Diagnostic {
        const line = this.#dependencyLine(error);
        if (error.kind === "unknown") {
            const fix = suggestFix(
                error.dependency,
                services.keys(),
                `Add a section [service ${error.dependency}], or remove it.`,
            );
            return createDiagnostic(line, error.dependency, "a service defined in this text", fix);
        }
        const path = error.path.join(" > ");
        if (error.kind === "cycle") {
            const fix = `Remove one of the dependencies in ${path}.`;
            return createDiagnostic(line, error.dependency, "services without circular dependencies", fix);
        }
        const expected = `at most ${maxDependencyDepth} services in a chain of calls`;
        return createDiagnostic(line, `${error.path.length} services`, expected, `Shorten ${path}.`);
    }

    #dependencyLine({ service, dependency }: DependencyError): number {
        const section = this.#sections.find(found => serviceNameOf(found.name) === service);
        const entry = section?.entries.find(
            found => found.key === "depends-on" && found.value.split(/[\s,]+/).includes(dependency),
        );
        return entry?.line ?? section?.line ?? 1;
    }
}

const serviceNameOf = (section: string): string | undefined => /^service (.+)$/.exec(section)?.[1];

const serviceNameOfClass = (section: string): string | undefined => /^class ([^/]+)\/.+$/.exec(section)?.[1];

const unknownSectionError = ({ name, line }: IniSection): Diagnostic => {
    const expected = "sections [service NAME] and [class SERVICE/NAME]";
    if (name === "") {
        return createDiagnostic(
            line,
            "lines above the first section",
            expected,
            "Write a section header above them.",
        );
    }
    const word = name.split(" ")[0] ?? "";
    return createDiagnostic(
        line,
        `[${name}]`,
        expected,
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
    const reported = sorted.slice(0, maxErrors);
    const found = `${sorted.length} errors`;
    const remainder = createDiagnostic(
        sorted[maxErrors]?.line ?? 1,
        found,
        "none",
        "Fix the errors above, then check again.",
    );
    return [...reported, remainder];
};

const sameSections = (a: readonly Section[], b: readonly Section[] | undefined): boolean =>
    a.length === b?.length &&
    a.every((section, index) => section.body === b[index]?.body && section.name === b[index]?.name);

/** Parses only the services that differ from the previous document; returns `undefined` if there is any error. */
const parseChanged = (document: ConfigDocument, previous: ParsedDocument): ConfigSpec | undefined => {
    const services = new Map<string, Service>();
    const errors: Diagnostic[] = [];
    for (const [name, group] of document.sectionsByService) {
        const previousService = previous.spec.services.get(name);
        const unchanged = sameSections(group, previous.document.sectionsByService.get(name));
        const service =
            previousService && unchanged ? previousService : parseServiceSections(name, group, errors);
        if (!service) {
            return undefined;
        }
        services.set(name, service);
    }
    const valid = errors.length === 0 && services.size > 0 && findDependencyErrors(services).length === 0;
    return valid ? { services } : undefined;
};

const parseServiceSections = (
    name: string,
    group: readonly Section[],
    errors: Diagnostic[],
): Service | undefined => {
    const file = parseIni(group.map(section => `[${section.name}]\n${section.body}\n`).join(""), "change");
    errors.push(...file.errors);
    const [first, ...classes] = file.sections;
    const namesMatch =
        first?.name === `service ${name}` &&
        classes.every(({ name: className }) => serviceNameOfClass(className) === name);
    return first && namesMatch ? new ServiceParser(errors).parse(name, first, classes) : undefined;
};
