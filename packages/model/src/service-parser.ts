/** Parses one service of the config text: its own section and the sections of its classes. */

import { checkKeys, type IniEntry, type IniSection, type KeySchema } from "./ini-file.js";
import {
    chooserNames,
    type BackendServer,
    type ChooserName,
    type RequestClass,
    type Service,
} from "./spec.js";
import { suggestFix, type Diagnostic } from "./diagnostic.js";
import { ValueParser } from "./value-parser.js";

/** Parses services and collects errors. */
export class ServiceParser {
    readonly #errors: Diagnostic[];
    readonly #values: ValueParser;

    /**
     * @param errors list to which errors are added
     */
    constructor(errors: Diagnostic[]) {
        this.#errors = errors;
        this.#values = new ValueParser(errors);
    }

    /**
     * Parses a service. The result is valid only if no error was added.
     *
     * @param name the service's name
     * @param section the service's section
     * @param classes the sections of the service's classes
     */
    parse(name: string, section: IniSection, classes: readonly IniSection[]): Service {
        this.#errors.push(...checkKeys(section, serviceKeys));
        this.#values.name(section.line, "a service's name", name);
        const findEntry = (key: string): IniEntry | undefined =>
            section.entries.find(found => found.key === key);
        const fraction = (key: string, fallback: number): number => {
            const found = findEntry(key);
            return (found && this.#values.fraction(found)) ?? fallback;
        };
        const queueEntry = findEntry("queue-limit");
        const queueLimit =
            queueEntry &&
            this.#values.integer(queueEntry.line, queueEntry.key, queueEntry.value, 1, maxQueueLimit);
        return {
            name,
            dependsOn: this.#parseDependencies(section),
            servers: this.#parseServers(section),
            classes: this.#parseClasses(classes),
            chooser: this.#parseChooser(findEntry("chooser")),
            queueLimit: queueLimit ?? serviceDefaults.queueLimit,
            probeBudget: fraction("probe-budget", serviceDefaults.probeBudget),
            retryBudget: fraction("retry-budget", serviceDefaults.retryBudget),
            hedgeBudget: fraction("hedge-budget", serviceDefaults.hedgeBudget),
            ejectShare: fraction("eject-share", serviceDefaults.ejectShare),
        };
    }

    #parseDependencies(section: IniSection): readonly string[] {
        const names = new Set<string>();
        for (const { key, value, line } of section.entries) {
            for (const word of key === "depends-on" ? splitList(value) : []) {
                if (names.has(word)) {
                    this.#values.addError(
                        line,
                        word,
                        "each service to appear once",
                        `Remove "${word}" from the line.`,
                    );
                }
                names.add(word);
            }
        }
        return [...names];
    }

    #parseChooser(entry: IniEntry | undefined): ChooserName {
        const [defaultChooser] = chooserNames as readonly [ChooserName];
        if (!entry) {
            return defaultChooser;
        }
        const found = chooserNames.find(chooser => chooser === entry.value);
        const fix = suggestFix(
            entry.value,
            chooserNames,
            `Remove the line to use the default, ${defaultChooser}.`,
        );
        return (
            found ??
            this.#values.addError(entry.line, entry.value, `one of ${chooserNames.join(", ")}`, fix) ??
            defaultChooser
        );
    }

    #parseServers(section: IniSection): readonly BackendServer[] {
        const lines = section.entries.filter(entry => entry.key === "server");
        const servers = new Map<string, BackendServer>();
        if (lines.length === 0) {
            const fix = "Add a line such as server = 192.0.2.10:8080.";
            this.#values.addError(section.line, `[${section.name}]`, "at least one backend server", fix);
        }
        if (lines.length > maxServers) {
            const expected = `at most ${maxServers} backend servers per service`;
            this.#values.addError(
                section.line,
                `${lines.length} servers`,
                expected,
                "Split the service into two.",
            );
        }
        for (const entry of lines) {
            const server = this.#parseServer(entry);
            if (server && servers.has(server.address)) {
                const fix = "Remove one of the lines, or correct its address.";
                this.#values.addError(
                    entry.line,
                    server.address,
                    "each backend server to appear once in a service",
                    fix,
                );
            } else if (server) {
                servers.set(server.address, server);
            }
        }
        return [...servers.values()];
    }

    #parseServer({ value, line }: IniEntry): BackendServer | undefined {
        const [endpoint = "", ...options] = value.trim().split(/\s+/);
        const address = this.#values.address(line, endpoint);
        const optionValues = new Map<string, string>();
        for (const option of options) {
            this.#parseServerOption(option, line, optionValues);
        }
        const integer = (key: "slots" | "connections", max: number): number => {
            const text = optionValues.get(key);
            const parsed = text === undefined ? undefined : this.#values.integer(line, key, text, 1, max);
            return parsed ?? serviceDefaults[key];
        };
        const domain = optionValues.get("domain") ?? serviceDefaults.domain;
        this.#values.name(line, "a failure domain's name", domain);
        const slots = integer("slots", maxSlots);
        const connections = integer("connections", maxConnections);
        if (connections < slots) {
            const found = `slots=${slots} connections=${connections}`;
            this.#values.addError(line, found, "at least as many connections as slots", "Raise connections.");
        }
        return address && { ...address, domain, slots, connections, leaving: optionValues.has("leaving") };
    }

    #parseServerOption(option: string, line: number, optionValues: Map<string, string>): void {
        const equals = option.indexOf("=");
        const key = equals < 0 ? option : option.slice(0, equals);
        const isFlag = key === "leaving";
        if (!serverOptions.includes(key) || isFlag !== equals < 0) {
            const expected = `only ${serverOptions.map(optionSyntax).join(", ")} after the address`;
            const knownOption = serverOptions.find(name => name === key) ?? "";
            const fix =
                knownOption === ""
                    ? suggestFix(key, serverOptions, "Remove it.")
                    : `Write ${optionSyntax(knownOption)}.`;
            this.#values.addError(line, option, expected, fix);
        } else if (optionValues.has(key)) {
            this.#values.addError(line, option, `${key} to appear once`, "Remove one of the two.");
        } else {
            optionValues.set(key, option.slice(equals + 1));
        }
    }

    #parseClasses(sections: readonly IniSection[]): readonly RequestClass[] {
        if (sections.length > maxClasses) {
            const found = `${sections.length} classes`;
            const expected = `at most ${maxClasses} classes per service`;
            this.#values.addError(sections[0]?.line ?? 1, found, expected, "Remove some of them.");
        }
        const configured = sections.map(section => this.#parseClass(section));
        const orConfigured = (builtIn: RequestClass): RequestClass =>
            configured.find(found => found.name === builtIn.name) ?? builtIn;
        const custom = configured.filter(found => !builtInNames.has(found.name)).sort(bySpecificity);
        return [...custom, ...builtInClasses.map(orConfigured)];
    }

    #parseClass(section: IniSection): RequestClass {
        this.#errors.push(...checkKeys(section, classKeys));
        const name = section.name.slice(section.name.indexOf("/") + 1);
        this.#values.name(section.line, "a class's name", name);
        const findEntry = (key: string): IniEntry | undefined =>
            section.entries.find(found => found.key === key);
        const builtIn = builtInClasses.find(found => found.name === name);
        const path = findEntry("path");
        const methods = findEntry("methods");
        if (builtIn) {
            this.#rejectFixedKeys(name, [path, methods]);
        }
        const idempotent = findEntry("idempotent");
        const priority = findEntry("priority");
        const deadline = findEntry("deadline");
        return {
            name,
            methods: builtIn?.methods ?? this.#parseMethods(methods),
            path: this.#parsePath(path),
            idempotent: (idempotent && this.#values.boolean(idempotent)) ?? builtIn?.idempotent ?? false,
            priority:
                (priority &&
                    this.#values.integer(priority.line, "priority", priority.value, 0, maxPriority)) ??
                serviceDefaults.priority,
            deadlineMs:
                (deadline && this.#values.duration(deadline, 1, maxDeadlineMs)) ?? serviceDefaults.deadlineMs,
        };
    }

    #rejectFixedKeys(name: string, entries: readonly (IniEntry | undefined)[]): void {
        for (const fixed of entries) {
            if (fixed) {
                const expected = `no ${fixed.key} in the built-in class "${name}", which matches all remaining requests`;
                this.#values.addError(fixed.line, fixed.key, expected, "Give the class another name.");
            }
        }
    }

    #parseMethods(entry: IniEntry | undefined): readonly string[] {
        const methods = splitList(entry?.value ?? "");
        for (const method of methods) {
            if (entry && !knownMethods.includes(method)) {
                const fix = suggestFix(method.toUpperCase(), knownMethods, "Remove it.");
                this.#values.addError(
                    entry.line,
                    method,
                    `one of the methods ${knownMethods.join(", ")}`,
                    fix,
                );
            }
        }
        return methods;
    }

    #parsePath(entry: IniEntry | undefined): string {
        if (entry && !pathPattern.test(entry.value)) {
            const expected = "a path prefix such as /departures, without a query";
            this.#values.addError(entry.line, entry.value, expected, 'Begin it with "/".');
        }
        return entry?.value ?? "/";
    }
}

/** Maximum number of backend servers of a service. */
export const maxServers = 2_000;

/** Maximum number of classes of a service. */
export const maxClasses = 64;

/** Highest queue limit: requests of one service that one entry VM may queue. */
export const maxQueueLimit = 100_000;

/** Maximum number of slots of a backend server. */
export const maxSlots = 10_000;

/** Maximum number of connections of a backend server. */
export const maxConnections = 100_000;

/** Highest priority number, which is the least urgent priority. */
export const maxPriority = 9;

/** Longest deadline of a class: one day, in milliseconds. */
export const maxDeadlineMs = 86_400_000;

/** Default values of keys and options. */
export const serviceDefaults = {
    domain: "default",
    slots: 1,
    connections: 100,
    queueLimit: 1_000,
    probeBudget: 0.002,
    retryBudget: 0.1,
    hedgeBudget: 0.02,
    ejectShare: 0.3,
    priority: 5,
    deadlineMs: 10_000,
} as const;

/** Classes that every service has. They match the requests that no class of the config text matches. */
export const builtInClasses: readonly RequestClass[] = [
    {
        name: "default",
        methods: ["GET", "HEAD", "OPTIONS"],
        path: "/",
        idempotent: true,
        priority: serviceDefaults.priority,
        deadlineMs: serviceDefaults.deadlineMs,
    },
    {
        name: "default-write",
        methods: [],
        path: "/",
        idempotent: false,
        priority: serviceDefaults.priority,
        deadlineMs: serviceDefaults.deadlineMs,
    },
];

const builtInNames: ReadonlySet<string> = new Set(builtInClasses.map(builtIn => builtIn.name));

const serviceKeys: KeySchema = {
    server: "repeated",
    "depends-on": "repeated",
    chooser: "once",
    "queue-limit": "once",
    "probe-budget": "once",
    "retry-budget": "once",
    "hedge-budget": "once",
    "eject-share": "once",
};

const classKeys: KeySchema = {
    methods: "once",
    path: "once",
    idempotent: "once",
    priority: "once",
    deadline: "once",
};

const serverOptions: readonly string[] = ["domain", "slots", "connections", "leaving"];

const optionSyntax = (name: string): string => (name === "leaving" ? name : `${name}=...`);

const knownMethods: readonly string[] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

const pathPattern = /^\/[A-Za-z0-9/._~%!$&()*+,:@-]*$/;

const splitList = (text: string): readonly string[] => text.split(/[\s,]+/).filter(word => word !== "");

/** Sorts longer paths first; among equal paths, classes that name methods come before those that match any. */
const bySpecificity = (a: RequestClass, b: RequestClass): number =>
    b.path.length - a.path.length ||
    Number(a.methods.length === 0) - Number(b.methods.length === 0) ||
    (a.name < b.name ? -1 : 1);
