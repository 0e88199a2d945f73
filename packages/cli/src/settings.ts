/** Settings of the operators' program: a settings file, overridden by flags. */

import { readFileSync } from "node:fs";
import { checkKeys, parseIni, type IniSection, type KeySchema } from "@bramleymoor/model/ini-file";
import { formatDiagnostic, createDiagnostic, type Diagnostic } from "@bramleymoor/model/diagnostic";
import { ValueParser } from "@bramleymoor/model/value-parser";
import { CliError } from "./exit.js";

/** Settings after the flags are applied. */
export interface Settings {
    /** Base URL of the platform's services. */
    readonly platform: string | undefined;
    /** "IP:port" of the entry VMs' operators' ports. */
    readonly entryAddresses: readonly string[];
    /** Bearer token for the operators' ports; never printed. */
    readonly key: string | undefined;
}

/** Flags that override the settings file. */
export interface SettingsFlags {
    /** Path of the file; by default `bramleymoor.ini` in the working directory, if it exists. */
    readonly settings?: string;
    readonly platform?: string;
    readonly entry?: readonly string[];
    readonly keyFile?: string;
}

/** Settings file that is read if no flag names one. */
export const defaultSettingsFile = "bramleymoor.ini";

/**
 * Reads the settings file and applies the flags over it.
 *
 * @throws CliError with every error found
 */
export const readSettings = (flags: SettingsFlags): Settings => {
    const file = readSettingsFile(flags);
    const fromFlags = readFlags(flags);
    const keyFile = fromFlags.keyFile ?? file.keyFile;
    return {
        platform: fromFlags.platform ?? file.platform,
        entryAddresses: fromFlags.entryAddresses.length > 0 ? fromFlags.entryAddresses : file.entryAddresses,
        key: keyFile === undefined ? undefined : readKey(keyFile),
    };
};

/**
 * Reads a text file, or standard input if the path is "-".
 *
 * @param what kind of file, for the error message
 * @throws CliError if it can't be read
 */
export const readTextFile = (path: string, what: string): string => {
    try {
        return readFileSync(path === "-" ? 0 : path, "utf8");
    } catch (err) {
        throw new CliError("usage", `The ${what} ${path} can't be read: ${describeFileError(err)}.`);
    }
};

const readKey = (path: string): string => {
    const key = readTextFile(path, "key file").trim();
    if (key === "") {
        throw new CliError("usage", `The key file ${path} is empty.`);
    }
    return key;
};

/** Validates the flags by the same rules as the settings file. */
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
    readonly entryAddresses: readonly string[];
    readonly keyFile: string | undefined;
}

const settingsKeys: KeySchema = { platform: "once", entry: "repeated", "key-file": "once" };

const urlPattern = /^http:\/\/[^\s/]+$/;

const readSettingsFile = (flags: SettingsFlags): FileSettings => {
    const name = flags.settings ?? defaultSettingsFile;
    if (flags.settings === undefined && !exists(name)) {
        return { platform: undefined, entryAddresses: [], keyFile: undefined };
    }
    const file = parseIni(readTextFile(name, "settings file"), name);
    const errors: Diagnostic[] = [...file.errors];
    const section = file.sections.find(found => found.name === "") ?? { name: "", line: 1, entries: [] };
    for (const other of file.sections) {
        errors.push(...(other === section ? checkKeys(other, settingsKeys) : [sectionNotAllowed(other)]));
    }
    const settings = readSection(section, errors);
    if (errors.length > 0) {
        errors.sort((a, b) => a.line - b.line);
        throw new CliError("usage", errors.map(err => formatDiagnostic(name, err)).join("\n"));
    }
    return settings;
};

const sectionNotAllowed = ({ line, name }: IniSection): Diagnostic =>
    createDiagnostic(
        line,
        `[${name}]`,
        `only ${Object.keys(settingsKeys).join(", ")}, without sections`,
        "Remove the section header.",
    );

const readSection = (section: IniSection, errors: Diagnostic[]): FileSettings => {
    const parser = new ValueParser(errors);
    const entryAddresses: string[] = [];
    for (const { key, value, line } of section.entries) {
        if (key === "entry") {
            const address = parser.address(line, value);
            entryAddresses.push(address?.address ?? value);
        } else if (key === "platform" && !urlPattern.test(value)) {
            parser.addError(line, value, "a URL such as http://192.0.2.1:7000", "Write it without a path.");
        }
    }
    const value = (key: string): string | undefined =>
        section.entries.find(entry => entry.key === key)?.value;
    return { platform: value("platform"), entryAddresses, keyFile: value("key-file") };
};

const exists = (path: string): boolean => {
    try {
        readFileSync(path);
        return true;
    } catch (err) {
        return describeFileError(err) !== noSuchFile;
    }
};

const describeFileError = (err: unknown): string => {
    const code = (err as NodeJS.ErrnoException).code ?? String(err);
    return fileErrorDescriptions[code] ?? code;
};

const noSuchFile = "there is no such file";

const fileErrorDescriptions: Readonly<Record<string, string>> = {
    ENOENT: noSuchFile,
    EACCES: "permission denied",
    EISDIR: "it is a directory",
};
