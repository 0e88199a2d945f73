/** Whether a record becomes the accepted version: a pure function of the log's prefix. */

import { InvalidConfigError, type Diagnostic } from "@bramleymoor/model/diagnostic";
import type { ConfigDocument } from "@bramleymoor/model/document";
import { maxRecordBytes, parseEnvelope, parsePublication, type Publication } from "./record.js";
import type { AcceptedVersion, Grammars } from "./version.js";

/** Why a record is skipped. */
export type SkipReason =
    | "too large"
    | "damaged"
    | "grammar not in force"
    | "superseded base"
    | "wrong digest"
    | "invalid text"
    | "bad grammar change";

/** What becomes of one record. */
export type RecordOutcome =
    | { readonly kind: "accepted"; readonly version: AcceptedVersion }
    | {
          readonly kind: "skipped";
          readonly reason: SkipReason;
          /** Identity of the publication, if it can be read. */
          readonly publicationId: string | undefined;
          readonly errors: readonly Diagnostic[];
      }
    /** The grammar in force isn't known to this release, which must not judge. */
    | { readonly kind: "outdated" };

/**
 * Judges a record.
 *
 * @param accepted the accepted version just before the record
 */
export const evaluateRecord = (
    accepted: AcceptedVersion,
    offset: number,
    data: string,
    grammars: Grammars,
): RecordOutcome => {
    if (!grammars.has(accepted.grammar)) {
        return { kind: "outdated" };
    }
    if (Buffer.byteLength(data) > maxRecordBytes) {
        return skip("too large");
    }
    const envelope = parseEnvelope(data);
    if (!envelope) {
        return skip("damaged");
    }
    if (envelope.grammar !== accepted.grammar) {
        return skip("grammar not in force");
    }
    const publication = parsePublication(envelope.body);
    return publication ? judgePublication(accepted, offset, publication, grammars) : skip("damaged");
};

const skip = (
    reason: SkipReason,
    publicationId?: string,
    errors: readonly Diagnostic[] = [],
): RecordOutcome => ({
    kind: "skipped",
    reason,
    publicationId,
    errors,
});

const judgePublication = (
    accepted: AcceptedVersion,
    offset: number,
    publication: Publication,
    grammars: Grammars,
): RecordOutcome => {
    const { base, id } = publication;
    if (base.number !== accepted.number || base.digest !== accepted.digest) {
        return skip("superseded base", id);
    }
    if (publication.nextGrammar !== undefined) {
        return judgeGrammarChange(accepted, offset, publication, publication.nextGrammar, grammars);
    }
    const document = applyChange(accepted.document, publication);
    if (document instanceof InvalidConfigError) {
        return skip("invalid text", id, document.errors);
    }
    if (document.digest !== publication.digest) {
        return skip("wrong digest", id);
    }
    const parsed = grammars.get(accepted.grammar)?.read(document, accepted);
    if (!parsed?.ok) {
        return skip("invalid text", id, parsed?.errors);
    }
    const number = accepted.number + 1;
    const { spec } = parsed;
    const { digest, grammar } = { digest: document.digest, grammar: accepted.grammar };
    return {
        kind: "accepted",
        version: { number, digest, document, spec, offset, publicationId: id, grammar },
    };
};

const applyChange = (
    document: ConfigDocument,
    publication: Publication,
): ConfigDocument | InvalidConfigError => {
    try {
        return document.apply(publication.change);
    } catch (err) {
        if (err instanceof InvalidConfigError) {
            return err;
        }
        throw err;
    }
};

/**
 * Decided without knowing the next grammar, so that an older release reaches the same verdict. A grammar
 * accepts each text that the one before it accepts.
 */
const judgeGrammarChange = (
    accepted: AcceptedVersion,
    offset: number,
    publication: Publication,
    next: number,
    grammars: Grammars,
): RecordOutcome => {
    const { change, digest, id } = publication;
    const unchanged = change.set.length === 0 && change.remove.length === 0 && digest === accepted.digest;
    if (accepted.number === 0 || !unchanged || next !== accepted.grammar + 1) {
        return skip("bad grammar change", id);
    }
    const read = grammars.get(next)?.read(accepted.document);
    const spec = read?.ok ? read.spec : accepted.spec;
    const number = accepted.number + 1;
    return {
        kind: "accepted",
        version: { ...accepted, number, spec, offset, publicationId: id, grammar: next },
    };
};
