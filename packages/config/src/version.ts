/** Accepted versions of the operators' config text, and the grammars that parse it. */

import { ConfigDocument } from "@bramleymoor/model/document";
import type { ConfigSpec } from "@bramleymoor/model/spec";
import { parseDocument, type ParseResult, type ParsedDocument } from "@bramleymoor/model/parser";

/**
 * An accepted version. Versions are ordered by `era`, then by `offset`, their order in the log; `number` increases by 1
 * with each accepted publication, and further with a restoration.
 */
export interface AcceptedVersion {
    /** 0 for the empty text before the first publication. */
    readonly number: number;
    /** Digest of the whole document; see ConfigDocument. */
    readonly digest: string;
    readonly document: ConfigDocument;
    readonly spec: ConfigSpec;
    /** Number of the version that was restored last before this one, or 0; offsets are comparable within one era. */
    readonly era: number;
    /** Offset of the accepted record; -1 before the first publication. */
    readonly offset: number;
    readonly publicationId: string;
    /** Number of the grammar that the next publication has to use. */
    readonly grammar: number;
}

/** Parses and validates config texts; a release keeps every grammar that may still be in force. */
export interface Grammar {
    readonly number: number;
    /** Parses a document; with `previous`, only what differs from it, with the same result. */
    parse(document: ConfigDocument, previous?: ParsedDocument): ParseResult;
}

/** The grammars that a release supports, by number. */
export type Grammars = ReadonlyMap<number, Grammar>;

/** The grammars that this release supports. */
export const grammars: Grammars = new Map([[1, { number: 1, parse: parseDocument }]]);

/** The version in force before the first publication. */
export const emptyVersion: AcceptedVersion = {
    number: 0,
    digest: ConfigDocument.empty.digest,
    document: ConfigDocument.empty,
    spec: { services: new Map() },
    era: 0,
    offset: -1,
    publicationId: "",
    grammar: 1,
};

/** The values that identify a version. */
export interface VersionId {
    readonly number: number;
    readonly digest: string;
    readonly offset: number;
}

/** Returns the identity of a version. */
export const versionIdOf = (version: AcceptedVersion): VersionId => ({
    number: version.number,
    digest: version.digest,
    offset: version.offset,
});
