/** Encodes and parses publications as records of the log. */

import type { ConfigChange } from "@bramleymoor/model/document";
import * as z from "zod";

/** Name of the stream that operators publish to. */
export const configStream = "config";

/** Largest record that is parsed, in bytes of UTF-8; larger ones are skipped. */
export const maxRecordBytes = 1024 * 1024;

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);
const countSchema = z.number().int().nonnegative();

const publicationSchema = z.strictObject({
    grammar: z.number().int().positive(),
    id: z.string().min(1).max(100),
    base: z.strictObject({ number: countSchema, digest: digestSchema }),
    change: z.strictObject({
        set: z.array(z.strictObject({ name: z.string(), body: z.string() })),
        remove: z.array(z.string()),
    }),
    digest: digestSchema,
    nextGrammar: z.number().int().positive().optional(),
});

/** An operator's request to replace version `base`. */
export interface Publication {
    /** Grammar of the resulting text. */
    readonly grammar: number;
    /** Identity of the publication, the same in each copy of its record. */
    readonly id: string;
    readonly base: { readonly number: number; readonly digest: string };
    readonly change: ConfigChange;
    /** Digest of the whole resulting text. */
    readonly digest: string;
    /** Number of the next grammar, to put it in force; requires an empty change. */
    readonly nextGrammar?: number | undefined;
}

/** Encodes a publication as a record. */
export const formatPublication = (publication: Publication): string => JSON.stringify(publication);

/** Parses the part of a record that no release may ever change; returns undefined if it is malformed. */
export const parseEnvelope = (
    data: string,
): { readonly grammar: number; readonly body: unknown } | undefined => {
    const body = parseJson(data);
    const parsed = z.looseObject({ grammar: z.number().int().positive() }).safeParse(body);
    return parsed.success ? { grammar: parsed.data.grammar, body } : undefined;
};

/** Parses a publication from a record's JSON value; returns undefined if it is malformed. */
export const parsePublication = (body: unknown): Publication | undefined =>
    publicationSchema.safeParse(body).data;

/** Parses the JSON of an untrusted record; returns undefined if it is malformed. */
export const parseJson = (data: string): unknown => {
    try {
        return JSON.parse(data);
    } catch {
        return undefined;
    }
};
