/** The way out when publications have expired that nobody knows and no checkpoint fills the gap. */

import type { LogService } from "@bramleymoor/platform/log";
import { parseConfig } from "@bramleymoor/model/parser";
import type { Diagnostic } from "@bramleymoor/model/diagnostic";
import { initializeReplay } from "./initialize.js";
import { appendCheckpoint } from "./checkpoint.js";
import { configStream } from "./record.js";
import { Replay } from "./replay.js";
import { grammars } from "./version.js";

/** What became of a restoration. */
export type RestoreResult =
    | { readonly kind: "restored"; readonly number: number; readonly digest: string }
    /** The log still tells the accepted version; publish over it instead. */
    | { readonly kind: "not needed" }
    | { readonly kind: "rejected"; readonly errors: readonly Diagnostic[] };

/** What an operator states when restoring. */
export interface RestoreOptions {
    /** The restoration's own identity. */
    readonly id: string;
    /** Must lie above each version that was ever accepted; entry VMs that know a later one don't follow. */
    readonly number: number;
    /** Grammar that was in force. */
    readonly grammar: number;
}

/**
 * Declares a text the accepted version at the log's present end, by a checkpoint. Refuses while the log can
 * still be followed. Fails with a PlatformError, and may then be repeated with a higher number.
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
    const place = { offset: next - 1, upTo: next };
    const snapshot = {
        number,
        digest,
        ...place,
        publicationId: id,
        grammar,
        text: parsed.document.toString(),
    };
    await appendCheckpoint(log, snapshot, id);
    return { kind: "restored", number, digest };
};
