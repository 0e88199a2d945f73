/** A whole accepted version with its place in the log, as checkpoints and peers carry it. */

import { ConfigDocument } from "@bramleymoor/model/document";
import * as z from "zod";
import { emptyVersion, type AcceptedVersion, type Grammars } from "./version.js";

const count = z.number().int().nonnegative();

/** A snapshot without its text: schema. */
export const snapshotHeadSchema = z.object({
    number: count,
    digest: z.string(),
    offset: z.number().int().min(-1),
    publicationId: z.string(),
    grammar: z.number().int().positive(),
    /** Every record below this offset has been judged. */
    upTo: count,
});

/** A snapshot: schema. */
export const snapshotSchema = snapshotHeadSchema.extend({ text: z.string() });

/** A snapshot without its text. */
export type SnapshotHead = Readonly<z.infer<typeof snapshotHeadSchema>>;

/** A whole accepted version, and how far the log has been judged for it. */
export type Snapshot = Readonly<z.infer<typeof snapshotSchema>>;

/** Why a snapshot can't be taken. */
export type SnapshotRejection = "unknown grammar" | "wrong digest" | "invalid text" | "wrong place";

/** A snapshot's head. */
export const headOf = (version: AcceptedVersion, upTo: number): SnapshotHead => ({
    number: version.number,
    digest: version.digest,
    offset: version.offset,
    publicationId: version.publicationId,
    grammar: version.grammar,
    upTo,
});

/** Makes a snapshot. */
export const snapshotOf = (version: AcceptedVersion, upTo: number): Snapshot => ({
    ...headOf(version, upTo),
    text: version.document.toString(),
});

/**
 * Reads a snapshot's version, or tells what is wrong with it.
 *
 * @param previous spares reading what is the same in it
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
    const { number, digest, offset, publicationId, upTo } = snapshot;
    if (offset >= upTo) {
        return "wrong place";
    }
    if (number === 0) {
        return digest === emptyVersion.digest && offset < 0 ? emptyVersion : "wrong digest";
    }
    const document = readDocument(snapshot.text);
    if (!document) {
        return "invalid text";
    }
    if (document.digest !== digest) {
        return "wrong digest";
    }
    const known = previous?.grammar === snapshot.grammar && previous.number > 0 ? previous : undefined;
    const parsed = grammar.read(document, known);
    if (!parsed.ok) {
        return "invalid text";
    }
    return { number, digest, document, spec: parsed.spec, offset, publicationId, grammar: snapshot.grammar };
};

const readDocument = (text: string): ConfigDocument | undefined => {
    try {
        return ConfigDocument.parse(text);
    } catch {
        return undefined;
    }
};
