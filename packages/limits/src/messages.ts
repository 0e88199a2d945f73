/**
 * Messages in which entry VMs tell one another of servers' request limits, claim shares of them, and tell of servers that are
 * leaving, cold or want no requests for a time.
 */

import * as z from "zod";

/** Largest number of limits in one message. */
export const maxLimitsPerMessage = 100;

const limitSchema = z
    .object({
        /** Incarnation key of the server. */
        key: z.string().max(200),
        /** Requests per second from all entry VMs together; absent if the server no longer names a limit. */
        perSecond: z.number().nonnegative().optional(),
        /** Time since the server named this, in milliseconds. */
        ageMs: z.number().nonnegative(),
        /** Whether the sender claims a share. */
        claimed: z.boolean(),
    })
    .readonly();

/** Largest number of servers whose availability one message reports. */
export const maxServersPerMessage = 100;

const availabilitySchema = z
    .object({
        /** Incarnation key of the server. */
        key: z.string().max(200),
        /** Whether the server has said that it is leaving. */
        leaving: z.boolean().optional(),
        /** Time for which it wants no further requests from the sender, in milliseconds. */
        notNowMs: z.number().nonnegative().optional(),
    })
    .readonly();

/** What one entry VM tells others of a server's availability. */
export type AvailabilityReport = z.infer<typeof availabilitySchema>;

/** Largest number of cold servers in one message. */
export const maxColdServersPerMessage = 100;

const coldServerSchema = z
    .object({
        /** Incarnation key of the server. */
        key: z.string().max(200),
        /** Remaining cold period as the server has stated it to the sender, in milliseconds; absent from mere claims. */
        remainingMs: z.number().nonnegative().optional(),
        /** Whether the sender claims a share of what the cold server bears; absent from mere statements. */
        claimed: z.boolean().optional(),
    })
    .readonly();

/** What one entry VM tells others of a cold server. */
export type ColdServerReport = z.infer<typeof coldServerSchema>;

/** Schema of a message. */
export const limitMessageSchema = z
    .object({
        /** Stable name of the sending entry VM. */
        from: z.string().min(1).max(64),
        limits: z.array(limitSchema).max(maxLimitsPerMessage).readonly(),
        /** Absent from messages about limits alone. */
        servers: z.array(availabilitySchema).max(maxServersPerMessage).readonly().optional(),
        /** Absent if there are none; older builds ignore it. */
        cold: z.array(coldServerSchema).max(maxColdServersPerMessage).readonly().optional(),
    })
    .readonly();

/** A message from one entry VM to all others. */
export type LimitMessage = z.infer<typeof limitMessageSchema>;
