/** The commands that check and publish a configuration. */

import type { KnownVersion } from "@bramleymoor/config/accepted";
import { publish, type PublishResult } from "@bramleymoor/config/publisher";
import type { AcceptedVersion } from "@bramleymoor/config/version";
import type { ConfigDocument } from "@bramleymoor/model/document";
import { parseConfig, type ParsedDocument } from "@bramleymoor/model/parser";
import { formatDiagnostic } from "@bramleymoor/model/diagnostic";
import type { LogService } from "@bramleymoor/platform/log";
import type { CommandContext } from "./context.js";
import { formatDifference } from "./difference.js";
import { EntryVmClient } from "./entryvms.js";
import { CliError } from "./exit.js";
import { readTextFile } from "./settings.js";
import { formatCount } from "./terminal.js";
import { readAcceptedVersion } from "./history.js";

/** Flags of `publish`. */
export interface PublishFlags {
    /** Version that the file is based on. */
    readonly base?: number;
    /** Id of an earlier attempt that is repeated. */
    readonly id?: string;
    /** Seconds to wait until the version is in force on every entry VM. */
    readonly wait?: number;
}

/** `check FILE`: validates a configuration without publishing it. */
export const checkFile = (context: CommandContext, file: string): void => {
    const { document, spec } = readValidDocument(file);
    const services = [...spec.services.values()];
    const servers = services.reduce((sum, service) => sum + service.servers.length, 0);
    const summary = `${formatCount(services.length, "service")}, ${formatCount(servers, "backend server")}`;
    context.terminal.print(`${file} is valid: ${summary}, digest ${shortDigest(document.digest)}.`);
};

/** `publish FILE`: publishes a configuration as the next version. */
export const publishFile = async (
    context: CommandContext,
    file: string,
    flags: PublishFlags,
): Promise<void> => {
    const { document } = readValidDocument(file);
    const entryVms = flags.wait === undefined ? undefined : new EntryVmClient(context.settings);
    const known = await readServedVersions(context);
    const number = await context.withLog(async log => {
        context.terminal.progress("Reading the accepted version...");
        const current = await readAcceptedVersion(log, context.dependencies.grammars);
        if (current.digest === document.digest) {
            context.terminal.print(
                `Version ${current.number} already has this configuration; nothing was published.`,
            );
            return current.number;
        }
        const base = resolveBase(current, flags, file);
        return publishDocument(context, log, { document, base, id: flags.id, file, known });
    });
    if (entryVms && flags.wait !== undefined) {
        await waitUntilInForce(context, entryVms, number, flags.wait);
    }
};

/**
 * Reads and validates a configuration file.
 *
 * @throws CliError with every error found
 */
export const readValidDocument = (file: string): ParsedDocument => {
    const parsed = parseConfig(readTextFile(file, "configuration file"));
    if (!parsed.ok) {
        const lines = parsed.errors.map(err => formatDiagnostic(file, err));
        throw new CliError("invalid-text", [...lines, formatCount(lines.length, "error")].join("\n"));
    }
    return parsed;
};

/** Returns the start of a digest, long enough to tell versions apart by eye. */
export const shortDigest = (digest: string): string => digest.slice(0, shortDigestLength);

const shortDigestLength = 12;

const pollIntervalMs = 250;

const msPerSecond = 1_000;

/** A publication attempt. */
export interface PublicationAttempt {
    /** The configuration to publish; undefined if only the grammar changes. */
    readonly document?: ConfigDocument;
    readonly base: number;
    readonly id: string | undefined;
    readonly file: string;
    /** Versions that entry VMs served before. */
    readonly known: readonly KnownVersion[];
}

interface DocumentAttempt extends PublicationAttempt {
    readonly document: ConfigDocument;
}

/** Returns the base version from the flags, which may be left out only for the first publication. */
const resolveBase = (current: AcceptedVersion, flags: PublishFlags, file: string): number => {
    if (flags.base !== undefined || current.number === 0) {
        return flags.base ?? 0;
    }
    const lines = [
        `Version ${current.number} is accepted. State which version ${file} is based on:`,
        `  bramleymoor diff ${file}                      shows what it would change`,
        `  bramleymoor publish ${file} --base ${current.number}          publishes it over version ${current.number}`,
    ];
    throw new CliError("usage", lines.join("\n"));
};

const publishDocument = async (
    context: CommandContext,
    log: LogService,
    attempt: DocumentAttempt,
): Promise<number> => {
    const { random, sleep, newId, grammars } = context.dependencies;
    const id = attempt.id ?? newId();
    const { known } = attempt;
    const options = { id, fresh: attempt.id === undefined, random, sleep, grammars, known };
    context.terminal.progress(`Publishing over version ${attempt.base} as ${id}...`);
    const result = await publish(log, attempt.document.toString(), attempt.base, options);
    if (result.kind !== "accepted") {
        throw publicationError(context, result, { ...attempt, id });
    }
    if (result.digest !== attempt.document.digest) {
        const used = `The id ${id} was used for another configuration, accepted as version ${result.number}.`;
        throw new CliError("usage", `${used} Nothing was published; leave --id out.`);
    }
    const digest = shortDigest(result.digest);
    context.terminal.print(
        context.terminal.style("good", `Version ${result.number} is accepted, digest ${digest}.`),
    );
    return result.number;
};

const lostVersionMessage = ({ number, digest }: KnownVersion): string =>
    [
        `The log has lost version ${number} (digest ${shortDigest(digest)}), which was accepted and is in force; nothing was published.`,
        "Entry VMs keep it. Restore your configuration under a higher number, then publish over that:",
        `  bramleymoor restore FILE --number ${number + 1}`,
    ].join("\n");

/**
 * Returns the versions that the entry VMs of the settings serve, as far as they respond; none if the settings list none or
 * no key.
 */
export const readServedVersions = async (context: CommandContext): Promise<readonly KnownVersion[]> => {
    const { settings, terminal } = context;
    if (settings.entryAddresses.length === 0 || settings.key === undefined) {
        return [];
    }
    const responses = await new EntryVmClient(settings).status();
    for (const { address, failure } of responses.filter(it => !it.value)) {
        terminal.warn(`The log isn't compared with this entry VM's version: ${address}: ${failure}`);
    }
    return responses.flatMap(({ value }) => value?.version ?? []);
};

/** Returns the error for a publication that was not accepted or whose outcome is unknown. */
export const publicationError = (
    context: CommandContext,
    result: Exclude<PublishResult, { readonly kind: "accepted" }>,
    attempt: PublicationAttempt,
): CliError => {
    if (result.kind === "rejected") {
        const lines = result.errors.map(err => formatDiagnostic(attempt.file, err));
        return new CliError("invalid-text", ["The publication was rejected.", ...lines].join("\n"));
    }
    if (result.kind === "unknown") {
        const hint = `Repeat the command with --base ${attempt.base} --id ${attempt.id}; it can't take effect twice.`;
        return new CliError(
            "outcome-unknown",
            `It is unknown whether the publication was accepted: ${result.reason}.\n${hint}`,
        );
    }
    if (result.kind === "version lost") {
        return new CliError("other-version", lostVersionMessage(result.lost));
    }
    const { winner } = result;
    const summary = `Version ${winner.number} is accepted, not version ${attempt.base}`;
    if (!attempt.document) {
        return new CliError(
            "other-version",
            `${summary}; nothing was published.\nReview it first: bramleymoor diff`,
        );
    }
    const lines = formatDifference(winner.document, attempt.document, context.terminal);
    const hint = `Merge these changes into your file, then publish with --base ${winner.number}.`;
    const title = `Difference from version ${winner.number} to your configuration:`;
    const all = [`${summary}; your configuration was not published.`, title, ...lines, hint];
    return new CliError("other-version", all.join("\n"));
};

/**
 * Waits until every entry VM reports a version.
 *
 * @throws CliError if that takes longer than `seconds`
 */
export const waitUntilInForce = async (
    context: CommandContext,
    entryVms: EntryVmClient,
    number: number,
    seconds: number,
): Promise<void> => {
    const { now, sleep } = context.dependencies;
    const start = now();
    for (;;) {
        const lagging = await findLaggingEntryVms(entryVms, number);
        if (lagging.length === 0) {
            const tookMs = Math.round(now() - start);
            context.terminal.print(`In force on all ${entryVms.count} entry VMs after ${tookMs} ms.`);
            return;
        }
        if (now() - start >= seconds * msPerSecond) {
            const text = `Version ${number} is accepted, but not seen in force after ${seconds} s on:`;
            throw new CliError("not-everywhere", [text, ...lagging].join("\n"));
        }
        context.terminal.progress(
            `Waiting for ${formatCount(lagging.length, "entry VM")}: ${lagging.join("; ")}`,
        );
        await sleep(pollIntervalMs);
    }
};

/** Returns the entry VMs that don't report the version yet, and live members that the settings don't list. */
const findLaggingEntryVms = async (entryVms: EntryVmClient, number: number): Promise<readonly string[]> => {
    const responses = await entryVms.status();
    const lagging: string[] = [];
    const listed = new Set<string>();
    for (const { address, value, failure } of responses) {
        listed.add(value?.id ?? "");
        const version = value?.version?.number ?? 0;
        if (!value || version < number) {
            lagging.push(value ? `${value.id} (version ${version})` : `${address} (${failure})`);
        }
    }
    const members = responses.flatMap(({ value }) => value?.members ?? []);
    const unlisted = members
        .filter(({ id, state }) => state === "alive" && !listed.has(id))
        .map(({ id }) => id);
    return [...lagging, ...[...new Set(unlisted)].map(id => `${id} (not listed in the settings)`)];
};
