/** Replays the log record by record, from a starting version to the accepted one. */

import type { LogBatch, LogRecord } from "@bramleymoor/platform/log";
import { configEvent, type ConfigEventName, type ConfigEventHandler } from "./events.js";
import { evaluateRecord, type RecordOutcome } from "./evaluate.js";
import type { ConfigRequest, ConfigResponse } from "./peers.js";
import { headOf, snapshotOf, versionFromSnapshot, type Snapshot, type SnapshotHead } from "./snapshot.js";
import { emptyVersion, type AcceptedVersion, type Grammars } from "./version.js";

/** Limit on the accepted records that are kept for peers, in characters. */
const maxRetainedCharacters = 128 * 1024;

interface RetainedRecord {
    /** Offset of the version that the record replaced. */
    readonly replacedOffset: number;
    readonly offset: number;
    readonly data: string;
}

/** Result of applying a batch. */
export type Progress =
    | "applied"
    /** Records that were never read have expired. */
    | "missing"
    /** The log ends before records that were already read. */
    | "shrunk"
    /** This release doesn't know the grammar in force. */
    | "outdated";

/** The accepted version, which never goes back, and the offset up to which the log has been evaluated. */
export class Replay {
    readonly #grammars: Grammars;
    readonly #events: ConfigEventHandler;
    readonly #onOutcome: (record: LogRecord, outcome: RecordOutcome) => void;
    #version: AcceptedVersion | undefined;
    #upTo = 0;
    /** Records below this offset were reported before the last rewind. */
    #rewoundFrom = 0;
    #retained: readonly RetainedRecord[] = [];

    /**
     * @param onOutcome is called with the outcome of each record
     */
    constructor(
        grammars: Grammars,
        events: ConfigEventHandler,
        onOutcome: (record: LogRecord, outcome: RecordOutcome) => void = () => {},
    ) {
        this.#grammars = grammars;
        this.#events = events;
        this.#onOutcome = onOutcome;
    }

    /** The accepted version at `upTo`; undefined until the replay has a starting version. */
    get version(): AcceptedVersion | undefined {
        return this.#version;
    }

    /** Every record below this offset of the version's era has been evaluated. */
    get upTo(): number {
        return this.#upTo;
    }

    /** Starts with the empty version at the start of the log. */
    startEmpty(): void {
        this.#version ??= emptyVersion;
    }

    /** Evaluates the records of a batch that was read from offset `from` on; a peer's version may have arrived since. */
    applyBatch(batch: LogBatch, from = this.#upTo): Progress {
        if (batch.next < from) {
            return "shrunk";
        }
        for (const record of batch.records) {
            if (record.offset < this.#upTo) {
                continue;
            }
            if (record.offset > this.#upTo) {
                return "missing";
            }
            if (!this.#applyRecord(record)) {
                return "outdated";
            }
        }
        return batch.first > this.#upTo ? "missing" : "applied";
    }

    /** Goes back to just after the accepted version, to evaluate anew what follows in a log that has lost records. */
    rewind(): void {
        this.#rewoundFrom = this.#upTo;
        this.#upTo = (this.#version?.offset ?? -1) + 1;
    }

    /** Installs a snapshot if it is valid and newer; returns whether it did. */
    installSnapshot(snapshot: Snapshot, source: "checkpoint" | "peer"): boolean {
        if (this.#conflicts(snapshot) || !this.#isNewer(snapshot)) {
            return false;
        }
        if (snapshot.era === this.#version?.era && snapshot.offset === this.#version.offset) {
            this.#upTo = snapshot.upTo;
            return true;
        }
        const version = versionFromSnapshot(snapshot, this.#grammars, this.#version);
        if (typeof version === "string") {
            const name = source === "peer" ? "offer-skipped" : "checkpoint-skipped";
            this.#emitEvent(name, `Skipped a ${source}'s version ${snapshot.number}: ${version}.`);
            return false;
        }
        this.#retained = [];
        this.#setVersion(version);
        this.#upTo = snapshot.upTo;
        return true;
    }

    /** Applies a peer's response if it is newer. */
    applyResponse(response: ConfigResponse): void {
        const before = this.#version;
        if (before && !this.#grammars.has(before.grammar)) {
            return;
        }
        if (before && response.records.length > 0 && !this.#conflicts(response.head)) {
            this.#applyRecords(before, response);
        } else {
            this.installSnapshot(response.snapshot ?? { ...response.head, text: "" }, "peer");
        }
        if (this.#version && this.#version !== before) {
            this.#emitEvent("version-from-peer", `Received version ${this.#version.number} from a peer.`);
        }
    }

    /** Returns the response to a peer's request; undefined without a version. */
    respond(request: ConfigRequest): ConfigResponse | undefined {
        const version = this.#version;
        if (!version) {
            return undefined;
        }
        const head = headOf(version, this.#upTo);
        if (!request.fresh && !isBefore(request, version)) {
            return { head, records: [] };
        }
        const from =
            request.fresh || request.era !== version.era
                ? -1
                : this.#retained.findIndex(record => record.replacedOffset === request.offset);
        if (from < 0) {
            return { head, records: [], snapshot: snapshotOf(version, this.#upTo) };
        }
        const records = this.#retained.slice(from).map(({ offset, data }) => ({ offset, data }));
        return { head, records };
    }

    #applyRecord(record: LogRecord): boolean {
        const before = this.#version ?? emptyVersion;
        const outcome = evaluateRecord(before, record.offset, record.data, this.#grammars);
        this.#onOutcome(record, outcome);
        if (outcome.kind === "outdated") {
            return false;
        }
        this.#upTo = record.offset + 1;
        if (outcome.kind === "accepted") {
            this.#retain(before.offset, record.offset, record.data);
            this.#setVersion(outcome.version);
        } else if (record.offset >= this.#rewoundFrom) {
            this.#emitEvent(
                "record-skipped",
                `Skipped the record at offset ${record.offset}: ${outcome.reason}.`,
            );
        }
        return true;
    }

    #applyRecords(before: AcceptedVersion, response: ConfigResponse): void {
        let version = before;
        for (const { offset, data } of response.records) {
            const outcome = evaluateRecord(version, offset, data, this.#grammars);
            if (outcome.kind !== "accepted") {
                this.#emitEvent(
                    "offer-skipped",
                    `Skipped a peer's records: the one at offset ${offset} doesn't apply.`,
                );
                return;
            }
            version = outcome.version;
        }
        const { head } = response;
        if (version.era !== head.era || version.offset !== head.offset || version.digest !== head.digest) {
            this.#emitEvent(
                "offer-skipped",
                `Skipped a peer's records: they don't result in its version ${head.number}.`,
            );
            return;
        }
        let replacedOffset = before.offset;
        for (const { offset, data } of response.records) {
            this.#retain(replacedOffset, offset, data);
            replacedOffset = offset;
        }
        this.#setVersion(version);
        this.#upTo = Math.max(this.#upTo, head.upTo);
    }

    #isNewer(head: SnapshotHead): boolean {
        if (!this.#version || isBefore(this.#version, head)) {
            return true;
        }
        return !isBefore(head, this.#version) && head.upTo > this.#upTo;
    }

    /** Returns whether a snapshot's head contradicts the log as evaluated so far, and reports that. */
    #conflicts(head: SnapshotHead): boolean {
        const own = this.#version;
        if (!own || isBefore(head, own)) {
            return false;
        }
        const conflict = isBefore(own, head)
            ? head.number <= own.number || (head.era === own.era && head.offset < this.#upTo)
            : head.digest !== own.digest || head.number !== own.number;
        if (conflict) {
            const text = `Version ${head.number} at offset ${head.offset} contradicts the log as read so far.`;
            this.#emitEvent("version-conflict", text);
        }
        return conflict;
    }

    #setVersion(version: AcceptedVersion): void {
        this.#version = version;
        this.#emitEvent(
            "version-accepted",
            `Version ${version.number} (${version.digest.slice(0, 12)}) is accepted.`,
        );
    }

    #retain(replacedOffset: number, offset: number, data: string): void {
        const retained = [...this.#retained, { replacedOffset, offset, data }];
        let characters = retained.reduce((sum, record) => sum + record.data.length, 0);
        while (characters > maxRetainedCharacters) {
            characters -= retained.shift()?.data.length ?? characters;
        }
        this.#retained = retained;
    }

    #emitEvent(name: ConfigEventName, text: string): void {
        this.#events(configEvent(name, text));
    }
}

interface EraOffset {
    readonly era: number;
    readonly offset: number;
}

const isBefore = (a: EraOffset, b: EraOffset): boolean =>
    a.era < b.era || (a.era === b.era && a.offset < b.offset);
