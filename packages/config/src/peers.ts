/** What entry VMs tell each other of accepted versions. */

import * as z from "zod";
import { snapshotHeadSchema, snapshotSchema } from "./snapshot.js";

/** Asks other entry VMs. */
export interface Peers {
    /**
     * Puts the question to up to `count` peers chosen at random, and answers what came back in time;
     * an empty list if none could be reached. Never fails.
     */
    query(question: ConfigRequest, count: number): Promise<readonly ConfigResponse[]>;
}

/** Question to a peer: schema. */
export const configRequestSchema = z.object({
    /** Offset of the version that the asker has; -1 if none. */
    offset: z.number().int().min(-1),
    /** The asker has no version yet and needs a whole one. */
    fresh: z.boolean(),
});

/** Question to a peer. */
export type ConfigRequest = Readonly<z.infer<typeof configRequestSchema>>;

/** A peer's answer: schema. */
export const configResponseSchema = z.object({
    /** The peer's newest version. */
    head: snapshotHeadSchema,
    /** The accepted records that lead from the asker's version to it, if the peer still has them. */
    records: z.array(z.object({ offset: z.number().int().nonnegative(), data: z.string() })),
    /** The whole version, if the records can't do. */
    snapshot: snapshotSchema.optional(),
});

/** A peer's answer. */
export type ConfigResponse = z.infer<typeof configResponseSchema>;
