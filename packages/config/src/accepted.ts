/** Reads the accepted version at the end of the log, and notices versions that the log has lost. */

import type { LogService } from "@bramleymoor/platform/log";
import type { RecordOutcome } from "./evaluate.js";
import { configStream } from "./record.js";
import { Replay, type Progress } from "./replay.js";
import type { AcceptedVersion, Grammars } from "./version.js";

const batchRecords = 32;

/** Identity of a version that an entry VM serves. */
export interface KnownVersion {
    readonly number: number;
    readonly digest: string;
}

/** Replays the log to its end and keeps the digests of the versions that it passes. */
export class AcceptedReader {
    readonly replay: Replay;
    readonly #log: LogService;
    readonly #digests = new Map<number, string>();

    /** @param onOutcome is called with the outcome of each record */
    constructor(log: LogService, grammars: Grammars, onOutcome: (outcome: RecordOutcome) => void = () => {}) {
        this.#log = log;
        this.replay = new Replay(
            grammars,
            () => {},
            (_record, outcome) => {
                this.#keepDigest(outcome);
                onOutcome(outcome);
            },
        );
    }

    /**
     * Replays on to the end of the log.
     *
     * @throws PlatformError if the log can't be read
     */
    async readToEnd(): Promise<Progress> {
        const { replay } = this;
        for (;;) {
            const batch = await this.#log.read(configStream, replay.upTo, batchRecords, 0);
            const progress = replay.version ? replay.applyBatch(batch) : "missing";
            if (progress !== "applied" || replay.upTo >= batch.next) {
                return progress;
            }
        }
    }

    /**
     * Returns one of the versions that the log doesn't yield; undefined if it yields all of them. Versions older than the
     * replay's start aren't compared.
     *
     * @param known versions that were accepted before the last call of `readToEnd`
     */
    findLost(known: readonly KnownVersion[]): KnownVersion | undefined {
        const version = this.replay.version;
        return version && known.find(it => this.#isLost(it, version));
    }

    #isLost({ number, digest }: KnownVersion, current: AcceptedVersion): boolean {
        if (number >= current.number) {
            return number > current.number || digest !== current.digest;
        }
        const passed = this.#digests.get(number);
        return passed !== undefined && passed !== digest;
    }

    #keepDigest(outcome: RecordOutcome): void {
        if (outcome.kind === "accepted") {
            this.#digests.set(outcome.version.number, outcome.version.digest);
        }
    }
}
