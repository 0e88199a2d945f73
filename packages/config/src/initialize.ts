/** Finds the point in the log where a replay starts. */

import type { LogService } from "@bramleymoor/platform/log";
import { readCheckpoints } from "./checkpoint.js";
import { configStream } from "./record.js";
import { readEra } from "./restorations.js";
import type { Replay } from "./replay.js";
import type { Snapshot } from "./snapshot.js";

/**
 * Starts a replay from the newest usable checkpoint, or from the start of the log. A checkpoint is usable if it is of the
 * log's era, and the log still holds every record after it. Without either, the replay is left unchanged.
 *
 * If the log has lost records, a checkpoint may lie beyond its end. Then it is the newest version that is known, and the
 * replay makes no progress from there.
 *
 * @param maxNumber greatest version number to start from; checkpoints of later versions are ignored
 * @throws PlatformError if the log can't be read
 */
export const initializeReplay = async (
    log: LogService,
    replay: Replay,
    maxNumber = Infinity,
): Promise<void> => {
    const { first, next } = await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
    const era = await readEra(log);
    if (first === 0 && era === 0 && !replay.version) {
        replay.startEmpty();
    }
    let beyond: Snapshot | undefined;
    await readCheckpoints(log, snapshot => {
        if (snapshot.era < era) {
            return false;
        }
        if (snapshot.upTo > next) {
            beyond ??= snapshot.offset >= next ? snapshot : undefined;
            return false;
        }
        const usable = snapshot.upTo >= first && snapshot.number <= maxNumber;
        return usable && replay.installSnapshot(snapshot, "checkpoint");
    });
    if (beyond && beyond.offset >= (await readEnd(log))) {
        replay.installSnapshot(beyond, "checkpoint");
    }
    if (replay.version && replay.version.offset + 1 >= first) {
        // The log may have lost skipped records that the checkpoint covers, and hold others at their offsets.
        replay.rewind();
    }
};

/** Returns the end of the log; a checkpoint that was read before is beyond it only if the log has lost records. */
const readEnd = async (log: LogService): Promise<number> =>
    (await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0)).next;
