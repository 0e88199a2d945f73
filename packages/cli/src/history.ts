/** Reads the versions that the platform's log still holds. */

import { initializeReplay } from "@bramleymoor/config/initialize";
import { readCheckpoints } from "@bramleymoor/config/checkpoint";
import type { RecordOutcome } from "@bramleymoor/config/evaluate";
import { configStream } from "@bramleymoor/config/record";
import { readEra } from "@bramleymoor/config/restorations";
import { Replay, type Progress } from "@bramleymoor/config/replay";
import type { Snapshot } from "@bramleymoor/config/snapshot";
import type { AcceptedVersion, Grammars } from "@bramleymoor/config/version";
import { PlatformError, type LogRecord, type LogService } from "@bramleymoor/platform/log";
import { CliError } from "./exit.js";

/** One record of the log and its outcome. */
export interface HistoryRecord {
    readonly offset: number;
    /** Time since the append, in milliseconds. */
    readonly ageMs: number;
    readonly outcome: RecordOutcome;
}

/** The versions that can be read from the log. */
export interface History {
    /** Version that the first of the records is applied to. */
    readonly base: AcceptedVersion;
    readonly records: readonly HistoryRecord[];
    /** Accepted version. */
    readonly current: AcceptedVersion;
}

/**
 * Reads the accepted version.
 *
 * @throws CliError if the log can't be read to its end
 */
export const readAcceptedVersion = async (log: LogService, grammars: Grammars): Promise<AcceptedVersion> =>
    (await readLog(log, grammars, replay => initializeReplay(log, replay))).current;

/**
 * Reads every version that can be rebuilt from the log's records and checkpoints.
 *
 * @throws CliError if the log can't be read to its end
 */
export const readHistory = (log: LogService, grammars: Grammars): Promise<History> =>
    readLog(log, grammars, replay => findOldestBase(log, replay));

/**
 * Returns a version by its number.
 *
 * @throws CliError if the log doesn't hold it
 */
export const findVersion = (history: History, number: number): AcceptedVersion => {
    const later = history.records.flatMap(({ outcome }) =>
        outcome.kind === "accepted" ? [outcome.version] : [],
    );
    const found = [history.base, ...later].find(version => version.number === number);
    if (!found) {
        const range = `The log holds versions ${history.base.number} to ${history.current.number}.`;
        throw new CliError("not-found", `There is no version ${number}. ${range}`);
    }
    return found;
};

const recordsPerRead = 256;

const readLog = async (
    log: LogService,
    grammars: Grammars,
    start: (replay: Replay) => Promise<void>,
): Promise<History> => {
    const records: HistoryRecord[] = [];
    const onOutcome = ({ offset, ageMs }: LogRecord, outcome: RecordOutcome): void => {
        records.push({ offset, ageMs, outcome });
    };
    const replay = new Replay(grammars, () => {}, onOutcome);
    try {
        await start(replay);
        const base = replay.version;
        await readToEnd(log, replay);
        if (base && replay.version) {
            return { base, records, current: replay.version };
        }
    } catch (err) {
        if (err instanceof PlatformError) {
            throw new CliError("platform-unreachable", `The log can't be read: ${err.message}.`);
        }
        throw err;
    }
    throw new CliError("platform-unreachable", progressErrors.missing);
};

const readToEnd = async (log: LogService, replay: Replay): Promise<void> => {
    for (;;) {
        const batch = await log.read(configStream, replay.upTo, recordsPerRead, 0);
        const progress = replay.version ? replay.applyBatch(batch) : "missing";
        if (progress !== "applied") {
            throw new CliError("platform-unreachable", progressErrors[progress]);
        }
        if (replay.upTo >= batch.next) {
            return;
        }
    }
};

/** Starts the replay at the beginning of the log, or at the oldest checkpoint after which no record has expired. */
const findOldestBase = async (log: LogService, replay: Replay): Promise<void> => {
    const { first, next } = await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
    const era = await readEra(log);
    if (first === 0 && era === 0) {
        replay.startEmpty();
        return;
    }
    let oldest: Snapshot | undefined;
    await readCheckpoints(log, snapshot => {
        const usable = snapshot.era >= era && snapshot.upTo >= first && snapshot.upTo <= next;
        oldest = usable && snapshot.upTo <= (oldest?.upTo ?? next) ? snapshot : oldest;
        return false;
    });
    if (oldest) {
        replay.installSnapshot(oldest, "checkpoint");
    }
};

const progressErrors: Readonly<Record<Exclude<Progress, "applied">, string>> = {
    missing: "Records of the log have expired, and no checkpoint fills the gap. Check `bramleymoor status`.",
    shrunk: "The log has lost records that entry VMs have read. `bramleymoor restore` restores the accepted version.",
    outdated: "The grammar in force is newer than this program; upgrade it.",
};
