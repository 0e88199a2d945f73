/** The commands that show texts of the log: show, diff, history. */

import type { Context } from "./context.js";
import { differenceLines } from "./difference.js";
import { CliError } from "./exit.js";
import { readValid, shortDigest } from "./publishing.js";
import { counted, table } from "./terminal.js";
import { readCurrent, readHistory, versionOf, type HistoryLine } from "./versions.js";

/** Flags of `diff`. */
export interface DiffFlags {
    readonly from?: number;
    readonly to?: number;
}

/** `show`: the accepted text, or another version's. */
export const show = async (context: Context, number: number | undefined): Promise<void> => {
    context.terminal.progress("Reading the log...");
    const version = await context.withLog(async log =>
        number === undefined
            ? readCurrent(log, context.world.grammars)
            : versionOf(await readHistory(log, context.world.grammars), number),
    );
    context.terminal.print(`# version ${version.number}, digest ${version.digest}`);
    context.terminal.print(version.document.toString().trimEnd());
};

/** `diff [FILE]`: between two versions, or between a version and a file. */
export const diff = async (context: Context, file: string | undefined, flags: DiffFlags): Promise<void> => {
    if (file !== undefined && flags.to !== undefined) {
        throw new CliError("usage", "Give either FILE or --to N; FILE is what the version is compared with.");
    }
    const mine = file === undefined ? undefined : readValid(file).document;
    context.terminal.progress("Reading the log...");
    const history = await context.withLog(log => readHistory(log, context.world.grammars));
    const to = flags.to ?? history.current.number;
    const from = flags.from ?? (mine ? to : to - 1);
    const after = mine ?? versionOf(history, to).document;
    const lines = differenceLines(versionOf(history, from).document, after, context.terminal);
    const toName = file ?? `version ${to}`;
    const head = lines.length === 0 ? "No difference" : "Difference";
    context.terminal.print([`${head} from version ${from} to ${toName}.`, ...lines].join("\n"));
};

/** `history`: every record that the log still tells of, and what became of it. */
export const history = async (context: Context, json: boolean): Promise<void> => {
    context.terminal.progress("Reading the log...");
    const { base, lines, current } = await context.withLog(log => readHistory(log, context.world.grammars));
    if (json) {
        const rows = lines.map(line => ({ offset: line.offset, ageMs: line.ageMs, ...verdictOf(line) }));
        context.terminal.print(JSON.stringify({ base: base.number, current: current.number, records: rows }));
        return;
    }
    const head = ["OFFSET", "AGE", "VERSION", "DIGEST", "PUBLICATION"];
    context.terminal.print(table([head, ...lines.map(row)]));
    const before = base.number === 0 ? "the very first version" : `version ${base.number}`;
    context.terminal.print(
        `${counted(lines.length, "record")} since ${before}; version ${current.number} is accepted.`,
    );
};

const msPerMinute = 60_000;

const verdictOf = ({ verdict }: HistoryLine): Readonly<Record<string, string | number | undefined>> => {
    if (verdict.kind === "accepted") {
        const { number, digest, publicationId } = verdict.version;
        return { version: number, digest, publicationId };
    }
    return verdict.kind === "skipped"
        ? { skipped: verdict.reason, publicationId: verdict.publicationId }
        : { skipped: "grammar newer than this program" };
};

const row = (line: HistoryLine): readonly string[] => {
    const { version, digest, skipped, publicationId } = verdictOf(line);
    return [
        String(line.offset),
        age(line.ageMs),
        version === undefined ? `skipped: ${skipped}` : String(version),
        shortDigest(String(digest ?? "")),
        String(publicationId ?? ""),
    ];
};

const age = (ms: number): string => {
    const minutes = Math.floor(ms / msPerMinute);
    const hours = Math.floor(minutes / 60);
    return hours > 0
        ? `${hours} h ${minutes % 60} min`
        : `${minutes} min ${Math.floor((ms % msPerMinute) / 1_000)} s`;
};
