/** Requests and responses by which entry VMs fetch accepted versions from each other. */

import * as z from "zod";
import { snapshotHeadSchema, snapshotSchema } from "./snapshot.js";

/** Sends requests to other entry VMs. */
export interface Peers {
    /**
     * Sends a request to up to `count` peers chosen at random, and returns the responses that arrive in time; an empty
     * list if there is none. Never rejects.
     */
    query(request: ConfigRequest, count: number): Promise<readonly ConfigResponse[]>;
}

/** Schema of a request to a peer. */
export const configRequestSchema = z.object({
    /** Era of the requester's version; absent in requests of older builds. */
    era: z.number().int().nonnegative().default(0),
    /** Offset of the requester's version; -1 if it has none. */
    offset: z.number().int().min(-1),
    /** The requester has no version yet and needs a snapshot. */
    fresh: z.boolean(),
});

/** A request to a peer. */
export type ConfigRequest = Readonly<z.infer<typeof configRequestSchema>>;

/** Schema of a peer's response. */
export const configResponseSchema = z.object({
    /** The peer's newest version. */
    head: snapshotHeadSchema,
    /** The accepted records from the requester's version to the newest one, if the peer still has them. */
    records: z.array(z.object({ offset: z.number().int().nonnegative(), data: z.string() })),
    /** A snapshot of the newest version, if the records don't suffice. */
    snapshot: snapshotSchema.optional(),
});

/** A peer's response. */
export type ConfigResponse = z.infer<typeof configResponseSchema>;
