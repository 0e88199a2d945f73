/** The versions that the platform's log still tells of. */

import { initializeReplay } from "@bramleymoor/config/initialize";
import { readCheckpoints } from "@bramleymoor/config/checkpoint";
import type { RecordOutcome } from "@bramleymoor/config/evaluate";
import { configStream } from "@bramleymoor/config/record";
import { Replay, type Progress } from "@bramleymoor/config/replay";
import type { Snapshot } from "@bramleymoor/config/snapshot";
import type { AcceptedVersion, Grammars } from "@bramleymoor/config/version";
import { PlatformError, type LogRecord, type LogService } from "@bramleymoor/platform/log";
import { CliError } from "./exit.js";

/** One record of the log, judged. */
export interface HistoryLine {
    readonly offset: number;
    /** Since the append, in milliseconds. */
    readonly ageMs: number;
    readonly verdict: RecordOutcome;
}

/** What the log tells. */
export interface History {
    /** The version that the log's kept records begin from. */
    readonly base: AcceptedVersion;
    readonly lines: readonly HistoryLine[];
    /** The accepted version. */
    readonly current: AcceptedVersion;
}

/**
 * Reads the accepted version.
 *
 * @throws CliError if the log can't be read to its end
 */
export const readCurrent = async (log: LogService, known: Grammars): Promise<AcceptedVersion> =>
    (await readLog(log, known, replay => initializeReplay(log, replay))).current;

/**
 * Reads every version that the log's records and checkpoints still lead to.
 *
 * @throws CliError if the log can't be read to its end
 */
export const readHistory = (log: LogService, known: Grammars): Promise<History> =>
    readLog(log, known, replay => findOldestBase(log, replay));

/** A version by its number. */
export const versionOf = (history: History, number: number): AcceptedVersion => {
    const later = history.lines.flatMap(({ verdict }) =>
        verdict.kind === "accepted" ? [verdict.version] : [],
    );
    const found = [history.base, ...later].find(version => version.number === number);
    if (!found) {
        const range = `The log tells of versions ${history.base.number} to ${history.current.number}.`;
        throw new CliError("not-found", `There is no version ${number}. ${range}`);
    }
    return found;
};

const batchRecords = 256;

const readLog = async (
    log: LogService,
    known: Grammars,
    start: (replay: Replay) => Promise<void>,
): Promise<History> => {
    const lines: HistoryLine[] = [];
    const note = ({ offset, ageMs }: LogRecord, verdict: RecordOutcome): void => {
        lines.push({ offset, ageMs, verdict });
    };
    const replay = new Replay(known, () => {}, note);
    try {
        await start(replay);
        const base = replay.version;
        await readToEnd(log, replay);
        if (base && replay.version) {
            return { base, lines, current: replay.version };
        }
    } catch (err) {
        if (err instanceof PlatformError) {
            throw new CliError("platform-unreachable", `The log can't be read: ${err.message}.`);
        }
        throw err;
    }
    throw new CliError("platform-unreachable", progressTexts.missing);
};

const readToEnd = async (log: LogService, replay: Replay): Promise<void> => {
    for (;;) {
        const batch = await log.read(configStream, replay.upTo, batchRecords, 0);
        const progress = replay.version ? replay.applyBatch(batch) : "missing";
        if (progress !== "applied") {
            throw new CliError("platform-unreachable", progressTexts[progress]);
        }
        if (replay.upTo >= batch.next) {
            return;
        }
    }
};

/** Begins at the log's beginning, or at the oldest checkpoint from which on every record is kept. */
const findOldestBase = async (log: LogService, replay: Replay): Promise<void> => {
    const { first, next } = await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
    if (first === 0) {
        replay.startEmpty();
        return;
    }
    let oldest: Snapshot | undefined;
    await readCheckpoints(log, snapshot => {
        const usable = snapshot.upTo >= first && snapshot.upTo <= next;
        oldest = usable && snapshot.upTo <= (oldest?.upTo ?? next) ? snapshot : oldest;
        return false;
    });
    if (oldest) {
        replay.installSnapshot(oldest, "checkpoint");
    }
};

const progressTexts: Readonly<Record<Exclude<Progress, "applied">, string>> = {
    missing: "Records of the log have expired, and no checkpoint fills the gap. Ask `bramleymoor status`.",
    shrunk: "The log ended before records that were read already; try again.",
    outdated: "The grammar in force is newer than this program; upgrade it.",
};
