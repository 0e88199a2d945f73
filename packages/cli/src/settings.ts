/** Where the program finds the platform and the entry VMs: a settings file, overridden by flags. */

import { readFileSync } from "node:fs";
import { checkKeys, parseIni, type IniSection, type KeySchema } from "@bramleymoor/model/ini-file";
import { formatDiagnostic, createDiagnostic, type Diagnostic } from "@bramleymoor/model/diagnostic";
import { ValueParser } from "@bramleymoor/model/value-parser";
import { CliError } from "./exit.js";

/** What a command may need to know. */
export interface Settings {
    /** Base URL of the platform's services. */
    readonly platform: string | undefined;
    /** "IP:port" of entry VMs' operators' ports. */
    readonly entries: readonly string[];
    /** Shown to the operators' ports; never printed. */
    readonly key: string | undefined;
}

/** Flags that override the settings file. */
export interface SettingsFlags {
    /** The file; `bramleymoor.ini` in the working directory if it exists. */
    readonly settings?: string;
    readonly platform?: string;
    readonly entry?: readonly string[];
    readonly keyFile?: string;
}

/** Name of the settings file that is read without being asked for. */
export const defaultSettingsFile = "bramleymoor.ini";

/**
 * Reads the settings file and puts the flags over it.
 *
 * @throws CliError with every error found
 */
export const readSettings = (flags: SettingsFlags): Settings => {
    const file = readFile(flags);
    const given = readFlags(flags);
    const keyFile = given.keyFile ?? file.keyFile;
    return {
        platform: given.platform ?? file.platform,
        entries: given.entries.length > 0 ? given.entries : file.entries,
        key: keyFile === undefined ? undefined : readKey(keyFile),
    };
};

/** Reads a file, or tells plainly why not. */
export const readText = (path: string, what: string): string => {
    try {
        return readFileSync(path === "-" ? 0 : path, "utf8");
    } catch (err) {
        throw new CliError("usage", `The ${what} ${path} can't be read: ${reasonOf(err)}.`);
    }
};

const readKey = (path: string): string => {
    const key = readText(path, "key file").trim();
    if (key === "") {
        throw new CliError("usage", `The key file ${path} is empty.`);
    }
    return key;
};

/** Flags are held to the same rules as the file. */
const readFlags = (flags: SettingsFlags): FileSettings => {
    const line = 1;
    const entries = [
        ...(flags.platform === undefined ? [] : [{ key: "platform", value: flags.platform, line }]),
        ...(flags.entry ?? []).map(value => ({ key: "entry", value, line })),
        ...(flags.keyFile === undefined ? [] : [{ key: "key-file", value: flags.keyFile, line }]),
    ];
    const errors: Diagnostic[] = [];
    const settings = readSection({ name: "", line, entries }, errors);
    if (errors.length > 0) {
        const lines = errors.map(
            ({ found, expected, fix }) => `flags: found "${found}"; expected ${expected}. ${fix}`,
        );
        throw new CliError("usage", lines.join("\n"));
    }
    return settings;
};

interface FileSettings {
    readonly platform: string | undefined;
    readonly entries: readonly string[];
    readonly keyFile: string | undefined;
}

const keys: KeySchema = { platform: "once", entry: "repeated", "key-file": "once" };

const urlPattern = /^http:\/\/[^\s/]+$/;

const readFile = (flags: SettingsFlags): FileSettings => {
    const name = flags.settings ?? defaultSettingsFile;
    if (flags.settings === undefined && !exists(name)) {
        return { platform: undefined, entries: [], keyFile: undefined };
    }
    const file = parseIni(readText(name, "settings file"), name);
    const errors: Diagnostic[] = [...file.errors];
    const section = file.sections.find(found => found.name === "") ?? { name: "", line: 1, entries: [] };
    for (const other of file.sections) {
        errors.push(...(other === section ? checkKeys(other, keys) : [unwantedSection(other)]));
    }
    const settings = readSection(section, errors);
    if (errors.length > 0) {
        errors.sort((a, b) => a.line - b.line);
        throw new CliError("usage", errors.map(err => formatDiagnostic(name, err)).join("\n"));
    }
    return settings;
};

const unwantedSection = ({ line, name }: IniSection): Diagnostic =>
    createDiagnostic(
        line,
        `[${name}]`,
        `only ${Object.keys(keys).join(", ")}, without sections`,
        "Remove the header.",
    );

const readSection = (section: IniSection, errors: Diagnostic[]): FileSettings => {
    const read = new ValueParser(errors);
    const entries: string[] = [];
    for (const { key, value, line } of section.entries) {
        if (key === "entry") {
            const address = read.address(line, value);
            entries.push(address?.address ?? value);
        } else if (key === "platform" && !urlPattern.test(value)) {
            read.addError(line, value, "a URL such as http://192.0.2.1:7000", "Write it without a path.");
        }
    }
    const value = (key: string): string | undefined =>
        section.entries.find(entry => entry.key === key)?.value;
    return { platform: value("platform"), entries, keyFile: value("key-file") };
};

const exists = (path: string): boolean => {
    try {
        readFileSync(path);
        return true;
    } catch (err) {
        return reasonOf(err) !== noSuchFile;
    }
};

const reasonOf = (err: unknown): string => {
    const code = (err as NodeJS.ErrnoException).code ?? String(err);
    return fileReasons[code] ?? code;
};

const noSuchFile = "there is no such file";

const fileReasons: Readonly<Record<string, string>> = {
    ENOENT: noSuchFile,
    EACCES: "you may not read it",
    EISDIR: "it is a directory",
};
