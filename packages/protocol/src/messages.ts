/** The JSON answers that cross process borders: addresses for callers, load reports, error bodies. */

import * as z from "zod";

/** Answer to "which addresses": schema. */
export const addressResponseSchema = z.object({
    service: z.string(),
    /** Best first, each "IP:port"; a caller tries them in order. */
    addresses: z.array(z.string()).min(1),
    /** How long the answer may be kept, in milliseconds. */
    ttlMs: z.number().int().positive(),
    /** Goes with every non-idempotent request sent on the strength of this answer. */
    ticket: z.string(),
    /** Version of the accepted text that the answer follows. */
    version: z.number().int().nonnegative(),
});

/** Answer to "which addresses". */
export type AddressResponse = Readonly<z.infer<typeof addressResponseSchema>>;

/** A backend server's load report: schema. */
export const loadReportSchema = z.object({
    /** Requests in progress, running and queued. */
    inFlight: z.number().int().nonnegative(),
    /** Recent service time in milliseconds. */
    latencyMs: z.number().nonnegative(),
    /** The server is leaving and wants no new work. */
    draining: z.boolean().default(false),
});

/** A backend server's load report, from its answers' bm-load header or its load endpoint. */
export type LoadReport = Readonly<z.infer<typeof loadReportSchema>>;

/** Body of every answer that is the system's own: schema. */
export const errorBodySchema = z.object({
    error: z.string(),
    ran: z.enum(["not run", "ran", "outcome unknown"]),
    retry: z.enum(["never", "same", "other", "ask again"]),
    retryAfterMs: z.number().optional(),
    message: z.string(),
});

/** Body of every answer that is the system's own. */
export type ErrorBody = Readonly<z.infer<typeof errorBodySchema>>;

/** Reads the bm-load header ("inFlight=3 latencyMs=12.5 draining"); undefined if it can't be read. */
export const parseLoadHeader = (text: string): LoadReport | undefined => {
    const match = /^inFlight=(\d{1,6}) latencyMs=(\d{1,7}(?:\.\d{1,3})?)( draining)?$/.exec(text);
    if (!match) {
        return undefined;
    }
    return { inFlight: Number(match[1]), latencyMs: Number(match[2]), draining: match[3] !== undefined };
};

/** Writes the bm-load header. */
export const formatLoadHeader = (report: LoadReport): string => {
    const tail = report.draining ? " draining" : "";
    return `inFlight=${report.inFlight} latencyMs=${report.latencyMs.toFixed(1)}${tail}`;
};
