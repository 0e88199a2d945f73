/** Follows the log's prefix, record by record, from a base to the accepted version. */

import type { LogBatch, LogRecord } from "@bramleymoor/platform/log";
import { configEvent, type ConfigEventName, type ConfigEventHandler } from "./events.js";
import { evaluateRecord, type RecordOutcome } from "./evaluate.js";
import type { ConfigRequest, ConfigResponse } from "./peers.js";
import { headOf, snapshotOf, versionFromSnapshot, type Snapshot } from "./snapshot.js";
import { emptyVersion, type AcceptedVersion, type Grammars } from "./version.js";

/** Accepted records kept for peers, in characters. */
const keptCharacters = 128 * 1024;

interface Kept {
    /** Offset of the version that the record replaced. */
    readonly replaced: number;
    readonly offset: number;
    readonly data: string;
}

/** What a batch did. */
export type Progress =
    | "applied"
    /** Records that were never read have expired. */
    | "missing"
    /** The stream's end lies before what was read already. */
    | "shrunk"
    /** The grammar in force isn't known to this release. */
    | "outdated";

/** The accepted version and how far the log has been judged; versions only ever get newer. */
export class Replay {
    readonly #grammars: Grammars;
    readonly #events: ConfigEventHandler;
    readonly #onOutcome: (record: LogRecord, verdict: RecordOutcome) => void;
    #version: AcceptedVersion | undefined;
    #upTo = 0;
    #kept: readonly Kept[] = [];

    /**
     * @param judged is told each verdict
     */
    constructor(
        grammars: Grammars,
        events: ConfigEventHandler,
        judged: (record: LogRecord, verdict: RecordOutcome) => void = () => {},
    ) {
        this.#grammars = grammars;
        this.#events = events;
        this.#onOutcome = judged;
    }

    /** The accepted version at `upTo`; undefined without a base. */
    get version(): AcceptedVersion | undefined {
        return this.#version;
    }

    /** Every record below this offset has been judged. */
    get upTo(): number {
        return this.#upTo;
    }

    /** Begins with the empty version at the log's very beginning. */
    startEmpty(): void {
        this.#version ??= emptyVersion;
    }

    /** Judges the records of a batch that was read at `upTo`. */
    applyBatch(batch: LogBatch): Progress {
        if (batch.next < this.#upTo) {
            return "shrunk";
        }
        for (const record of batch.records) {
            if (record.offset < this.#upTo) {
                continue;
            }
            if (record.offset > this.#upTo) {
                return "missing";
            }
            if (!this.#step(record)) {
                return "outdated";
            }
        }
        return batch.first > this.#upTo ? "missing" : "applied";
    }

    /** Takes a snapshot if it is newer, and tells whether it is of use. */
    installSnapshot(snapshot: Snapshot, source: "checkpoint" | "peer"): boolean {
        if (this.#conflicts(snapshot) || !this.#isNews(snapshot)) {
            return false;
        }
        if (snapshot.offset === this.#version?.offset) {
            this.#upTo = snapshot.upTo;
            return true;
        }
        const version = versionFromSnapshot(snapshot, this.#grammars, this.#version);
        if (typeof version === "string") {
            const name = source === "peer" ? "offer-skipped" : "checkpoint-skipped";
            this.#tell(name, `Skipped a ${source}'s version ${snapshot.number}: ${version}.`);
            return false;
        }
        this.#kept = [];
        this.#replace(version);
        this.#upTo = snapshot.upTo;
        return true;
    }

    /** Takes a peer's answer if it is newer. */
    applyResponse(offer: ConfigResponse): void {
        const before = this.#version;
        if (before && !this.#grammars.has(before.grammar)) {
            return;
        }
        if (before && offer.records.length > 0 && !this.#conflicts(offer.head)) {
            this.#takeRecords(before, offer);
        } else {
            this.installSnapshot(offer.snapshot ?? { ...offer.head, text: "" }, "peer");
        }
        if (this.#version && this.#version !== before) {
            this.#tell("version-from-peer", `A peer passed on version ${this.#version.number}.`);
        }
    }

    /** Answers a peer; undefined without a version. */
    respond(question: ConfigRequest): ConfigResponse | undefined {
        const version = this.#version;
        if (!version) {
            return undefined;
        }
        const head = headOf(version, this.#upTo);
        if (!question.fresh && question.offset >= version.offset) {
            return { head, records: [] };
        }
        const from = question.fresh ? -1 : this.#kept.findIndex(kept => kept.replaced === question.offset);
        if (from < 0) {
            return { head, records: [], snapshot: snapshotOf(version, this.#upTo) };
        }
        const records = this.#kept.slice(from).map(({ offset, data }) => ({ offset, data }));
        return { head, records };
    }

    #step(record: LogRecord): boolean {
        const before = this.#version ?? emptyVersion;
        const verdict = evaluateRecord(before, record.offset, record.data, this.#grammars);
        this.#onOutcome(record, verdict);
        if (verdict.kind === "outdated") {
            return false;
        }
        this.#upTo = record.offset + 1;
        if (verdict.kind === "accepted") {
            this.#keep(before.offset, record.offset, record.data);
            this.#replace(verdict.version);
        } else {
            this.#tell("record-skipped", `Skipped the record at offset ${record.offset}: ${verdict.reason}.`);
        }
        return true;
    }

    #takeRecords(before: AcceptedVersion, offer: ConfigResponse): void {
        let version = before;
        for (const { offset, data } of offer.records) {
            const verdict = evaluateRecord(version, offset, data, this.#grammars);
            if (verdict.kind !== "accepted") {
                this.#tell("offer-skipped", `A peer's record at offset ${offset} doesn't follow.`);
                return;
            }
            version = verdict.version;
        }
        const { head } = offer;
        if (version.offset !== head.offset || version.digest !== head.digest) {
            this.#tell("offer-skipped", `A peer's records don't lead to its version ${head.number}.`);
            return;
        }
        let replaced = before.offset;
        for (const { offset, data } of offer.records) {
            this.#keep(replaced, offset, data);
            replaced = offset;
        }
        this.#replace(version);
        this.#upTo = Math.max(this.#upTo, head.upTo);
    }

    #isNews(head: { readonly offset: number; readonly upTo: number }): boolean {
        if (!this.#version || head.offset > this.#version.offset) {
            return true;
        }
        return head.offset === this.#version.offset && head.upTo > this.#upTo;
    }

    /** Tells whether a head contradicts what the log's prefix says. */
    #conflicts(head: { readonly number: number; readonly digest: string; readonly offset: number }): boolean {
        const own = this.#version;
        if (!own || head.offset < own.offset) {
            return false;
        }
        const same = head.offset === own.offset;
        const conflict = same
            ? head.digest !== own.digest || head.number !== own.number
            : head.number <= own.number || head.offset < this.#upTo;
        if (conflict) {
            const text = `Version ${head.number} at offset ${head.offset} contradicts the log as read here.`;
            this.#tell("version-conflict", text);
        }
        return conflict;
    }

    #replace(version: AcceptedVersion): void {
        this.#version = version;
        this.#tell(
            "version-accepted",
            `Version ${version.number} (${version.digest.slice(0, 12)}) is accepted.`,
        );
    }

    #keep(replaced: number, offset: number, data: string): void {
        const kept = [...this.#kept, { replaced, offset, data }];
        let characters = kept.reduce((sum, record) => sum + record.data.length, 0);
        while (characters > keptCharacters) {
            characters -= kept.shift()?.data.length ?? characters;
        }
        this.#kept = kept;
    }

    #tell(name: ConfigEventName, text: string): void {
        this.#events(configEvent(name, text));
    }
}
