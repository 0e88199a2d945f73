/** Decides whether a record becomes the accepted version, as a pure function of the log up to that record. */

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

/** Outcome of evaluating a record. */
export type RecordOutcome =
    | { readonly kind: "accepted"; readonly version: AcceptedVersion }
    | {
          readonly kind: "skipped";
          readonly reason: SkipReason;
          /** Identity of the publication, if the record could be parsed. */
          readonly publicationId: string | undefined;
          /** Number of the version that the publication is based on, if its base is superseded or not known yet. */
          readonly baseNumber?: number;
          readonly errors: readonly Diagnostic[];
      }
    /** This release doesn't know the grammar in force, so it must not decide. */
    | { readonly kind: "outdated" };

/**
 * Evaluates a record.
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
        return skipped("too large");
    }
    const envelope = parseEnvelope(data);
    if (!envelope) {
        return skipped("damaged");
    }
    if (envelope.grammar !== accepted.grammar) {
        return skipped("grammar not in force");
    }
    const publication = parsePublication(envelope.body);
    return publication ? evaluatePublication(accepted, offset, publication, grammars) : skipped("damaged");
};

const skipped = (
    reason: SkipReason,
    publicationId?: string,
    errors: readonly Diagnostic[] = [],
): Extract<RecordOutcome, { readonly kind: "skipped" }> => ({
    kind: "skipped",
    reason,
    publicationId,
    errors,
});

const evaluatePublication = (
    accepted: AcceptedVersion,
    offset: number,
    publication: Publication,
    grammars: Grammars,
): RecordOutcome => {
    const { base, id } = publication;
    if (base.number !== accepted.number || base.digest !== accepted.digest) {
        return { ...skipped("superseded base", id), baseNumber: base.number };
    }
    if (publication.nextGrammar !== undefined) {
        return evaluateGrammarChange(accepted, offset, publication, publication.nextGrammar, grammars);
    }
    const document = applyChange(accepted.document, publication);
    if (document instanceof InvalidConfigError) {
        return skipped("invalid text", id, document.errors);
    }
    if (document.digest !== publication.digest) {
        return skipped("wrong digest", id);
    }
    const parsed = grammars.get(accepted.grammar)?.parse(document, accepted);
    if (!parsed?.ok) {
        return skipped("invalid text", id, parsed?.errors);
    }
    const number = accepted.number + 1;
    const { spec } = parsed;
    const { digest } = document;
    const { era, grammar } = accepted;
    return {
        kind: "accepted",
        version: { number, digest, document, spec, era, offset, publicationId: id, grammar },
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
 * Evaluates a change of the grammar without knowing the next one, so that an older release reaches the same outcome.
 * Each grammar accepts every text that its predecessor accepts.
 */
const evaluateGrammarChange = (
    accepted: AcceptedVersion,
    offset: number,
    publication: Publication,
    next: number,
    grammars: Grammars,
): RecordOutcome => {
    const { change, digest, id } = publication;
    const unchanged = change.set.length === 0 && change.remove.length === 0 && digest === accepted.digest;
    if (accepted.number === 0 || !unchanged || next !== accepted.grammar + 1) {
        return skipped("bad grammar change", id);
    }
    const parsed = grammars.get(next)?.parse(accepted.document);
    const spec = parsed?.ok ? parsed.spec : accepted.spec;
    const number = accepted.number + 1;
    return {
        kind: "accepted",
        version: { ...accepted, number, spec, offset, publicationId: id, grammar: next },
    };
};
