/** Accepted versions of the operators' text, and the grammars that texts are written in. */

import { ConfigDocument } from "@bramleymoor/model/document";
import type { ConfigSpec } from "@bramleymoor/model/spec";
import { parseDocument, type ParseResult, type ParsedDocument } from "@bramleymoor/model/parser";

/**
 * An accepted version. Versions are ordered by `offset`, the order of the log; `number` rises with it by 1
 * for each accepted publication.
 */
export interface AcceptedVersion {
    /** 0 for the empty text before the first publication. */
    readonly number: number;
    /** Of the whole document; see Document. */
    readonly digest: string;
    readonly document: ConfigDocument;
    readonly spec: ConfigSpec;
    /** Offset of the accepted record; -1 before the first publication. */
    readonly offset: number;
    readonly publicationId: string;
    /** Number of the grammar that the next publication has to be written in. */
    readonly grammar: number;
}

/** What validates a text; a release keeps every grammar that may still be in force. */
export interface Grammar {
    readonly number: number;
    /** Reads a document; with `previous` only what differs from it, to the same result. */
    read(document: ConfigDocument, previous?: ParsedDocument): ParseResult;
}

/** The grammars that a release knows, by number. */
export type Grammars = ReadonlyMap<number, Grammar>;

/** The grammars that this release knows. */
export const grammars: Grammars = new Map([[1, { number: 1, read: parseDocument }]]);

/** What is in force before the first publication. */
export const emptyVersion: AcceptedVersion = {
    number: 0,
    digest: ConfigDocument.empty.digest,
    document: ConfigDocument.empty,
    spec: { services: new Map() },
    offset: -1,
    publicationId: "",
    grammar: 1,
};

/** What tells a version from all others. */
export interface VersionId {
    readonly number: number;
    readonly digest: string;
    readonly offset: number;
}

/** The version's name alone. */
export const versionIdOf = (version: AcceptedVersion): VersionId => ({
    number: version.number,
    digest: version.digest,
    offset: version.offset,
});
