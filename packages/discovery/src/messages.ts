/** Messages in which entry VMs exchange what they read from the store. */

import { isAddress } from "@bramleymoor/model/address";
import * as z from "zod";
import { maxEvacuatedDomains } from "./evacuation.js";

/** Longest name of a failure domain; a key of the store has at most 255 bytes. */
const maxDomainChars = 255;

const offsetSchema = z.number().int().nonnegative();

/** Era of the store in which offsets are valid; absent in messages of older builds, which know only one. */
const era = z.number().int().nonnegative().optional();

/** Id of a backend server's incarnation, which headers name. */
export const serverIdSchema = z.string().regex(/^[\x21-\x7e]+$/, "must be printable ASCII");

const entrySchema = z
    .object({
        id: serverIdSchema,
        bornAt: z.number(),
        service: z.string(),
        address: z.string().refine(isAddress),
        domain: z.string(),
        slots: z.number().int().positive(),
        leaving: z.boolean(),
        warmUpMs: z.number().nonnegative(),
    })
    .readonly();

/** Names of failure domains. */
const domains = z.array(z.string().max(maxDomainChars)).max(maxEvacuatedDomains).readonly().optional();

const serverUpdateSchema = z
    .object({
        era,
        from: offsetSchema,
        to: offsetSchema,
        changes: z
            .array(
                z
                    .object({
                        offset: offsetSchema,
                        id: z.string(),
                        // An entry that a sender's older build accepted names no server to use.
                        entry: entrySchema.optional().catch(undefined),
                    })
                    .readonly(),
            )
            .readonly(),
    })
    .readonly();

/** Entry VMs that the receiver forwards the message to, so that no sender has to reach a large fleet alone. */
const passTo = z.array(z.string()).readonly().optional();

/** Schema of the messages. `ageMs` is the time in milliseconds since the store was known to hold nothing newer. */
export const discoveryMessageSchema = z.discriminatedUnion("topic", [
    z
        .object({
            topic: z.literal("servers"),
            ageMs: z.number().nonnegative(),
            news: serverUpdateSchema,
            passTo,
        })
        .readonly(),
    z
        .object({
            topic: z.literal("configuration"),
            ageMs: z.number().nonnegative(),
            era,
            to: offsetSchema,
            /** Version that the sender has in force; absent in messages of older builds. */
            version: z.number().int().nonnegative().optional(),
            /** Absent if it is unchanged, or too large to send, so that the receiver reads the store. */
            text: z.string().optional(),
            /** All domains evacuated as of `to`; absent in messages of older builds. */
            evacuated: domains,
            /** Those of them that were evacuated in an earlier era, and of which this one has no record. */
            carriedOver: domains,
            /** Domains whose evacuation a record of this era has ended. */
            ended: domains,
            passTo,
        })
        .readonly(),
    /** Requests the changes from these offsets on; everything if an offset is absent. */
    z
        .object({
            topic: z.literal("question"),
            era,
            servers: offsetSchema.optional(),
            configuration: offsetSchema.optional(),
        })
        .readonly(),
]);

/** A message between entry VMs. */
export type DiscoveryMessage = z.infer<typeof discoveryMessageSchema>;

/** A message about one topic. */
export type TopicMessage<T extends DiscoveryMessage["topic"]> = Extract<
    DiscoveryMessage,
    { readonly topic: T }
>;
