/** The commands that show versions of the log: show, diff and history. */

import type { CommandContext } from "./context.js";
import { formatDifference } from "./difference.js";
import { CliError } from "./exit.js";
import { readValidDocument, shortDigest } from "./publishing.js";
import { formatCount, formatTable } from "./terminal.js";
import { readAcceptedVersion, readHistory, findVersion, type HistoryRecord } from "./history.js";

/** Flags of `diff`. */
export interface DiffFlags {
    readonly from?: number;
    readonly to?: number;
}

/** `show`: prints the accepted configuration, or that of another version. */
export const show = async (context: CommandContext, number: number | undefined): Promise<void> => {
    context.terminal.progress("Reading the log...");
    const version = await context.withLog(async log =>
        number === undefined
            ? readAcceptedVersion(log, context.dependencies.grammars)
            : findVersion(await readHistory(log, context.dependencies.grammars), number),
    );
    context.terminal.print(`# version ${version.number}, digest ${version.digest}`);
    context.terminal.print(version.document.toString().trimEnd());
};

/** `diff [FILE]`: compares two versions, or a version and a file. */
export const diff = async (
    context: CommandContext,
    file: string | undefined,
    flags: DiffFlags,
): Promise<void> => {
    if (file !== undefined && flags.to !== undefined) {
        throw new CliError("usage", "Give either FILE or --to N, not both; FILE takes the place of --to.");
    }
    const own = file === undefined ? undefined : readValidDocument(file).document;
    context.terminal.progress("Reading the log...");
    const history = await context.withLog(log => readHistory(log, context.dependencies.grammars));
    const to = flags.to ?? history.current.number;
    const from = flags.from ?? (own ? to : to - 1);
    const after = own ?? findVersion(history, to).document;
    const lines = formatDifference(findVersion(history, from).document, after, context.terminal);
    const toName = file ?? `version ${to}`;
    const title = lines.length === 0 ? "No difference" : "Difference";
    context.terminal.print([`${title} from version ${from} to ${toName}.`, ...lines].join("\n"));
};

/** `history`: lists every record that the log still holds, with its outcome. */
export const history = async (context: CommandContext, json: boolean): Promise<void> => {
    context.terminal.progress("Reading the log...");
    const { base, records, current } = await context.withLog(log =>
        readHistory(log, context.dependencies.grammars),
    );
    if (json) {
        const rows = records.map(record => ({
            offset: record.offset,
            ageMs: record.ageMs,
            ...describeOutcome(record),
        }));
        context.terminal.print(JSON.stringify({ base: base.number, current: current.number, records: rows }));
        return;
    }
    const header = ["OFFSET", "AGE", "VERSION", "DIGEST", "PUBLICATION"];
    context.terminal.print(formatTable([header, ...records.map(formatRow)]));
    const start = base.number === 0 ? "the start of the log" : `version ${base.number}`;
    context.terminal.print(
        `${formatCount(records.length, "record")} since ${start}; version ${current.number} is accepted.`,
    );
};

const msPerMinute = 60_000;

const describeOutcome = ({
    outcome,
}: HistoryRecord): Readonly<Record<string, string | number | undefined>> => {
    if (outcome.kind === "accepted") {
        const { number, digest, publicationId } = outcome.version;
        return { version: number, digest, publicationId };
    }
    return outcome.kind === "skipped"
        ? { skipped: outcome.reason, publicationId: outcome.publicationId }
        : { skipped: "grammar newer than this program" };
};

const formatRow = (record: HistoryRecord): readonly string[] => {
    const { version, digest, skipped, publicationId } = describeOutcome(record);
    return [
        String(record.offset),
        formatAge(record.ageMs),
        version === undefined ? `skipped: ${skipped}` : String(version),
        shortDigest(String(digest ?? "")),
        String(publicationId ?? ""),
    ];
};

const formatAge = (ms: number): string => {
    const minutes = Math.floor(ms / msPerMinute);
    const hours = Math.floor(minutes / 60);
    return hours > 0
        ? `${hours} h ${minutes % 60} min`
        : `${minutes} min ${Math.floor((ms % msPerMinute) / 1_000)} s`;
};
