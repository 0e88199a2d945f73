/** Reads the values of single keys: names, numbers with units, addresses. */

import { SocketAddress, isIPv4, isIPv6 } from "node:net";
import { isPrototypeKey, type IniEntry } from "./ini-file.js";
import { createDiagnostic, type Diagnostic } from "./diagnostic.js";

/** Collects errors and reads values; a value that can't be read gives `undefined` and an error. */
export class ValueParser {
    readonly #errors: Diagnostic[];

    /**
     * @param errors where errors are added
     */
    constructor(errors: Diagnostic[]) {
        this.#errors = errors;
    }

    /** Adds an error; gives `undefined` for the caller to return. */
    addError(line: number, read: string, wanted: string, mend: string): undefined {
        this.#errors.push(createDiagnostic(line, read, wanted, mend));
        return undefined;
    }

    /** A whole number of `from` to `to`. */
    integer(line: number, key: string, text: string, from: number, to: number): number | undefined {
        const value = /^\d{1,9}$/.test(text) ? Number(text) : NaN;
        if (value >= from && value <= to) {
            return value;
        }
        const wanted = `${key} as a whole number from ${from} to ${to}`;
        return this.addError(line, text, wanted, `Write ${key} = ${from} or another number of that range.`);
    }

    /** A share, as "0.002" or "0.2%". */
    fraction(entry: IniEntry): number | undefined {
        const match = /^(\d{1,3}(?:\.\d{1,6})?)(%?)$/.exec(entry.value);
        const value = match ? Number(match[1]) / (match[2] === "%" ? 100 : 1) : NaN;
        if (value >= 0 && value <= 1) {
            return value;
        }
        const wanted = `${entry.key} as a share from 0 to 1, or from 0% to 100%`;
        return this.addError(
            entry.line,
            entry.value,
            wanted,
            `Write ${entry.key} = 0.02 or ${entry.key} = 2%.`,
        );
    }

    /** A time with its unit, in milliseconds. */
    duration(entry: IniEntry, fromMs: number, toMs: number): number | undefined {
        const match = /^(\d{1,9}) ?(ms|s|min|h)$/.exec(entry.value);
        const value = match ? Number(match[1]) * unitMs[match[2] as keyof typeof unitMs] : NaN;
        if (value >= fromMs && value <= toMs) {
            return value;
        }
        const wanted = `${entry.key} as a whole number with a unit (ms, s, min, h) from ${fromMs} ms to ${toMs} ms`;
        return this.addError(entry.line, entry.value, wanted, `Write ${entry.key} = 10s, for example.`);
    }

    /** "yes" or "no". */
    boolean(entry: IniEntry): boolean | undefined {
        if (entry.value === "yes" || entry.value === "no") {
            return entry.value === "yes";
        }
        return this.addError(
            entry.line,
            entry.value,
            `${entry.key} = yes or no`,
            `Write ${entry.key} = yes.`,
        );
    }

    /** A name of a service, class or failure domain. */
    name(line: number, what: string, text: string): string | undefined {
        if (namePattern.test(text) && !isPrototypeKey(text)) {
            return text;
        }
        const wanted = `${what} of lower-case letters, digits and "-", a letter first, at most ${maxNameLength} long`;
        return this.addError(line, text, wanted, `Rename it, such as "${tidied(text)}".`);
    }

    /** "IP:port", IPv6 in brackets; host names are refused. */
    address(line: number, text: string): Endpoint | undefined {
        const match = /^(?:\[([0-9a-fA-F:.]+)\]|([^[\]\s]+)):(\d{1,5})$/.exec(text);
        if (!match) {
            const wanted = "an IP number and a port, such as 192.0.2.10:8080 or [2001:db8::1]:8080";
            return this.addError(line, text, wanted, "Write both, with a colon between them.");
        }
        const host = match[1] ?? match[2] ?? "";
        const port = this.integer(line, "port", match[3] ?? "", 1, maxPort);
        if (!isUsable(host, match[1] !== undefined)) {
            const wanted = "the IP number of one machine; names are not looked up";
            return this.addError(
                line,
                text,
                wanted,
                `Replace "${host.slice(0, maxNameLength)}" by its IP number.`,
            );
        }
        return port === undefined ? undefined : addressOf(host, port);
    }
}

/** An IP number with a port. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
    /** "IP:port", IPv6 in brackets and in its shortest form. */
    readonly address: string;
}

/** Longest name of a service, class or failure domain, in characters. */
export const maxNameLength = 63;

/** Highest port. */
export const maxPort = 65_535;

const namePattern = /^[a-z][a-z0-9-]{0,62}$/;

const unitMs = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 } as const;

/** First byte from which on IPv4 numbers name no single machine. */
const firstMulticastByte = 224;

const isUsable = (host: string, bracketed: boolean): boolean => {
    if (bracketed) {
        return isIPv6(host) && host !== "::" && !/^ff/i.test(host);
    }
    const firstByte = Number(host.split(".")[0]);
    return isIPv4(host) && firstByte > 0 && firstByte < firstMulticastByte;
};

const addressOf = (host: string, port: number): Endpoint => {
    if (isIPv4(host)) {
        return { host, port, address: `${host}:${port}` };
    }
    const shortest = new SocketAddress({ address: host, port, family: "ipv6" }).address;
    return { host: shortest, port, address: `[${shortest}]:${port}` };
};

const tidied = (text: string): string => {
    const word = text
        .toLowerCase()
        .replaceAll(/[^a-z0-9]+/g, "-")
        .replaceAll(/^[^a-z]+|-+$/g, "");
    return word.slice(0, maxNameLength) || "a-name";
};
