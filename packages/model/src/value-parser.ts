/** Parses the values of keys: names, numbers, durations and addresses. */

import { SocketAddress, isIPv4, isIPv6 } from "node:net";
import { isPrototypeKey, type IniEntry } from "./ini-file.js";
import { createDiagnostic, type Diagnostic } from "./diagnostic.js";

/** Parses values and collects errors. The methods return `undefined` for an invalid value and add an error. */
export class ValueParser {
    readonly #errors: Diagnostic[];

    /**
     * @param errors list to which errors are added
     */
    constructor(errors: Diagnostic[]) {
        this.#errors = errors;
    }

    /** Adds an error; returns `undefined`, so that callers can return the result. */
    addError(line: number, found: string, expected: string, fix: string): undefined {
        this.#errors.push(createDiagnostic(line, found, expected, fix));
        return undefined;
    }

    /** Parses an integer from `min` to `max`. */
    integer(line: number, key: string, text: string, min: number, max: number): number | undefined {
        const value = /^\d{1,9}$/.test(text) ? Number(text) : NaN;
        if (value >= min && value <= max) {
            return value;
        }
        const expected = `${key} as a whole number from ${min} to ${max}`;
        return this.addError(line, text, expected, `Write ${key} = ${min} or another number in that range.`);
    }

    /** Parses a fraction from 0 to 1, written as "0.002" or "0.2%". */
    fraction(entry: IniEntry): number | undefined {
        const match = /^(\d{1,3}(?:\.\d{1,6})?)(%?)$/.exec(entry.value);
        const value = match ? Number(match[1]) / (match[2] === "%" ? 100 : 1) : NaN;
        if (value >= 0 && value <= 1) {
            return value;
        }
        const expected = `${entry.key} as a share from 0 to 1, or from 0% to 100%`;
        return this.addError(
            entry.line,
            entry.value,
            expected,
            `Write ${entry.key} = 0.02 or ${entry.key} = 2%.`,
        );
    }

    /** Parses a duration with a unit; returns milliseconds. */
    duration(entry: IniEntry, minMs: number, maxMs: number): number | undefined {
        const match = /^(\d{1,9}) ?(ms|s|min|h)$/.exec(entry.value);
        const value = match ? Number(match[1]) * unitMs[match[2] as keyof typeof unitMs] : NaN;
        if (value >= minMs && value <= maxMs) {
            return value;
        }
        const expected = `${entry.key} as a whole number with a unit (ms, s, min, h) from ${minMs} ms to ${maxMs} ms`;
        return this.addError(entry.line, entry.value, expected, `Write ${entry.key} = 10s, for example.`);
    }

    /** Parses "yes" or "no". */
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

    /**
     * Parses the name of a service, class or failure domain.
     *
     * @param what what is named, for the error
     */
    name(line: number, what: string, text: string): string | undefined {
        if (namePattern.test(text) && !isPrototypeKey(text)) {
            return text;
        }
        const expected = `${what} of lower-case letters, digits and "-" that begins with a letter and has at most ${maxNameLength} characters`;
        return this.addError(line, text, expected, `Rename it, for example to "${toValidName(text)}".`);
    }

    /** Parses "IP:port", with an IPv6 address in brackets. Host names are rejected. */
    address(line: number, text: string): Endpoint | undefined {
        const match = /^(?:\[([0-9a-fA-F:.]+)\]|([^[\]\s]+)):(\d{1,5})$/.exec(text);
        if (!match) {
            const expected = "an IP address and a port, such as 192.0.2.10:8080 or [2001:db8::1]:8080";
            return this.addError(line, text, expected, "Write both, with a colon between them.");
        }
        const host = match[1] ?? match[2] ?? "";
        const port = this.integer(line, "port", match[3] ?? "", 1, maxPort);
        if (!isUnicastHost(host, match[1] !== undefined)) {
            const expected = "the IP address of one machine; host names are not resolved";
            return this.addError(
                line,
                text,
                expected,
                `Replace "${host.slice(0, maxNameLength)}" with its IP address.`,
            );
        }
        return port === undefined ? undefined : toEndpoint(host, port);
    }
}

/** An IP address and a port. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
    /** "IP:port", with an IPv6 address in brackets and in its shortest form. */
    readonly address: string;
}

/** Maximum length of the name of a service, class or failure domain, in characters. */
export const maxNameLength = 63;

/** Highest TCP port. */
export const maxPort = 65_535;

const namePattern = /^[a-z][a-z0-9-]{0,62}$/;

const unitMs = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 } as const;

/** IPv4 addresses whose first byte is this or higher are multicast or reserved and belong to no single host. */
const firstMulticastByte = 224;

const isUnicastHost = (host: string, bracketed: boolean): boolean => {
    if (bracketed) {
        return isIPv6(host) && host !== "::" && !/^ff/i.test(host);
    }
    const firstByte = Number(host.split(".")[0]);
    return isIPv4(host) && firstByte > 0 && firstByte < firstMulticastByte;
};

const toEndpoint = (host: string, port: number): Endpoint => {
    if (isIPv4(host)) {
        return { host, port, address: `${host}:${port}` };
    }
    const shortest = new SocketAddress({ address: host, port, family: "ipv6" }).address;
    return { host: shortest, port, address: `[${shortest}]:${port}` };
};

/** Returns a valid name that resembles a text. */
const toValidName = (text: string): string => {
    const word = text
        .toLowerCase()
        .replaceAll(/[^a-z0-9]+/g, "-")
        .replaceAll(/^[^a-z]+|-+$/g, "");
    return word.slice(0, maxNameLength) || "a-name";
};
