/** The command that puts the next grammar in force. */

import { raiseGrammar } from "@bramleymoor/config/publisher";
import type { Context } from "./context.js";
import { Entries } from "./entries.js";
import { CliError } from "./exit.js";
import { publicationFailure, waitUntilInForce } from "./publishing.js";
import { readCurrent } from "./versions.js";

/** Flags of `raise-grammar`. */
export interface RaiseFlags {
    /** Version in force, whose text stays as it is. */
    readonly base: number;
    /** Identity of an earlier attempt whose outcome is unknown. */
    readonly id?: string;
    /** Seconds to wait until the version is in force everywhere. */
    readonly wait?: number;
}

/** `raise-grammar`: a version with the same text, and the next grammar in force. */
export const raise = async (context: Context, flags: RaiseFlags): Promise<void> => {
    const entries = flags.wait === undefined ? undefined : new Entries(context.settings);
    const number = await publishGrammar(context, flags);
    if (entries && flags.wait !== undefined) {
        await waitUntilInForce(context, entries, number, flags.wait);
    }
};

const publishGrammar = (context: Context, flags: RaiseFlags): Promise<number> =>
    context.withLog(async log => {
        const { terminal, world } = context;
        const { random, sleep, grammars } = world;
        terminal.progress("Reading the accepted version...");
        const current = await readCurrent(log, grammars);
        const { base } = flags;
        const next = current.grammar + 1;
        if (current.number === base && !grammars.has(next)) {
            const text = `Grammar ${current.grammar} is in force, and this program knows no grammar ${next}.`;
            throw new CliError("not-found", `${text} Nothing was published.`);
        }
        if (base === 0) {
            throw new CliError("usage", "There is no text yet; publish one first.");
        }
        const id = flags.id ?? world.newId();
        terminal.progress(`Raising the grammar over version ${base} as ${id}...`);
        const fresh = flags.id === undefined;
        const result = await raiseGrammar(log, base, { id, fresh, random, sleep, grammars });
        if (result.kind !== "accepted") {
            throw publicationFailure(context, result, { base, id, file: "the text in force" });
        }
        const done = `Version ${result.number} is accepted: the same text, the next grammar in force.`;
        terminal.print(terminal.tone("good", done));
        return result.number;
    });
