/** The commands that check and publish a text. */

import { publish, type PublishResult } from "@bramleymoor/config/publisher";
import type { AcceptedVersion } from "@bramleymoor/config/version";
import type { ConfigDocument } from "@bramleymoor/model/document";
import { parseConfig, type ParsedDocument } from "@bramleymoor/model/parser";
import { formatDiagnostic } from "@bramleymoor/model/diagnostic";
import type { LogService } from "@bramleymoor/platform/log";
import type { Context } from "./context.js";
import { differenceLines } from "./difference.js";
import { Entries } from "./entries.js";
import { CliError } from "./exit.js";
import { readText } from "./settings.js";
import { counted } from "./terminal.js";
import { readCurrent } from "./versions.js";

/** Flags of `publish`. */
export interface PublishFlags {
    /** Version that the text was made from. */
    readonly base?: number;
    /** Identity of a publication that is being repeated. */
    readonly id?: string;
    /** Seconds to wait until the version is in force everywhere. */
    readonly wait?: number;
}

/** `check FILE`. */
export const check = (context: Context, file: string): void => {
    const { document, spec } = readValid(file);
    const services = [...spec.services.values()];
    const servers = services.reduce((sum, service) => sum + service.servers.length, 0);
    const what = `${counted(services.length, "service")}, ${counted(servers, "backend server")}`;
    context.terminal.print(`${file} is valid: ${what}, digest ${shortDigest(document.digest)}.`);
};

/** `publish FILE`. */
export const publishFile = async (context: Context, file: string, flags: PublishFlags): Promise<void> => {
    const { document } = readValid(file);
    const entries = flags.wait === undefined ? undefined : new Entries(context.settings);
    const number = await context.withLog(async log => {
        context.terminal.progress("Reading the accepted version...");
        const current = await readCurrent(log, context.world.grammars);
        if (current.digest === document.digest) {
            context.terminal.print(`Version ${current.number} says the same already; nothing was published.`);
            return current.number;
        }
        const base = baseOf(current, flags, file);
        return publishOver(context, log, { document, base, id: flags.id, file });
    });
    if (entries && flags.wait !== undefined) {
        await waitUntilInForce(context, entries, number, flags.wait);
    }
};

/**
 * Reads a file that has to hold a valid text.
 *
 * @throws CliError with every error found
 */
export const readValid = (file: string): ParsedDocument => {
    const parsed = parseConfig(readText(file, "text"));
    if (!parsed.ok) {
        const lines = parsed.errors.map(err => formatDiagnostic(file, err));
        throw new CliError("invalid-text", [...lines, counted(lines.length, "error")].join("\n"));
    }
    return parsed;
};

/** The beginning of a digest, enough to tell versions apart by eye. */
export const shortDigest = (digest: string): string => digest.slice(0, shortDigestLength);

const shortDigestLength = 12;

const pollMs = 250;

const msPerSecond = 1_000;

/** A publication that was tried. */
export interface Attempt {
    /** The text to publish; undefined if it stays as it is. */
    readonly document?: ConfigDocument;
    readonly base: number;
    readonly id: string | undefined;
    readonly file: string;
}

interface TextAttempt extends Attempt {
    readonly document: ConfigDocument;
}

/** The base that was named; it may be left out for the very first version only. */
const baseOf = (current: AcceptedVersion, flags: PublishFlags, file: string): number => {
    if (flags.base !== undefined || current.number === 0) {
        return flags.base ?? 0;
    }
    const lines = [
        `Version ${current.number} is accepted. Say which version ${file} was made from:`,
        `  bramleymoor diff ${file}                      shows what it would change`,
        `  bramleymoor publish ${file} --base ${current.number}          publishes it over version ${current.number}`,
    ];
    throw new CliError("usage", lines.join("\n"));
};

const publishOver = async (context: Context, log: LogService, attempt: TextAttempt): Promise<number> => {
    const { random, sleep, newId, grammars } = context.world;
    const id = attempt.id ?? newId();
    const options = { id, fresh: attempt.id === undefined, random, sleep, grammars };
    context.terminal.progress(`Publishing over version ${attempt.base} as ${id}...`);
    const result = await publish(log, attempt.document.toString(), attempt.base, options);
    if (result.kind !== "accepted") {
        throw publicationFailure(context, result, { ...attempt, id });
    }
    if (result.digest !== attempt.document.digest) {
        const used = `The id ${id} was used for another text, accepted as version ${result.number}.`;
        throw new CliError("usage", `${used} Nothing was published; leave --id out.`);
    }
    const digest = shortDigest(result.digest);
    context.terminal.print(
        context.terminal.tone("good", `Version ${result.number} is accepted, digest ${digest}.`),
    );
    return result.number;
};

/** What to tell of a publication that wasn't accepted, or may not have been. */
export const publicationFailure = (
    context: Context,
    result: Exclude<PublishResult, { readonly kind: "accepted" }>,
    attempt: Attempt,
): CliError => {
    if (result.kind === "rejected") {
        const lines = result.errors.map(err => formatDiagnostic(attempt.file, err));
        return new CliError("invalid-text", ["The publication was refused.", ...lines].join("\n"));
    }
    if (result.kind === "unknown") {
        const again = `Repeat the command with --base ${attempt.base} --id ${attempt.id}; it can't take effect twice.`;
        return new CliError(
            "outcome-unknown",
            `It isn't known whether it is accepted: ${result.reason}.\n${again}`,
        );
    }
    const { winner } = result;
    const head = `Version ${winner.number} is accepted, not version ${attempt.base}`;
    if (!attempt.document) {
        return new CliError(
            "other-version",
            `${head}; nothing was published.\nLook at it first: bramleymoor diff`,
        );
    }
    const lines = differenceLines(winner.document, attempt.document, context.terminal);
    const next = `Take over what is missing, then publish with --base ${winner.number}.`;
    const middle = `From version ${winner.number} to your text:`;
    const all = [`${head}; your text was not published.`, middle, ...lines, next];
    return new CliError("other-version", all.join("\n"));
};

/** Waits until every entry VM shows a version; throws a CliError if that takes longer than `seconds`. */
export const waitUntilInForce = async (
    context: Context,
    entries: Entries,
    number: number,
    seconds: number,
): Promise<void> => {
    const { now, sleep } = context.world;
    const start = now();
    for (;;) {
        const late = await behind(entries, number);
        if (late.length === 0) {
            const tookMs = Math.round(now() - start);
            context.terminal.print(`In force on all ${entries.count} entry VMs after ${tookMs} ms.`);
            return;
        }
        if (now() - start >= seconds * msPerSecond) {
            const text = `Version ${number} is accepted, but not seen in force after ${seconds} s on:`;
            throw new CliError("not-everywhere", [text, ...late].join("\n"));
        }
        context.terminal.progress(`Waiting for ${counted(late.length, "entry VM")}: ${late.join("; ")}`);
        await sleep(pollMs);
    }
};

/** The entry VMs that don't show the version yet, those included that the settings don't list. */
const behind = async (entries: Entries, number: number): Promise<readonly string[]> => {
    const answers = await entries.status();
    const late: string[] = [];
    const asked = new Set<string>();
    for (const { address, value, failure: why } of answers) {
        asked.add(value?.id ?? "");
        const version = value?.version?.number ?? 0;
        if (!value || version < number) {
            late.push(value ? `${value.id} (version ${version})` : `${address} (${why})`);
        }
    }
    const members = answers.flatMap(({ value }) => value?.members ?? []);
    const alive = members.filter(({ id, state }) => state === "alive" && !asked.has(id)).map(({ id }) => id);
    return [...late, ...[...new Set(alive)].map(id => `${id} (not listed in the settings)`)];
};
