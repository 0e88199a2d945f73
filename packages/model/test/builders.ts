/** Config texts for tests. */

import { parseConfig } from "../src/parser.js";
import type { ParsedDocument } from "../src/parser.js";
import type { Diagnostic } from "../src/diagnostic.js";

/** The shortest valid config text. */
export const smallest = "[service stops-lookup]\nserver = 192.0.2.10:8080\n";

/** Parses a text; throws if it is invalid. */
export const parseValid = (text: string): ParsedDocument => {
    const parsed = parseConfig(text);
    if (!parsed.ok) {
        throw new Error(parsed.errors.map(err => err.message).join("\n"));
    }
    return parsed;
};

/** Parses a text and returns its errors; throws if it is valid. */
export const errorsOf = (text: string): readonly Diagnostic[] => {
    const parsed = parseConfig(text);
    if (parsed.ok) {
        throw new Error("the text was accepted");
    }
    return parsed.errors;
};

/** Returns a text of `count` services, each with `servers` backend servers and one class. */
export const largeText = (count: number, servers: number): string => {
    const lines: string[] = [];
    for (let i = 0; i < count; i++) {
        lines.push(`[service service-${i}]`, `depends-on = ${i % 4 === 0 ? "" : `service-${i - 1}`}`);
        for (let j = 0; j < servers; j++) {
            lines.push(`server = 10.${i >> 8}.${i & 255}.${j + 1}:8080 domain=domain-${j % 7} slots=2`);
        }
        lines.push(`[class service-${i}/orders]`, "path = /orders", "deadline = 2s");
    }
    return lines.join("\n");
};
