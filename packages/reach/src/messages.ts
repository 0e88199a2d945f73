/** Messages in which entry VMs that reach no servers say so, and ask the others which ones they reach. */

import * as z from "zod";

/** Largest number of servers that one message asks for. */
export const maxServersPerQuestion = 16;

const base = {
    /** Stable name of the sending entry VM. */
    from: z.string().min(1).max(64),
};

/** Schema of a message. */
export const reachMessageSchema = z.discriminatedUnion("type", [
    /** What the sender says of itself. */
    z
        .object({
            ...base,
            type: z.literal("state"),
            /** Whether it has lost its links to the servers. */
            cutOff: z.boolean(),
        })
        .readonly(),
    z
        .object({
            ...base,
            type: z.literal("question"),
            /** Incarnation keys of servers, and how long ago the sender began to fail to reach them, in milliseconds. */
            servers: z
                .array(z.object({ key: z.string().max(200), sinceMs: z.number().nonnegative() }).readonly())
                .max(maxServersPerQuestion)
                .readonly(),
        })
        .readonly(),
    z
        .object({
            ...base,
            type: z.literal("answer"),
            /** Those of the servers that have responded to the sender since, and how long ago, in milliseconds. */
            reached: z
                .array(z.object({ key: z.string().max(200), agoMs: z.number().nonnegative() }).readonly())
                .max(maxServersPerQuestion)
                .readonly(),
            /** Whether the sender has room for requests of entry VMs that reach no servers. */
            hasRoom: z.boolean(),
        })
        .readonly(),
]);

/** A message from one entry VM to others. */
export type ReachMessage = z.infer<typeof reachMessageSchema>;
