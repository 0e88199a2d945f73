/** What entry VMs tell each other of the store, with their schema. */

import * as z from "zod";

const whole = z.number().int().nonnegative();

const entrySchema = z
    .object({
        id: z.string(),
        bornAt: z.number(),
        service: z.string(),
        address: z.string(),
        domain: z.string(),
        slots: z.number(),
        leaving: z.boolean(),
        warmUpMs: z.number(),
    })
    .readonly();

const serverNewsSchema = z
    .object({
        from: whole,
        to: whole,
        changes: z
            .array(z.object({ offset: whole, id: z.string(), entry: entrySchema.optional() }).readonly())
            .readonly(),
    })
    .readonly();

/** Addresses of entry VMs that the receiver hands the news on to, so that no one sends to a whole large fleet. */
const passTo = z.array(z.string()).readonly().optional();

/** News as a schema. Ages are milliseconds since the store was known to hold nothing newer. */
export const discoveryMessageSchema = z.discriminatedUnion("topic", [
    z.object({ topic: z.literal("servers"), ageMs: z.number(), news: serverNewsSchema, passTo }).readonly(),
    z
        .object({
            topic: z.literal("configuration"),
            ageMs: z.number(),
            to: whole,
            /** Absent if the receiver should know it by now, or has to read it itself. */
            text: z.string().optional(),
            passTo,
        })
        .readonly(),
    /** Asks for what came after these offsets; absent for everything. */
    z
        .object({
            topic: z.literal("question"),
            servers: whole.optional(),
            configuration: whole.optional(),
        })
        .readonly(),
]);

/** One message about the store. */
export type DiscoveryMessage = z.infer<typeof discoveryMessageSchema>;
