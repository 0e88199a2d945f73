/** Publishes an operators' text and finds out what became of it. */

import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import { backoffMs, sleep as realSleep, type Random, type Sleep } from "@bramleymoor/platform/timers";
import type { ConfigChange, ConfigDocument } from "@bramleymoor/model/document";
import { parseConfig } from "@bramleymoor/model/parser";
import { createDiagnostic, type Diagnostic } from "@bramleymoor/model/diagnostic";
import { initializeReplay } from "./initialize.js";
import type { RecordOutcome } from "./evaluate.js";
import { configStream, formatPublication, maxRecordBytes, type Publication } from "./record.js";
import { Replay } from "./replay.js";
import type { Snapshot } from "./snapshot.js";
import { grammars as ownGrammars, type AcceptedVersion, type Grammars } from "./version.js";

const batchRecords = 32;
const firstRetryMs = 200;
const maxRetryMs = 2000;
const maxTries = 8;

/** What became of a publication. */
export type PublishResult =
    | { readonly kind: "accepted"; readonly number: number; readonly digest: string }
    /** Another version stands where this one wanted to. */
    | {
          readonly kind: "lost";
          /** The version that is accepted now. */
          readonly winner: AcceptedVersion;
          /** What leads from the winner's text to the operator's. */
          readonly difference: ConfigChange;
      }
    | { readonly kind: "rejected"; readonly errors: readonly Diagnostic[] }
    /** The log can't be read to the end; the publication may be accepted, or become so later. */
    | { readonly kind: "unknown"; readonly reason: string };

/** How a publication is made. */
export interface PublishOptions {
    /** The publication's own identity; the same one again never has a second effect. */
    readonly id: string;
    /** The id was never used before, so that no copy of it can have been accepted and have expired since. */
    readonly fresh?: boolean;
    readonly random: Random;
    readonly sleep?: Sleep;
    readonly grammars?: Grammars;
    /** A version asked of an entry VM, used when the log alone doesn't reach back far enough. */
    readonly start?: Snapshot | undefined;
}

/** What a publication is to make of the version that it replaces. */
interface Wish {
    readonly document: (version: AcceptedVersion) => ConfigDocument;
    readonly nextGrammar: (version: AcceptedVersion) => number | undefined;
}

/** One publication on its way. */
class Publisher {
    readonly #log: LogService;
    readonly #options: PublishOptions;
    readonly #replay: Replay;
    readonly #wish: Wish;
    readonly #baseNumber: number;
    #beganAt = 0;
    #verdict: RecordOutcome | undefined;

    constructor(log: LogService, wish: Wish, baseNumber: number, options: PublishOptions) {
        this.#log = log;
        this.#wish = wish;
        this.#baseNumber = baseNumber;
        this.#options = options;
        this.#replay = new Replay(
            options.grammars ?? ownGrammars,
            () => {},
            (_record, verdict) => this.#note(verdict),
        );
    }

    async publish(): Promise<PublishResult> {
        let why = "";
        for (let tries = 0; tries < maxTries; tries++) {
            try {
                return await this.#try();
            } catch (err) {
                if (!(err instanceof PlatformError)) {
                    throw err;
                }
                why = err.message;
            }
            await this.#pause(tries);
        }
        return { kind: "unknown", reason: why };
    }

    /** Appends unless the log holds the answer already; fails with a PlatformError. */
    async #try(): Promise<PublishResult> {
        const version = await this.#readToEnd();
        const settled = this.#settled(version);
        if (settled) {
            return settled;
        }
        const record = formatPublication(this.#publication(version));
        if (Buffer.byteLength(record) > maxRecordBytes) {
            return { kind: "rejected", errors: [tooLarge(Buffer.byteLength(record))] };
        }
        await this.#log.append(configStream, record);
        const after = await this.#readToEnd();
        return this.#settled(after) ?? { kind: "unknown", reason: "the log doesn't show the record" };
    }

    #publication(version: AcceptedVersion): Publication {
        const document = this.#wish.document(version);
        const nextGrammar = this.#wish.nextGrammar(version);
        const base = { number: version.number, digest: version.digest };
        const change = version.document.diff(document);
        const { grammar } = version;
        return { grammar, id: this.#options.id, base, change, digest: document.digest, nextGrammar };
    }

    #settled(version: AcceptedVersion): PublishResult | undefined {
        if (this.#verdict?.kind === "accepted") {
            const { number, digest } = this.#verdict.version;
            return { kind: "accepted", number, digest };
        }
        if (version.publicationId === this.#options.id) {
            return { kind: "accepted", number: version.number, digest: version.digest };
        }
        if (version.number !== this.#baseNumber) {
            if (this.#beganAt > this.#baseNumber && !this.#options.fresh) {
                return {
                    kind: "unknown",
                    reason: `the log no longer tells; version ${version.number} is accepted now`,
                };
            }
            return {
                kind: "lost",
                winner: version,
                difference: version.document.diff(this.#wish.document(version)),
            };
        }
        if (this.#verdict?.kind === "skipped" && this.#verdict.reason !== "superseded base") {
            return { kind: "rejected", errors: this.#verdict.errors };
        }
        return undefined;
    }

    async #readToEnd(): Promise<AcceptedVersion> {
        if (!this.#replay.version) {
            await this.#findBase();
        }
        for (;;) {
            const batch = await this.#log.read(configStream, this.#replay.upTo, batchRecords, 0);
            const progress = this.#replay.version ? this.#replay.applyBatch(batch) : "missing";
            const version = this.#replay.version;
            if (progress !== "applied" || !version) {
                throw new PlatformError("unavailable", progressTexts[progress]);
            }
            if (this.#replay.upTo >= batch.next) {
                return version;
            }
        }
    }

    /** Begins no later than the base version if it can, so that each verdict on this publication is seen. */
    async #findBase(): Promise<void> {
        await initializeReplay(this.#log, this.#replay, this.#baseNumber);
        if (!this.#replay.version) {
            await initializeReplay(this.#log, this.#replay);
        }
        if (!this.#replay.version && this.#options.start) {
            this.#replay.installSnapshot(this.#options.start, "peer");
        }
        this.#beganAt = this.#replay.version?.number ?? 0;
    }

    /** Keeps the verdict on this publication's first copy, or on the one that was accepted. */
    #note(verdict: RecordOutcome): void {
        const id = verdict.kind === "accepted" ? verdict.version.publicationId : idOfSkipped(verdict);
        if (id === this.#options.id && this.#verdict?.kind !== "accepted") {
            this.#verdict = verdict;
        }
    }

    #pause(tries: number): Promise<void> {
        const { random, sleep = realSleep } = this.#options;
        return sleep(backoffMs(tries, firstRetryMs, maxRetryMs, random));
    }
}

/**
 * Publishes a text over version `baseNumber`. Safe to repeat with the same id: each copy names the same base,
 * so at most one can be accepted.
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
    const wish = { document: () => parsed.document, nextGrammar: () => undefined };
    return new Publisher(log, wish, baseNumber, options).publish();
};

/**
 * Puts the next grammar in force over version `baseNumber`, leaving the text as it is. Entry VMs whose release
 * doesn't know it keep the version they have, so it is published once each of them has been replaced.
 */
export const raiseGrammar = (
    log: LogService,
    baseNumber: number,
    options: PublishOptions,
): Promise<PublishResult> => {
    const wish: Wish = { document: version => version.document, nextGrammar: version => version.grammar + 1 };
    return new Publisher(log, wish, baseNumber, options).publish();
};

const idOfSkipped = (verdict: RecordOutcome): string | undefined =>
    verdict.kind === "skipped" ? verdict.publicationId : undefined;

const tooLarge = (bytes: number): Diagnostic => {
    const wanted = `at most ${maxRecordBytes} bytes changed at once`;
    return createDiagnostic(1, `${bytes} bytes`, wanted, "Publish the change in several parts.");
};

const progressTexts = {
    applied: "",
    missing: "records of the log have expired and no checkpoint fills the gap",
    shrunk: "the log's end lies before records read earlier",
    outdated: "the grammar in force is newer than this release",
} as const;
