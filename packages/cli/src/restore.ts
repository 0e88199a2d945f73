/** The command that restores the accepted version when it can no longer be read from the log. */

import type { KnownVersion } from "@bramleymoor/config/accepted";
import { configStream } from "@bramleymoor/config/record";
import { restore, type RestoreResult } from "@bramleymoor/config/restore";
import { formatDiagnostic } from "@bramleymoor/model/diagnostic";
import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import type { CommandContext } from "./context.js";
import { EntryVmClient } from "./entryvms.js";
import { CliError } from "./exit.js";
import { readValidDocument, shortDigest } from "./publishing.js";
import { formatCount } from "./terminal.js";

/** Flags of `restore`. */
export interface RestoreFlags {
    /** New version number, higher than every version that was ever accepted. */
    readonly number: number;
    /** Grammar that was in force. */
    readonly grammar: number;
}

/** `restore FILE`: refused while the accepted version can still be read from the log. */
export const restoreFile = async (
    context: CommandContext,
    file: string,
    flags: RestoreFlags,
): Promise<void> => {
    const { document } = readValidDocument(file);
    const { grammars, newId } = context.dependencies;
    if (!grammars.has(flags.grammar)) {
        const supported = [...grammars.keys()].join(", ");
        throw new CliError(
            "not-found",
            `This program doesn't support grammar ${flags.grammar}, only ${supported}.`,
        );
    }
    const known = await checkNumber(context, flags.number);
    const result = await context.withLog(async log => {
        context.terminal.progress("Restoring...");
        await checkLogReadable(log);
        return appendRestoration(log, document.toString(), { id: newId(), known, ...flags });
    });
    reportResult(context, file, result);
};

/** Returns the versions that the entry VMs serve; throws a CliError if one of them isn't lower than `number`. */
const checkNumber = async (context: CommandContext, number: number): Promise<readonly KnownVersion[]> => {
    if (number === 0) {
        throw new CliError("usage", "--number must be higher than every version that was ever accepted.");
    }
    if (context.settings.entryAddresses.length === 0) {
        context.terminal.warn(
            "The settings list no entry VM; --number isn't compared with the entry VMs' versions.",
        );
        return [];
    }
    const entryVms = new EntryVmClient(context.settings);
    context.terminal.progress(`Asking ${formatCount(entryVms.count, "entry VM")}...`);
    const responses = await entryVms.status();
    for (const { address, value, failure } of responses) {
        const current = value?.version?.number ?? 0;
        if (current >= number) {
            const text = `${value?.id} has version ${current}; it would ignore version ${number}.`;
            throw new CliError("usage", `${text} Give a higher --number. Nothing was published.`);
        }
        if (!value) {
            context.terminal.warn(
                `--number isn't compared with this entry VM's version: ${address}: ${failure}`,
            );
        }
    }
    return responses.flatMap(({ value }) => value?.version ?? []);
};

const checkLogReadable = async (log: LogService): Promise<void> => {
    try {
        await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
    } catch (err) {
        throw toCliError(err, "platform-unreachable", "Nothing was published.");
    }
};

const appendRestoration = async (log: LogService, text: string, options: Parameters<typeof restore>[2]) => {
    try {
        return await restore(log, text, options);
    } catch (err) {
        const hint =
            "Repeat the command with a higher --number; this is refused if the first attempt took effect.";
        throw toCliError(err, "outcome-unknown", hint);
    }
};

const toCliError = (err: unknown, exit: "platform-unreachable" | "outcome-unknown", hint: string): unknown =>
    err instanceof PlatformError
        ? new CliError(exit, `The log service failed: ${err.message}.\n${hint}`)
        : err;

const reportResult = ({ terminal }: CommandContext, file: string, result: RestoreResult): void => {
    if (result.kind === "not needed") {
        const how = "Publish over it instead: `bramleymoor show` prints it with its number.";
        throw new CliError("other-version", `The accepted version can still be read from the log. ${how}`);
    }
    if (result.kind === "rejected") {
        throw new CliError("invalid-text", result.errors.map(err => formatDiagnostic(file, err)).join("\n"));
    }
    const digest = shortDigest(result.digest);
    terminal.print(terminal.style("good", `Version ${result.number} is restored, digest ${digest}.`));
};
