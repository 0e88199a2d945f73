/** Messages in which entry VMs tell one another of requests under which servers have ended. */

import * as z from "zod";

/** Largest number of endings of one request that are kept and reported. */
export const maxEndings = 24;
/** Largest number of requests in one message. */
export const maxReportsPerMessage = 20;

const reportSchema = z
    .object({
        /** Fingerprint of the request. */
        key: z.string().min(1).max(64),
        /** Incarnations of servers that ended while they ran it, and how long ago, in milliseconds. */
        endings: z
            .array(z.object({ server: z.string().max(200), agoMs: z.number().nonnegative() }).readonly())
            .max(maxEndings)
            .readonly(),
        /** How long ago a server answered it, in milliseconds; absent if none is known to have. */
        answeredAgoMs: z.number().nonnegative().optional(),
        /** Number of trials under which a server has ended, since it was last answered; absent for none. */
        failedTrials: z.number().int().nonnegative().optional(),
        /** How long ago the sender claimed the next trial, in milliseconds; absent if it holds none. */
        trialAgoMs: z.number().nonnegative().optional(),
    })
    .readonly();

/** What one entry VM tells others of a request. */
export type CrashReport = z.infer<typeof reportSchema>;

/** Schema of a message. */
export const crashMessageSchema = z
    .object({
        /** Stable name of the sending entry VM. */
        from: z.string().min(1).max(64),
        reports: z.array(reportSchema).max(maxReportsPerMessage).readonly(),
    })
    .readonly();

/** A message from one entry VM to all others. */
export type CrashMessage = z.infer<typeof crashMessageSchema>;
