/** Finds the point in the log where a replay starts. */

import type { LogService } from "@bramleymoor/platform/log";
import { readCheckpoints } from "./checkpoint.js";
import { configStream } from "./record.js";
import type { Replay } from "./replay.js";

/**
 * Starts a replay from the newest usable checkpoint, or from the start of the log. A checkpoint is usable if the log
 * still holds every record after it. Without either, the replay is left unchanged.
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
    if (first === 0 && !replay.version) {
        replay.startEmpty();
    }
    await readCheckpoints(log, snapshot => {
        const usable = snapshot.upTo >= first && snapshot.upTo <= next && snapshot.number <= maxNumber;
        return usable && replay.installSnapshot(snapshot, "checkpoint");
    });
};
