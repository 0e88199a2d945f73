/** Restores the accepted version after its records have expired, if no entry VM or checkpoint holds them. */

import type { LogService } from "@bramleymoor/platform/log";
import { parseConfig } from "@bramleymoor/model/parser";
import type { Diagnostic } from "@bramleymoor/model/diagnostic";
import { initializeReplay } from "./initialize.js";
import { appendCheckpoint } from "./checkpoint.js";
import { configStream } from "./record.js";
import { Replay } from "./replay.js";
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
}

/**
 * Makes a config text the accepted version at the current end of the log, by appending a checkpoint. Refuses while the
 * log can still be replayed.
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
    const replay = new Replay(grammars, () => {});
    await initializeReplay(log, replay);
    if (replay.version && replay.upTo >= first) {
        return { kind: "not needed" };
    }
    const { id, number, grammar } = options;
    const { digest } = parsed.document;
    const position = { offset: next - 1, upTo: next };
    const snapshot = {
        number,
        digest,
        ...position,
        publicationId: id,
        grammar,
        text: parsed.document.toString(),
    };
    await appendCheckpoint(log, snapshot, id);
    return { kind: "restored", number, digest };
};
