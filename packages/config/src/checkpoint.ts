/** Checkpoints: snapshots of the accepted version in a separate stream, each as several parts and an end record. */

import type { LogService } from "@bramleymoor/platform/log";
import * as z from "zod";
import { parseJson } from "./record.js";
import { snapshotHeadSchema, type Snapshot, type SnapshotHead } from "./snapshot.js";

/** Name of the stream that entry VMs append checkpoints to. */
export const checkpointStream = "config-checkpoints";

/** Characters of the text in one part. */
const partSize = 128 * 1024;
/** Records read at a time, from the end backwards. */
const pageSize = 8;

const partSchema = z.strictObject({
    part: z.number().int().nonnegative(),
    id: z.string(),
    data: z.string(),
});

const endSchema = z.strictObject({
    /** Number of the parts before this record. */
    parts: z.number().int().positive(),
    id: z.string(),
    head: snapshotHeadSchema,
});

/** Parses the end record of a checkpoint; returns undefined for other records. */
export const parseCheckpointEnd = (data: string): SnapshotHead | undefined =>
    endSchema.safeParse(parseJson(data)).data?.head;

/**
 * Appends a checkpoint.
 *
 * @throws PlatformError if the log fails; readers ignore the unfinished checkpoint
 */
export const appendCheckpoint = async (log: LogService, snapshot: Snapshot, id: string): Promise<void> => {
    const { text, ...head } = snapshot;
    const parts = Math.max(1, Math.ceil(text.length / partSize));
    for (let part = 0; part < parts; part++) {
        const data = text.slice(part * partSize, (part + 1) * partSize);
        await log.append(checkpointStream, JSON.stringify({ part, id, data }));
    }
    await log.append(checkpointStream, JSON.stringify({ parts, id, head }));
};

/**
 * Reads checkpoints from the newest backwards until `accept` returns true for one; returns whether it did.
 *
 * @param accept is called with each complete checkpoint and returns whether to stop there
 */
export const readCheckpoints = async (
    log: LogService,
    accept: (snapshot: Snapshot) => boolean,
): Promise<boolean> => {
    const tail = await log.read(checkpointStream, Number.MAX_SAFE_INTEGER, 1, 0);
    const partial = new Map<string, PartialCheckpoint>();
    for (let end = tail.next; end > tail.first; end -= pageSize) {
        const from = Math.max(tail.first, end - pageSize);
        const { records } = await log.read(checkpointStream, from, end - from, 0);
        for (const { data } of records.toReversed()) {
            const complete = addRecord(partial, data);
            if (complete && accept(complete)) {
                return true;
            }
        }
    }
    return false;
};

interface PartialCheckpoint {
    readonly head: SnapshotHead;
    readonly count: number;
    readonly parts: Map<number, string>;
}

/** Adds a record, read backwards, and returns the checkpoint that it completes, if any. */
const addRecord = (partial: Map<string, PartialCheckpoint>, data: string): Snapshot | undefined => {
    const body = parseJson(data);
    const end = endSchema.safeParse(body).data;
    if (end) {
        partial.set(end.id, { head: end.head, count: end.parts, parts: new Map() });
        return undefined;
    }
    const part = partSchema.safeParse(body).data;
    const checkpoint = part && partial.get(part.id);
    if (!part || !checkpoint) {
        return undefined;
    }
    checkpoint.parts.set(part.part, part.data);
    if (checkpoint.parts.size < checkpoint.count) {
        return undefined;
    }
    partial.delete(part.id);
    const text = Array.from(
        { length: checkpoint.count },
        (_, index) => checkpoint.parts.get(index) ?? "",
    ).join("");
    return { ...checkpoint.head, text };
};
