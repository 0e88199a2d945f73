/** Publishes a config text and determines the outcome. */

import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import { backoffMs, sleep as realSleep, type Random, type Sleep } from "@bramleymoor/platform/timers";
import type { ConfigChange, ConfigDocument } from "@bramleymoor/model/document";
import { parseConfig } from "@bramleymoor/model/parser";
import { createDiagnostic, type Diagnostic } from "@bramleymoor/model/diagnostic";
import { AcceptedReader, type KnownVersion } from "./accepted.js";
import { initializeReplay } from "./initialize.js";
import type { RecordOutcome } from "./evaluate.js";
import { configStream, formatPublication, maxRecordBytes, type Publication } from "./record.js";
import type { Replay } from "./replay.js";
import type { Snapshot } from "./snapshot.js";
import { grammars as ownGrammars, type AcceptedVersion, type Grammars } from "./version.js";

const firstRetryMs = 200;
const maxRetryMs = 2000;
const maxAttempts = 8;

/** Result of a publication. */
export type PublishResult =
    | { readonly kind: "accepted"; readonly number: number; readonly digest: string }
    /** Another publication has replaced the base version. */
    | {
          readonly kind: "lost";
          /** The version that is accepted now. */
          readonly winner: AcceptedVersion;
          /** The change from the winner's text to the operator's. */
          readonly difference: ConfigChange;
      }
    | { readonly kind: "rejected"; readonly errors: readonly Diagnostic[] }
    /** The log has lost an accepted version; nothing is published until an operator has restored it. */
    | { readonly kind: "version lost"; readonly lost: KnownVersion }
    /** The log can't be read to its end; the publication may have been accepted, or may still be. */
    | { readonly kind: "unknown"; readonly reason: string };

/** Options of a publication. */
export interface PublishOptions {
    /** Identity of the publication; publishing again with the same id has no second effect. */
    readonly id: string;
    /** Whether the id is used for the first time, so that no copy can have been accepted and have expired since. */
    readonly fresh?: boolean;
    readonly random: Random;
    readonly sleep?: Sleep;
    readonly grammars?: Grammars;
    /** A snapshot from an entry VM, used if the log alone doesn't reach back far enough. */
    readonly start?: Snapshot | undefined;
    /** Versions that entry VMs served before the publication; the log must yield them. */
    readonly known?: readonly KnownVersion[];
}

/** How a publication changes the version that it replaces. */
interface VersionEdit {
    readonly document: (version: AcceptedVersion) => ConfigDocument;
    readonly nextGrammar: (version: AcceptedVersion) => number | undefined;
}

/** The log has lost an accepted version. */
class VersionLostError extends Error {
    constructor(readonly lost: KnownVersion) {
        super(`the log has lost version ${lost.number}`);
        this.name = "VersionLostError";
    }
}

/** A publication in progress. */
class Publisher {
    readonly #log: LogService;
    readonly #options: PublishOptions;
    readonly #reader: AcceptedReader;
    readonly #edit: VersionEdit;
    readonly #baseNumber: number;
    #startNumber = 0;
    #outcome: RecordOutcome | undefined;

    constructor(log: LogService, edit: VersionEdit, baseNumber: number, options: PublishOptions) {
        this.#log = log;
        this.#edit = edit;
        this.#baseNumber = baseNumber;
        this.#options = options;
        this.#reader = new AcceptedReader(log, options.grammars ?? ownGrammars, it =>
            this.#recordOutcome(it),
        );
    }

    async publish(): Promise<PublishResult> {
        let reason = "";
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            try {
                return await this.#attempt();
            } catch (err) {
                if (err instanceof VersionLostError) {
                    return { kind: "version lost", lost: err.lost };
                }
                if (!(err instanceof PlatformError)) {
                    throw err;
                }
                reason = err.message;
            }
            await this.#backOff(attempt);
        }
        return { kind: "unknown", reason };
    }

    /**
     * Appends the publication unless the log already shows its outcome.
     *
     * @throws PlatformError if the log fails
     * @throws VersionLostError if the log has lost an accepted version
     */
    async #attempt(): Promise<PublishResult> {
        const version = await this.#readToEnd();
        const result = this.#result(version);
        if (result) {
            return result;
        }
        const record = formatPublication(this.#publication(version));
        if (Buffer.byteLength(record) > maxRecordBytes) {
            return { kind: "rejected", errors: [tooLarge(Buffer.byteLength(record))] };
        }
        await this.#log.append(configStream, record);
        const after = await this.#readToEnd();
        return this.#result(after) ?? { kind: "unknown", reason: "the log doesn't show the appended record" };
    }

    #publication(version: AcceptedVersion): Publication {
        const document = this.#edit.document(version);
        const nextGrammar = this.#edit.nextGrammar(version);
        const base = { number: version.number, digest: version.digest };
        const change = version.document.diff(document);
        const { grammar } = version;
        return { grammar, id: this.#options.id, base, change, digest: document.digest, nextGrammar };
    }

    #result(version: AcceptedVersion): PublishResult | undefined {
        if (this.#outcome?.kind === "accepted") {
            const { number, digest } = this.#outcome.version;
            return { kind: "accepted", number, digest };
        }
        if (version.publicationId === this.#options.id) {
            return { kind: "accepted", number: version.number, digest: version.digest };
        }
        if (version.number !== this.#baseNumber) {
            if (this.#startNumber > this.#baseNumber && !this.#options.fresh) {
                return {
                    kind: "unknown",
                    reason: `the log no longer shows the outcome; version ${version.number} is accepted now`,
                };
            }
            return {
                kind: "lost",
                winner: version,
                difference: version.document.diff(this.#edit.document(version)),
            };
        }
        if (this.#outcome?.kind === "skipped" && this.#outcome.reason !== "superseded base") {
            return { kind: "rejected", errors: this.#outcome.errors };
        }
        return undefined;
    }

    async #readToEnd(): Promise<AcceptedVersion> {
        const { replay } = this.#reader;
        if (!replay.version) {
            await this.#initializeReplay(replay);
        }
        const progress = await this.#reader.readToEnd();
        const { version } = replay;
        const lost = progress === "shrunk" ? version : this.#reader.findLost(this.#options.known ?? []);
        if (lost) {
            throw new VersionLostError(lost);
        }
        if (progress !== "applied" || !version) {
            throw new PlatformError("unavailable", progressTexts[progress]);
        }
        return version;
    }

    /** Starts the replay at or before the base version if possible, to see the outcome of each copy. */
    async #initializeReplay(replay: Replay): Promise<void> {
        await initializeReplay(this.#log, replay, this.#baseNumber);
        if (!replay.version) {
            await initializeReplay(this.#log, replay);
        }
        if (!replay.version && this.#options.start) {
            replay.installSnapshot(this.#options.start, "peer");
        }
        this.#startNumber = replay.version?.number ?? 0;
    }

    /** Keeps the outcome of this publication's accepted copy, or else of its last one. */
    #recordOutcome(outcome: RecordOutcome): void {
        const id = outcome.kind === "accepted" ? outcome.version.publicationId : skippedId(outcome);
        if (id === this.#options.id && this.#outcome?.kind !== "accepted") {
            this.#outcome = outcome;
        }
    }

    #backOff(attempt: number): Promise<void> {
        const { random, sleep = realSleep } = this.#options;
        return sleep(backoffMs(attempt, firstRetryMs, maxRetryMs, random));
    }
}

/**
 * Publishes a config text over version `baseNumber`. Can be repeated with the same id: every copy names the same base,
 * so at most one of them is accepted.
 */
export const publish = async (
    log: LogService,
    text: string,
    baseNumber: number,
    options: PublishOptions,
): Promise<PublishResult> => {
    const parsed = parseConfig(text);
    if (!parsed.ok) {
        return { kind: "rejected", errors: parsed.errors };
    }
    const edit = { document: () => parsed.document, nextGrammar: () => undefined };
    return new Publisher(log, edit, baseNumber, options).publish();
};

/**
 * Puts the next grammar in force over version `baseNumber`, with the same text. Entry VMs whose release doesn't know
 * that grammar keep their version, so it is raised only after all of them have been upgraded.
 */
export const raiseGrammar = (
    log: LogService,
    baseNumber: number,
    options: PublishOptions,
): Promise<PublishResult> => {
    const edit: VersionEdit = {
        document: version => version.document,
        nextGrammar: version => version.grammar + 1,
    };
    return new Publisher(log, edit, baseNumber, options).publish();
};

const skippedId = (outcome: RecordOutcome): string | undefined =>
    outcome.kind === "skipped" ? outcome.publicationId : undefined;

const tooLarge = (bytes: number): Diagnostic => {
    const wanted = `at most ${maxRecordBytes} bytes changed at once`;
    return createDiagnostic(1, `${bytes} bytes`, wanted, "Publish the change in several parts.");
};

const progressTexts = {
    applied: "",
    missing: "records of the log have expired and no checkpoint fills the gap",
    shrunk: "the log ends before records that were already read",
    outdated: "the grammar in force is newer than this release",
} as const;
