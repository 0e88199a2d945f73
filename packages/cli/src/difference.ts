/** Shows what leads from one text to another. */

import type { ConfigDocument } from "@bramleymoor/model/document";
import type { Terminal } from "./terminal.js";

/** Lines of a difference, section by section; none if the texts say the same. */
export const differenceLines = (
    from: ConfigDocument,
    to: ConfigDocument,
    terminal: Terminal,
): readonly string[] => {
    const change = from.diff(to);
    const names = [...change.remove, ...change.set.map(section => section.name)].sort();
    return names.flatMap(name =>
        sectionLines(name, from.section(name)?.body, to.section(name)?.body, terminal),
    );
};

const sectionLines = (
    name: string,
    before: string | undefined,
    after: string | undefined,
    terminal: Terminal,
): readonly string[] => {
    const minus = (line: string): string => terminal.tone("bad", `- ${line}`);
    const plus = (line: string): string => terminal.tone("good", `+ ${line}`);
    const header = `[${name}]`;
    if (before === undefined || after === undefined) {
        const mark = before === undefined ? plus : minus;
        return [header, ...linesOf(before ?? after ?? "")].map(mark);
    }
    const gone = surplus(linesOf(before), linesOf(after));
    const come = surplus(linesOf(after), linesOf(before));
    const moved = gone.length + come.length === 0 ? ["  (the same lines in another order)"] : [];
    return [`  ${header}`, ...gone.map(minus), ...come.map(plus), ...moved];
};

const linesOf = (body: string): readonly string[] => (body === "" ? [] : body.split("\n"));

/** The lines of `lines` that `others` doesn't have, each as often as it has them fewer times. */
const surplus = (lines: readonly string[], others: readonly string[]): readonly string[] => {
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
