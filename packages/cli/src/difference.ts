/** Formats the difference between two versions of the operators' configuration. */

import type { ConfigDocument } from "@bramleymoor/model/document";
import type { Terminal } from "./terminal.js";

/** Returns the lines of the difference, section by section; none if the documents are equal. */
export const formatDifference = (
    from: ConfigDocument,
    to: ConfigDocument,
    terminal: Terminal,
): readonly string[] => {
    const change = from.diff(to);
    const names = [...change.remove, ...change.set.map(section => section.name)].sort();
    return names.flatMap(name =>
        formatSection(name, from.section(name)?.body, to.section(name)?.body, terminal),
    );
};

const formatSection = (
    name: string,
    before: string | undefined,
    after: string | undefined,
    terminal: Terminal,
): readonly string[] => {
    const minus = (line: string): string => terminal.style("bad", `- ${line}`);
    const plus = (line: string): string => terminal.style("good", `+ ${line}`);
    const header = `[${name}]`;
    if (before === undefined || after === undefined) {
        const format = before === undefined ? plus : minus;
        return [header, ...splitLines(before ?? after ?? "")].map(format);
    }
    const removed = linesMissingFrom(splitLines(before), splitLines(after));
    const added = linesMissingFrom(splitLines(after), splitLines(before));
    const reordered = removed.length + added.length === 0 ? ["  (the same lines in another order)"] : [];
    return [`  ${header}`, ...removed.map(minus), ...added.map(plus), ...reordered];
};

const splitLines = (body: string): readonly string[] => (body === "" ? [] : body.split("\n"));

/** Returns the multiset difference: the lines of `lines` that `others` has less often. */
const linesMissingFrom = (lines: readonly string[], others: readonly string[]): readonly string[] => {
    const counts = new Map<string, number>();
    for (const line of others) {
        counts.set(line, (counts.get(line) ?? 0) + 1);
    }
    return lines.filter(line => {
        const count = counts.get(line) ?? 0;
        counts.set(line, count - 1);
        return count <= 0;
    });
};
