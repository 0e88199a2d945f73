/** Checkpoints: the accepted version written to a stream of its own, in parts followed by an end record. */

import type { LogService } from "@bramleymoor/platform/log";
import * as z from "zod";
import { parseJson } from "./record.js";
import { snapshotHeadSchema, type Snapshot, type SnapshotHead } from "./snapshot.js";

/** Stream that entry VMs write checkpoints to. */
export const checkpointStream = "config-checkpoints";

const partCharacters = 128 * 1024;
const pageRecords = 8;

const partSchema = z.strictObject({
    part: z.number().int().nonnegative(),
    id: z.string(),
    data: z.string(),
});

const endSchema = z.strictObject({
    /** How many parts came before. */
    parts: z.number().int().positive(),
    id: z.string(),
    head: snapshotHeadSchema,
});

/** The end record of a checkpoint; undefined if a record isn't one. */
export const parseCheckpointEnd = (data: string): SnapshotHead | undefined =>
    endSchema.safeParse(parseJson(data)).data?.head;

/** Appends a checkpoint; fails with a PlatformError, leaving a checkpoint without an end, which readers pass over. */
export const appendCheckpoint = async (log: LogService, snapshot: Snapshot, id: string): Promise<void> => {
    const { text, ...head } = snapshot;
    const parts = Math.max(1, Math.ceil(text.length / partCharacters));
    for (let part = 0; part < parts; part++) {
        const data = text.slice(part * partCharacters, (part + 1) * partCharacters);
        await log.append(checkpointStream, JSON.stringify({ part, id, data }));
    }
    await log.append(checkpointStream, JSON.stringify({ parts, id, head }));
};

/**
 * Reads checkpoints from the newest record backwards until `use` takes one.
 *
 * @param use gets each whole checkpoint and tells whether it will do
 */
export const readCheckpoints = async (
    log: LogService,
    use: (snapshot: Snapshot) => boolean,
): Promise<boolean> => {
    const tail = await log.read(checkpointStream, Number.MAX_SAFE_INTEGER, 1, 0);
    const unfinished = new Map<string, Unfinished>();
    for (let end = tail.next; end > tail.first; end -= pageRecords) {
        const from = Math.max(tail.first, end - pageRecords);
        const { records } = await log.read(checkpointStream, from, end - from, 0);
        for (const { data } of records.toReversed()) {
            const whole = takeRecord(unfinished, data);
            if (whole && use(whole)) {
                return true;
            }
        }
    }
    return false;
};

interface Unfinished {
    readonly head: SnapshotHead;
    readonly count: number;
    readonly parts: Map<number, string>;
}

/** Answers the checkpoint that a record, read backwards, makes whole. */
const takeRecord = (unfinished: Map<string, Unfinished>, data: string): Snapshot | undefined => {
    const body = parseJson(data);
    const end = endSchema.safeParse(body).data;
    if (end) {
        unfinished.set(end.id, { head: end.head, count: end.parts, parts: new Map() });
        return undefined;
    }
    const part = partSchema.safeParse(body).data;
    const known = part && unfinished.get(part.id);
    if (!part || !known) {
        return undefined;
    }
    known.parts.set(part.part, part.data);
    if (known.parts.size < known.count) {
        return undefined;
    }
    unfinished.delete(part.id);
    const text = Array.from({ length: known.count }, (_, index) => known.parts.get(index) ?? "").join("");
    return { ...known.head, text };
};
