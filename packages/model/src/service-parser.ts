/** Reads one service of the operators' text: its own section and its classes' sections. */

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

/** Reads a service; every error found is added to a list. */
export class ServiceParser {
    readonly #errors: Diagnostic[];
    readonly #read: ValueParser;

    /**
     * @param errors where errors are added
     */
    constructor(errors: Diagnostic[]) {
        this.#errors = errors;
        this.#read = new ValueParser(errors);
    }

    /**
     * Reads a service. What is returned is only to be used if no error was added.
     *
     * @param name the service's name
     * @param section its section
     * @param classes its classes' sections
     */
    parse(name: string, section: IniSection, classes: readonly IniSection[]): Service {
        this.#errors.push(...checkKeys(section, serviceKeys));
        this.#read.name(section.line, "a service's name", name);
        const entry = (key: string): IniEntry | undefined => section.entries.find(found => found.key === key);
        const share = (key: string, otherwise: number): number => {
            const found = entry(key);
            return (found && this.#read.fraction(found)) ?? otherwise;
        };
        const queue = entry("queue-limit");
        const queueLimit = queue && this.#read.integer(queue.line, queue.key, queue.value, 1, maxQueueLimit);
        return {
            name,
            dependsOn: this.#dependsOn(section),
            servers: this.#servers(section),
            classes: this.#classes(classes),
            chooser: this.#chooser(entry("chooser")),
            queueLimit: queueLimit ?? serviceDefaults.queueLimit,
            probeBudget: share("probe-budget", serviceDefaults.probeBudget),
            retryBudget: share("retry-budget", serviceDefaults.retryBudget),
            hedgeBudget: share("hedge-budget", serviceDefaults.hedgeBudget),
            ejectShare: share("eject-share", serviceDefaults.ejectShare),
        };
    }

    #dependsOn(section: IniSection): readonly string[] {
        const names = new Set<string>();
        for (const { key, value, line } of section.entries) {
            for (const word of key === "depends-on" ? words(value) : []) {
                if (names.has(word)) {
                    this.#read.addError(line, word, "each service once", `Remove "${word}" from the line.`);
                }
                names.add(word);
            }
        }
        return [...names];
    }

    #chooser(entry: IniEntry | undefined): ChooserName {
        const [first] = chooserNames as readonly [ChooserName];
        if (!entry) {
            return first;
        }
        const found = chooserNames.find(chooser => chooser === entry.value);
        const mend = suggestFix(entry.value, chooserNames, `Remove the line, and "${first}" is taken.`);
        return found ?? this.#read.addError(entry.line, entry.value, chooserNames.join(", "), mend) ?? first;
    }

    #servers(section: IniSection): readonly BackendServer[] {
        const lines = section.entries.filter(entry => entry.key === "server");
        const servers = new Map<string, BackendServer>();
        if (lines.length === 0) {
            const mend = "Add a line such as server = 192.0.2.10:8080.";
            this.#read.addError(section.line, `[${section.name}]`, "at least one backend server", mend);
        }
        if (lines.length > maxServers) {
            const wanted = `at most ${maxServers} backend servers in a service`;
            this.#read.addError(
                section.line,
                `${lines.length} servers`,
                wanted,
                "Split the service into two.",
            );
        }
        for (const entry of lines) {
            const server = this.#server(entry);
            if (server && servers.has(server.address)) {
                const mend = "Remove one of the lines, or correct its address.";
                this.#read.addError(
                    entry.line,
                    server.address,
                    "each backend server once in a service",
                    mend,
                );
            } else if (server) {
                servers.set(server.address, server);
            }
        }
        return [...servers.values()];
    }

    #server({ value, line }: IniEntry): BackendServer | undefined {
        const [place = "", ...options] = value.trim().split(/\s+/);
        const address = this.#read.address(line, place);
        const found = new Map<string, string>();
        for (const option of options) {
            this.#option(option, line, found);
        }
        const number = (key: "slots" | "connections", most: number): number => {
            const text = found.get(key);
            const read = text === undefined ? undefined : this.#read.integer(line, key, text, 1, most);
            return read ?? serviceDefaults[key];
        };
        const domain = found.get("domain") ?? serviceDefaults.domain;
        this.#read.name(line, "a failure domain's name", domain);
        const slots = number("slots", maxSlots);
        const connections = number("connections", maxConnections);
        if (connections < slots) {
            const read = `slots=${slots} connections=${connections}`;
            this.#read.addError(line, read, "at least as many connections as slots", "Raise connections.");
        }
        return address && { ...address, domain, slots, connections, leaving: found.has("leaving") };
    }

    #option(option: string, line: number, found: Map<string, string>): void {
        const at = option.indexOf("=");
        const key = at < 0 ? option : option.slice(0, at);
        const isFlag = key === "leaving";
        if (!serverOptions.includes(key) || isFlag !== at < 0) {
            const wanted = `after the address only ${serverOptions.map(optionForm).join(", ")}`;
            const like = serverOptions.find(name => name === key) ?? "";
            const mend =
                like === "" ? suggestFix(key, serverOptions, "Remove it.") : `Write ${optionForm(like)}.`;
            this.#read.addError(line, option, wanted, mend);
        } else if (found.has(key)) {
            this.#read.addError(line, option, `${key} once`, "Remove one of the two.");
        } else {
            found.set(key, option.slice(at + 1));
        }
    }

    #classes(sections: readonly IniSection[]): readonly RequestClass[] {
        if (sections.length > maxClasses) {
            const read = `${sections.length} classes`;
            const wanted = `at most ${maxClasses} classes in a service`;
            this.#read.addError(sections[0]?.line ?? 1, read, wanted, "Remove some of them.");
        }
        const own = sections.map(section => this.#class(section));
        const named = (standard: RequestClass): RequestClass =>
            own.find(found => found.name === standard.name) ?? standard;
        const special = own.filter(found => !standardNames.has(found.name)).sort(bySpecificity);
        return [...special, ...builtInClasses.map(named)];
    }

    #class(section: IniSection): RequestClass {
        this.#errors.push(...checkKeys(section, classKeys));
        const name = section.name.slice(section.name.indexOf("/") + 1);
        this.#read.name(section.line, "a class's name", name);
        const entry = (key: string): IniEntry | undefined => section.entries.find(found => found.key === key);
        const standard = builtInClasses.find(found => found.name === name);
        const path = entry("path");
        const methods = entry("methods");
        if (standard) {
            this.#refuseFixed(name, [path, methods]);
        }
        const idempotent = entry("idempotent");
        const priority = entry("priority");
        const deadline = entry("deadline");
        return {
            name,
            methods: standard?.methods ?? this.#methods(methods),
            path: this.#path(path),
            idempotent: (idempotent && this.#read.boolean(idempotent)) ?? standard?.idempotent ?? false,
            priority:
                (priority && this.#read.integer(priority.line, "priority", priority.value, 0, maxPriority)) ??
                serviceDefaults.priority,
            deadlineMs:
                (deadline && this.#read.duration(deadline, 1, maxDeadlineMs)) ?? serviceDefaults.deadlineMs,
        };
    }

    #refuseFixed(name: string, entries: readonly (IniEntry | undefined)[]): void {
        for (const fixed of entries) {
            if (fixed) {
                const wanted = `no ${fixed.key} in the standard class "${name}", which takes what no other class takes`;
                this.#read.addError(fixed.line, fixed.key, wanted, "Give the class another name.");
            }
        }
    }

    #methods(entry: IniEntry | undefined): readonly string[] {
        const methods = words(entry?.value ?? "");
        for (const method of methods) {
            if (entry && !knownMethods.includes(method)) {
                const mend = suggestFix(method.toUpperCase(), knownMethods, "Remove it.");
                this.#read.addError(entry.line, method, `methods out of ${knownMethods.join(", ")}`, mend);
            }
        }
        return methods;
    }

    #path(entry: IniEntry | undefined): string {
        if (entry && !pathPattern.test(entry.value)) {
            const wanted = "the beginning of a path, such as /departures, without query";
            this.#read.addError(entry.line, entry.value, wanted, 'Begin it with "/".');
        }
        return entry?.value ?? "/";
    }
}

/** Most backend servers in one service. */
export const maxServers = 2_000;

/** Most classes in one service. */
export const maxClasses = 64;

/** Most requests that a service may queue in one entry VM. */
export const maxQueueLimit = 100_000;

/** Most slots of one backend server. */
export const maxSlots = 10_000;

/** Most connections of one backend server. */
export const maxConnections = 100_000;

/** Least urgent priority. */
export const maxPriority = 9;

/** Longest deadline of a class: a day. */
export const maxDeadlineMs = 86_400_000;

/** What holds where the text says nothing. */
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

/** The classes of every service, which take what no class of the text takes. */
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

const standardNames: ReadonlySet<string> = new Set(builtInClasses.map(standard => standard.name));

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

const optionForm = (name: string): string => (name === "leaving" ? name : `${name}=...`);

const knownMethods: readonly string[] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

const pathPattern = /^\/[A-Za-z0-9/._~%!$&()*+,:@-]*$/;

const words = (text: string): readonly string[] => text.split(/[\s,]+/).filter(word => word !== "");

/** The longest path goes first, and named methods go before any method. */
const bySpecificity = (a: RequestClass, b: RequestClass): number =>
    b.path.length - a.path.length ||
    Number(a.methods.length === 0) - Number(b.methods.length === 0) ||
    (a.name < b.name ? -1 : 1);
