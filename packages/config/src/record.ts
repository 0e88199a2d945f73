/** Publications as records of the log. */

import type { ConfigChange } from "@bramleymoor/model/document";
import * as z from "zod";

/** Stream that operators publish to. */
export const configStream = "config";

/** Largest record that is looked at, in bytes of UTF-8. */
export const maxRecordBytes = 1024 * 1024;

const digest = z.string().regex(/^[0-9a-f]{64}$/);
const count = z.number().int().nonnegative();

const publicationSchema = z.strictObject({
    grammar: z.number().int().positive(),
    id: z.string().min(1).max(100),
    base: z.strictObject({ number: count, digest }),
    change: z.strictObject({
        set: z.array(z.strictObject({ name: z.string(), body: z.string() })),
        remove: z.array(z.string()),
    }),
    digest,
    nextGrammar: z.number().int().positive().optional(),
});

/** One operator's wish to replace version `base`. */
export interface Publication {
    /** Grammar of the resulting text. */
    readonly grammar: number;
    /** The publication's own identity, the same in each copy of it. */
    readonly id: string;
    readonly base: { readonly number: number; readonly digest: string };
    readonly change: ConfigChange;
    /** Digest of the whole resulting text. */
    readonly digest: string;
    /** Puts the next grammar in force; goes with an empty change. */
    readonly nextGrammar?: number | undefined;
}

/** Writes a publication as a record. */
export const formatPublication = (publication: Publication): string => JSON.stringify(publication);

/** The part of a record's form that no release may ever change; undefined if it isn't even that. */
export const parseEnvelope = (
    data: string,
): { readonly grammar: number; readonly body: unknown } | undefined => {
    const body = parseJson(data);
    const parsed = z.looseObject({ grammar: z.number().int().positive() }).safeParse(body);
    return parsed.success ? { grammar: parsed.data.grammar, body } : undefined;
};

/** Reads a publication from a record's JSON; undefined if its form is wrong. */
export const parsePublication = (body: unknown): Publication | undefined =>
    publicationSchema.safeParse(body).data;

/** JSON of an untrusted record; undefined if it can't be read. */
export const parseJson = (data: string): unknown => {
    try {
        return JSON.parse(data);
    } catch {
        return undefined;
    }
};
