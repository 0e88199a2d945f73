/** What entry VMs tell each other of accepted versions. */

import * as z from "zod";
import { snapshotHeadSchema, snapshotSchema } from "./snapshot.js";

/** Asks other entry VMs. */
export interface Peers {
    /**
     * Puts the question to up to `count` peers chosen at random, and answers what came back in time;
     * an empty list if none could be reached. Never fails.
     */
    ask(question: PeerQuestion, count: number): Promise<readonly Offer[]>;
}

/** Question to a peer: schema. */
export const peerQuestionSchema = z.object({
    /** Offset of the version that the asker has; -1 if none. */
    offset: z.number().int().min(-1),
    /** The asker has no version yet and needs a whole one. */
    fresh: z.boolean(),
});

/** Question to a peer. */
export type PeerQuestion = Readonly<z.infer<typeof peerQuestionSchema>>;

/** A peer's answer: schema. */
export const offerSchema = z.object({
    /** The peer's newest version. */
    head: snapshotHeadSchema,
    /** The accepted records that lead from the asker's version to it, if the peer still has them. */
    records: z.array(z.object({ offset: z.number().int().nonnegative(), data: z.string() })),
    /** The whole version, if the records can't do. */
    snapshot: snapshotSchema.optional(),
});

/** A peer's answer. */
export type Offer = z.infer<typeof offerSchema>;
