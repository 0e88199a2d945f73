/** Snapshots: an accepted version with its position in the log, as checkpoints and peers transfer it. */

import { ConfigDocument } from "@bramleymoor/model/document";
import * as z from "zod";
import { emptyVersion, type AcceptedVersion, type Grammars } from "./version.js";

const countSchema = z.number().int().nonnegative();

/** Schema of a snapshot without its text. */
export const snapshotHeadSchema = z.object({
    number: countSchema,
    digest: z.string(),
    /** See AcceptedVersion; absent in snapshots of older builds. */
    era: countSchema.default(0),
    offset: z.number().int().min(-1),
    publicationId: z.string(),
    grammar: z.number().int().positive(),
    /** Every record below this offset has been evaluated. */
    upTo: countSchema,
});

/** Schema of a snapshot. */
export const snapshotSchema = snapshotHeadSchema.extend({ text: z.string() });

/** A snapshot without its text. */
export type SnapshotHead = Readonly<z.infer<typeof snapshotHeadSchema>>;

/** An accepted version, and the offset up to which the log has been evaluated for it. */
export type Snapshot = Readonly<z.infer<typeof snapshotSchema>>;

/** Why a snapshot is rejected. */
export type SnapshotRejection = "unknown grammar" | "wrong digest" | "invalid text" | "inconsistent offsets";

/** Returns a version's snapshot without its text. */
export const headOf = (version: AcceptedVersion, upTo: number): SnapshotHead => ({
    number: version.number,
    digest: version.digest,
    era: version.era,
    offset: version.offset,
    publicationId: version.publicationId,
    grammar: version.grammar,
    upTo,
});

/** Returns a version's snapshot. */
export const snapshotOf = (version: AcceptedVersion, upTo: number): Snapshot => ({
    ...headOf(version, upTo),
    text: version.document.toString(),
});

/**
 * Parses and checks the version of a snapshot, or returns why it is rejected.
 *
 * @param previous a version whose parsed parts are reused where they are the same
 */
export const versionFromSnapshot = (
    snapshot: Snapshot,
    grammars: Grammars,
    previous?: AcceptedVersion,
): AcceptedVersion | SnapshotRejection => {
    const grammar = grammars.get(snapshot.grammar);
    if (!grammar) {
        return "unknown grammar";
    }
    const { number, digest, era, offset, publicationId, upTo } = snapshot;
    if (offset >= upTo) {
        return "inconsistent offsets";
    }
    if (number === 0) {
        return digest === emptyVersion.digest && offset < 0 ? emptyVersion : "wrong digest";
    }
    const document = parseDocument(snapshot.text);
    if (!document) {
        return "invalid text";
    }
    if (document.digest !== digest) {
        return "wrong digest";
    }
    const reusable = previous?.grammar === snapshot.grammar && previous.number > 0 ? previous : undefined;
    const parsed = grammar.parse(document, reusable);
    if (!parsed.ok) {
        return "invalid text";
    }
    const { grammar: grammarNumber } = snapshot;
    const { spec } = parsed;
    return { number, digest, document, spec, era, offset, publicationId, grammar: grammarNumber };
};

const parseDocument = (text: string): ConfigDocument | undefined => {
    try {
        return ConfigDocument.parse(text);
    } catch {
        return undefined;
    }
};
