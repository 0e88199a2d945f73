/** The command that states the accepted version anew when the log no longer tells it. */

import { configStream } from "@bramleymoor/config/record";
import { restore, type RestoreResult } from "@bramleymoor/config/restore";
import { formatDiagnostic } from "@bramleymoor/model/diagnostic";
import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import type { Context } from "./context.js";
import { Entries } from "./entries.js";
import { CliError } from "./exit.js";
import { readValid, shortDigest } from "./publishing.js";
import { counted } from "./terminal.js";

/** Flags of `restore`. */
export interface RestoreFlags {
    /** Above each version that was ever accepted. */
    readonly number: number;
    /** Grammar that was in force. */
    readonly grammar: number;
}

/** `restore FILE`: refused while the log still tells the accepted version. */
export const restoreFile = async (context: Context, file: string, flags: RestoreFlags): Promise<void> => {
    const { document } = readValid(file);
    const { grammars, newId } = context.world;
    if (!grammars.has(flags.grammar)) {
        const known = [...grammars.keys()].join(", ");
        throw new CliError("not-found", `This program knows no grammar ${flags.grammar}, only ${known}.`);
    }
    await checkNumber(context, flags.number);
    const result = await context.withLog(async log => {
        context.terminal.progress("Restoring...");
        await checkReadable(log);
        return append(log, document.toString(), { id: newId(), ...flags });
    });
    report(context, file, result);
};

const checkNumber = async (context: Context, number: number): Promise<void> => {
    if (number === 0) {
        throw new CliError("usage", "--number has to lie above every version that was ever accepted.");
    }
    if (context.settings.entries.length === 0) {
        context.terminal.warn("The settings list no entry VM; --number isn't compared with what they know.");
        return;
    }
    const entries = new Entries(context.settings);
    context.terminal.progress(`Asking ${counted(entries.count, "entry VM")}...`);
    for (const { address, value, failure } of await entries.status()) {
        const known = value?.version?.number ?? 0;
        if (known >= number) {
            const text = `${value?.id} knows version ${known}; it would not follow version ${number}.`;
            throw new CliError("usage", `${text} Give a higher --number. Nothing was published.`);
        }
        if (!value) {
            context.terminal.warn(`Not compared with what this entry VM knows: ${address}: ${failure}`);
        }
    }
};

const checkReadable = async (log: LogService): Promise<void> => {
    try {
        await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
    } catch (err) {
        throw translate(err, "platform-unreachable", "Nothing was published.");
    }
};

const append = async (log: LogService, text: string, options: Parameters<typeof restore>[2]) => {
    try {
        return await restore(log, text, options);
    } catch (err) {
        const again = "Repeat the command with a higher --number; if this one took effect, that is refused.";
        throw translate(err, "outcome-unknown", again);
    }
};

const translate = (err: unknown, exit: "platform-unreachable" | "outcome-unknown", next: string): unknown =>
    err instanceof PlatformError ? new CliError(exit, `The log failed: ${err.message}.\n${next}`) : err;

const report = ({ terminal }: Context, file: string, result: RestoreResult): void => {
    if (result.kind === "not needed") {
        const how = "Publish over it: `bramleymoor show` prints it, with its number.";
        throw new CliError("other-version", `The log still tells the accepted version. ${how}`);
    }
    if (result.kind === "rejected") {
        throw new CliError("invalid-text", result.errors.map(err => formatDiagnostic(file, err)).join("\n"));
    }
    const digest = shortDigest(result.digest);
    terminal.print(terminal.tone("good", `Version ${result.number} is restored, digest ${digest}.`));
};
