/** Reads and checks the settings file of the entry process. */

import { readFileSync } from "node:fs";
import { isIPv4 } from "node:net";
import {
    checkKeys,
    parseIni,
    type IniFile,
    type IniSection,
    type KeySchema,
} from "@bramleymoor/model/ini-file";
import {
    formatDiagnostic,
    suggestFix,
    createDiagnostic,
    type Diagnostic,
} from "@bramleymoor/model/diagnostic";
import * as z from "zod";
import { SharedKey } from "./sharedkey.js";

/** Host and port of an "IP:port". */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

const maxPort = 65_535;
/** The key whose value must not appear in messages. */
const secretKey = "key";

const endpoint = z.string().transform((text, context): Endpoint => {
    const [host = "", port = "", ...rest] = text.split(":");
    const number = /^\d{1,5}$/.test(port) ? Number(port) : maxPort + 1;
    if (rest.length > 0 || !isIPv4(host) || number > maxPort) {
        context.addIssue({ code: "custom", message: "an IPv4 address and a port, such as 192.0.2.7:8080" });
        return z.NEVER;
    }
    return { host, port: number };
});

const endpointList = z.string().transform((text, context): readonly string[] => {
    const parts = text.split(",").map(part => part.trim());
    if (!parts.every(part => endpoint.safeParse(part).success)) {
        const message =
            "IPv4 addresses and ports, separated by commas, such as 192.0.2.7:7280, 192.0.2.8:7280";
        context.addIssue({ code: "custom", message });
        return z.NEVER;
    }
    return parts;
});

const name = z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "a name of letters, digits, dots, underscores and dashes");

const wholeNumber = (min: number, max: number) =>
    z
        .string()
        .regex(/^\d{1,12}$/, `a whole number from ${min} to ${max}`)
        .transform(Number)
        .refine(value => value >= min && value <= max, `a whole number from ${min} to ${max}`);

const httpUrl = z.string().regex(/^http:\/\/[^\s/]+$/, "a URL such as http://192.0.2.1:7000");

const sections = {
    entry: {
        id: name,
        ordinal: wholeNumber(0, 1_023).optional(),
        region: name.default("default"),
        domain: name.default("default"),
    },
    ports: {
        callers: endpoint,
        operators: endpoint,
        peers: endpoint,
    },
    peers: {
        key: z.string().min(SharedKey.minLength, `at least ${SharedKey.minLength} characters`).optional(),
        "key-file": z.string().min(1, "the path of a file that contains the key").optional(),
        cluster: name.default("bramleymoor"),
        "most-vms": wholeNumber(1, 1_024).default(32),
        seeds: endpointList.default([]),
    },
    platform: {
        url: httpUrl.optional(),
        "retention-ms": wholeNumber(60_000, 31_536_000_000).default(604_800_000),
    },
    callers: {
        "ttl-ms": wholeNumber(100, 600_000).default(5_000),
        "ticket-ms": wholeNumber(1_000, 3_600_000).default(120_000),
        "once-entries": wholeNumber(1, 10_000_000).default(100_000),
        "most-connections": wholeNumber(1, 1_000_000).default(10_000),
        "drain-ms": wholeNumber(0, 86_400_000).default(3_600_000),
    },
    log: {
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
        format: z.enum(["json", "text"]).default("json"),
    },
} as const;

type SectionName = keyof typeof sections;

const settingsObject = z.object({
    entry: z.object(sections.entry),
    ports: z.object(sections.ports),
    peers: z.object(sections.peers),
    platform: z.object(sections.platform),
    callers: z.object(sections.callers),
    log: z.object(sections.log),
});

type ParsedSettings = Readonly<z.infer<typeof settingsObject>>;

const settingsSchema = settingsObject.superRefine(({ entry, peers }, context) => {
    const max = peers["most-vms"];
    if (entry.ordinal !== undefined && entry.ordinal >= max) {
        const message = `a whole number below most-vms, which is ${max}`;
        context.addIssue({ code: "custom", path: ["entry", "ordinal"], message });
    }
});

/** Checked settings. Times are in milliseconds. */
export type Settings = Omit<ParsedSettings, "entry"> & {
    /** The ordinal defaults to `most-vms`; an entry VM with this ordinal never probes. */
    readonly entry: ParsedSettings["entry"] & { readonly ordinal: number };
    /** The key itself, from `key` or `key-file`. */
    readonly sharedKey: string;
    /** Where the addresses to listen on are set: "[ports] NAME, FILE:LINE". */
    readonly portSources: Readonly<Record<keyof ParsedSettings["ports"], string>>;
};

/** Thrown for an invalid settings file; the message has one line for each error, with file, line number and key. */
export class SettingsError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "SettingsError";
    }
}

/**
 * Reads and checks a settings file.
 *
 * @throws SettingsError that lists every error found
 */
export const readSettings = (file: string): Settings => parseSettings(readFile(file), file);

/**
 * Checks the text of a settings file.
 *
 * @param file name of the file, for messages
 * @throws SettingsError that lists every error found
 */
export const parseSettings = (text: string, file: string): Settings => {
    const ini = parseIni(text, file);
    const errors = [...ini.errors, ...ini.sections.flatMap(checkSection)];
    const checked = settingsSchema.safeParse(toRecord(ini));
    if (!checked.success) {
        errors.push(...checked.error.issues.map(issue => toDiagnostic(issue, ini)));
    }
    if (errors.length > 0 || !checked.success) {
        const sorted = [...errors].sort((a, b) => a.line - b.line);
        throw new SettingsError(sorted.map(err => formatDiagnostic(file, err)).join("\n"));
    }
    const { entry, peers } = checked.data;
    const ordinal = entry.ordinal ?? peers["most-vms"];
    return {
        ...checked.data,
        entry: { ...entry, ordinal },
        sharedKey: resolveSharedKey(peers, file),
        portSources: findPortSources(ini),
    };
};

/**
 * Returns which settings name an address "IP:port", with file and line. An address whose port the system chose is found by
 * port 0.
 */
export const findPortSetting = ({ ports, portSources }: Settings, address: string): string => {
    const names = Object.keys(ports) as (keyof Settings["ports"])[];
    const format = (name: keyof Settings["ports"]): string => `${ports[name].host}:${ports[name].port}`;
    const exact = names.filter(name => format(name) === address);
    const anyPort = names.filter(name => format(name) === address.replace(/:\d+$/, ":0"));
    return (exact.length > 0 ? exact : anyPort).map(name => portSources[name]).join("; ");
};

const findPortSources = ({ sections: parsed, file }: IniFile): Settings["portSources"] => {
    const entries = parsed.find(section => section.name === "ports")?.entries ?? [];
    const sourceOf = (name: string): string =>
        `[ports] ${name}, ${file}:${entries.find(entry => entry.key === name)?.line}`;
    return {
        callers: sourceOf("callers"),
        operators: sourceOf("operators"),
        peers: sourceOf("peers"),
    };
};

const readFile = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    } catch (err) {
        throw new SettingsError(
            `${file}: can't be read: ${(err as NodeJS.ErrnoException).code ?? String(err)}`,
        );
    }
};

const isSectionName = (text: string): text is SectionName => Object.hasOwn(sections, text);

const checkSection = (section: IniSection): readonly Diagnostic[] => {
    const known = Object.keys(sections);
    if (!isSectionName(section.name)) {
        const fix = suggestFix(section.name, known, "Remove the section.");
        return [
            createDiagnostic(
                section.line,
                `[${section.name}]`,
                `one of the sections ${known.join(", ")}`,
                fix,
            ),
        ];
    }
    const schema = Object.fromEntries(Object.keys(sections[section.name]).map(key => [key, "once"]));
    return checkKeys(section, schema as KeySchema);
};

const toRecord = (ini: IniFile): Readonly<Record<string, unknown>> => {
    const record: Record<string, unknown> = {};
    for (const known of Object.keys(sections)) {
        const entries = ini.sections.find(section => section.name === known)?.entries ?? [];
        record[known] = Object.fromEntries(entries.map(({ key, value }) => [key, value]));
    }
    return record;
};

const toDiagnostic = (issue: z.core.$ZodIssue, ini: IniFile): Diagnostic => {
    const [sectionName, key] = issue.path.map(String);
    const section = ini.sections.find(it => it.name === sectionName);
    const entry = section?.entries.find(it => it.key === key);
    if (!entry) {
        const fix = `Add the line "${key} = ..." to the section [${sectionName}].`;
        return createDiagnostic(section?.line ?? 1, `[${sectionName}] without ${key}`, `the key ${key}`, fix);
    }
    const fix = `Change the value of ${key} in [${sectionName}].`;
    const shown = entry.key === secretKey ? entry.key : `${entry.key} = ${entry.value}`;
    return createDiagnostic(entry.line, shown, issue.message, fix);
};

const resolveSharedKey = (peers: ParsedSettings["peers"], file: string): string => {
    const keyFile = peers["key-file"];
    if ((peers.key === undefined) === (keyFile === undefined)) {
        throw new SettingsError(`${file}: [peers] requires exactly one of key and key-file.`);
    }
    const key = peers.key ?? readFile(keyFile ?? "").trim();
    if (key.length < SharedKey.minLength) {
        throw new SettingsError(`${keyFile}: the key has fewer than ${SharedKey.minLength} characters.`);
    }
    return key;
};
