/** The stream of restorations; it tells readers which checkpoints and positions in the log are still valid. */

import type { LogService } from "@bramleymoor/platform/log";
import * as z from "zod";
import { parseJson } from "./record.js";

/** Name of the stream that `restore` appends to. */
export const restorationStream = "config-restorations";

const restorationSchema = z.strictObject({ number: z.number().int().positive() });

/**
 * Appends a restoration, whose checkpoint must be complete.
 *
 * @param number number of the restored version
 */
export const appendRestoration = async (log: LogService, number: number): Promise<void> => {
    await log.append(restorationStream, JSON.stringify({ number }));
};

/**
 * Returns the era of the log: the number of the version that was restored last, or 0.
 *
 * @throws PlatformError if the log can't be read
 */
export const readEra = async (log: LogService): Promise<number> => {
    const { first, next } = await log.read(restorationStream, Number.MAX_SAFE_INTEGER, 1, 0);
    if (first === next) {
        return 0;
    }
    const from = Math.max(0, next - maxRestorations);
    const { records } = await log.read(restorationStream, from, maxRestorations, 0);
    const numbers = records.map(({ data }) => restorationSchema.safeParse(parseJson(data)).data?.number ?? 0);
    return Math.max(0, ...numbers);
};

/** Restorations are rare; records beyond these were not written by operators. */
const maxRestorations = 8;
