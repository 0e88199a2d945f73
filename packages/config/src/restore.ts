/** Restores the accepted version after the log has lost it: its records have expired, or came back without them. */

import type { LogService } from "@bramleymoor/platform/log";
import { parseConfig } from "@bramleymoor/model/parser";
import type { Diagnostic } from "@bramleymoor/model/diagnostic";
import { initializeReplay } from "./initialize.js";
import { AcceptedReader, type KnownVersion } from "./accepted.js";
import { appendCheckpoint } from "./checkpoint.js";
import { configStream } from "./record.js";
import { appendRestoration } from "./restorations.js";
import { grammars } from "./version.js";

/** Result of a restoration. */
export type RestoreResult =
    | { readonly kind: "restored"; readonly number: number; readonly digest: string }
    /** The log still yields the accepted version; publish a new version over it instead. */
    | { readonly kind: "not needed" }
    | { readonly kind: "rejected"; readonly errors: readonly Diagnostic[] };

/** What an operator specifies for a restoration. */
export interface RestoreOptions {
    /** Identity of the restoration. */
    readonly id: string;
    /** Must exceed the number of every version ever accepted; entry VMs that know a later one ignore this one. */
    readonly number: number;
    /** Number of the grammar that was in force. */
    readonly grammar: number;
    /** Versions that entry VMs serve; the restoration is refused if the log yields them all. */
    readonly known?: readonly KnownVersion[];
}

/**
 * Makes a config text the accepted version at the current end of the log, by appending a checkpoint, and begins a new era.
 * Refuses while the log still yields the accepted version.
 *
 * @throws PlatformError if the log fails; the call may then be repeated with a higher number
 */
export const restore = async (
    log: LogService,
    text: string,
    options: RestoreOptions,
): Promise<RestoreResult> => {
    const parsed = parseConfig(text);
    if (!parsed.ok) {
        return { kind: "rejected", errors: parsed.errors };
    }
    const { first, next } = await log.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
    const { id, number, grammar, known = [] } = options;
    if (await isComplete(log, first, known)) {
        return { kind: "not needed" };
    }
    const { digest } = parsed.document;
    const position = { offset: next - 1, upTo: next };
    const snapshot = {
        number,
        digest,
        era: number,
        ...position,
        publicationId: id,
        grammar,
        text: parsed.document.toString(),
    };
    await appendCheckpoint(log, snapshot, id);
    await appendRestoration(log, number);
    return { kind: "restored", number, digest };
};

/** Returns whether the log yields the accepted version, as far as checkpoints and entry VMs show. */
const isComplete = async (
    log: LogService,
    first: number,
    known: readonly KnownVersion[],
): Promise<boolean> => {
    const reader = new AcceptedReader(log, grammars);
    await initializeReplay(log, reader.replay);
    if (!reader.replay.version || reader.replay.upTo < first) {
        return false;
    }
    return (await reader.readToEnd()) !== "shrunk" && reader.findLost(known) === undefined;
};
