/** The entry process's settings file: what may stand in it, checked key by key. */

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

/** "IP:port" taken apart. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

const greatestPort = 65_535;
/** The one key whose value no message may repeat. */
const secretKey = "key";

const endpoint = z.string().transform((text, context): Endpoint => {
    const [host = "", port = "", ...rest] = text.split(":");
    const number = /^\d{1,5}$/.test(port) ? Number(port) : greatestPort + 1;
    if (rest.length > 0 || !isIPv4(host) || number > greatestPort) {
        context.addIssue({ code: "custom", message: "an IPv4 number and a port, such as 192.0.2.7:8080" });
        return z.NEVER;
    }
    return { host, port: number };
});

const endpoints = z.string().transform((text, context): readonly string[] => {
    const parts = text.split(",").map(part => part.trim());
    if (!parts.every(part => endpoint.safeParse(part).success)) {
        const message = "IPv4 numbers and ports with commas between, such as 192.0.2.7:7280, 192.0.2.8:7280";
        context.addIssue({ code: "custom", message });
        return z.NEVER;
    }
    return parts;
});

const name = z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "a name of letters, digits, dots and dashes");

const whole = (least: number, most: number) =>
    z
        .string()
        .regex(/^\d{1,12}$/, `a whole number from ${least} to ${most}`)
        .transform(Number)
        .refine(value => value >= least && value <= most, `a whole number from ${least} to ${most}`);

const httpUrl = z.string().regex(/^http:\/\/[^\s/]+$/, "a URL such as http://192.0.2.1:7000");

const sections = {
    entry: {
        id: name,
        ordinal: whole(0, 1_023).optional(),
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
        "key-file": z.string().min(1, "the path of a file that holds the key").optional(),
        cluster: name.default("bramleymoor"),
        "most-vms": whole(1, 1_024).default(32),
        seeds: endpoints.default([]),
    },
    platform: {
        url: httpUrl.optional(),
        "retention-ms": whole(60_000, 31_536_000_000).default(604_800_000),
    },
    callers: {
        "ttl-ms": whole(100, 600_000).default(5_000),
        "ticket-ms": whole(1_000, 3_600_000).default(120_000),
        "once-entries": whole(1, 10_000_000).default(100_000),
        "most-connections": whole(1, 1_000_000).default(10_000),
        "drain-ms": whole(0, 86_400_000).default(3_600_000),
    },
    log: {
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
        format: z.enum(["json", "text"]).default("json"),
    },
} as const;

type SectionName = keyof typeof sections;

const fields = z.object({
    entry: z.object(sections.entry),
    ports: z.object(sections.ports),
    peers: z.object(sections.peers),
    platform: z.object(sections.platform),
    callers: z.object(sections.callers),
    log: z.object(sections.log),
});

type Fields = Readonly<z.infer<typeof fields>>;

const schema = fields.superRefine(({ entry, peers }, context) => {
    const most = peers["most-vms"];
    if (entry.ordinal !== undefined && entry.ordinal >= most) {
        const message = `a whole number below most-vms, which is ${most}`;
        context.addIssue({ code: "custom", path: ["entry", "ordinal"], message });
    }
});

/** Checked settings. Times are milliseconds. */
export type Settings = Omit<Fields, "entry"> & {
    /** Without an ordinal in the file it is `most-vms`: an entry VM with such an ordinal never probes. */
    readonly entry: Fields["entry"] & { readonly ordinal: number };
    readonly sharedKey: string;
};

/** The settings file can't be used; the message names file, line and key of every error. */
export class SettingsError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "SettingsError";
    }
}

/**
 * Reads and checks a settings file.
 *
 * @throws SettingsError with every error found
 */
export const readSettings = (file: string): Settings => parseSettings(readFile(file), file);

/**
 * Checks the text of a settings file.
 *
 * @param file its name, for messages
 * @throws SettingsError with every error found
 */
export const parseSettings = (text: string, file: string): Settings => {
    const ini = parseIni(text, file);
    const errors = [...ini.errors, ...ini.sections.flatMap(checkSection)];
    const checked = schema.safeParse(recordOf(ini));
    if (!checked.success) {
        errors.push(...checked.error.issues.map(issue => issueError(issue, ini)));
    }
    if (errors.length > 0 || !checked.success) {
        const sorted = [...errors].sort((a, b) => a.line - b.line);
        throw new SettingsError(sorted.map(err => formatDiagnostic(file, err)).join("\n"));
    }
    const { entry, peers } = checked.data;
    const ordinal = entry.ordinal ?? peers["most-vms"];
    return { ...checked.data, entry: { ...entry, ordinal }, sharedKey: keyOf(peers, file) };
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
        const mend = suggestFix(section.name, known, "Remove the section.");
        return [createDiagnostic(section.line, `[${section.name}]`, `a section: ${known.join(", ")}`, mend)];
    }
    const table = Object.fromEntries(Object.keys(sections[section.name]).map(key => [key, "once"]));
    return checkKeys(section, table as KeySchema);
};

const recordOf = (ini: IniFile): Readonly<Record<string, unknown>> => {
    const record: Record<string, unknown> = {};
    for (const known of Object.keys(sections)) {
        const entries = ini.sections.find(section => section.name === known)?.entries ?? [];
        record[known] = Object.fromEntries(entries.map(({ key, value }) => [key, value]));
    }
    return record;
};

const issueError = (issue: z.core.$ZodIssue, ini: IniFile): Diagnostic => {
    const [sectionName, key] = issue.path.map(String);
    const section = ini.sections.find(one => one.name === sectionName);
    const entry = section?.entries.find(one => one.key === key);
    if (!entry) {
        const mend = `Add the line "${key} = ..." to the section [${sectionName}].`;
        return createDiagnostic(
            section?.line ?? 1,
            `[${sectionName}] without ${key}`,
            `the key ${key}`,
            mend,
        );
    }
    const mend = `Change the value of ${key} in [${sectionName}].`;
    const shown = entry.key === secretKey ? entry.key : `${entry.key} = ${entry.value}`;
    return createDiagnostic(entry.line, shown, issue.message, mend);
};

const keyOf = (peers: Fields["peers"], file: string): string => {
    const keyFile = peers["key-file"];
    if ((peers.key === undefined) === (keyFile === undefined)) {
        throw new SettingsError(`${file}: [peers] wants exactly one of key and key-file.`);
    }
    const key = peers.key ?? readFile(keyFile ?? "").trim();
    if (key.length < SharedKey.minLength) {
        throw new SettingsError(`${keyFile}: the key has fewer than ${SharedKey.minLength} characters.`);
    }
    return key;
};
