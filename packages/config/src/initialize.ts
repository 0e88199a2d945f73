/** Where a replay may begin. */

import type { LogService } from "@bramleymoor/platform/log";
import { readCheckpoints } from "./checkpoint.js";
import { configStream } from "./record.js";
import type { Replay } from "./replay.js";

/**
 * Gives a replay the newest usable checkpoint, or the log's very beginning. A checkpoint is usable if each
 * record after it is still kept. Leaves the replay as it is if there is neither; fails with a PlatformError.
 *
 * @param maxNumber checkpoints of later versions are passed over
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
