/** The command that puts the next grammar in force. */

import { raiseGrammar } from "@bramleymoor/config/publisher";
import type { CommandContext } from "./context.js";
import { EntryVmClient } from "./entryvms.js";
import { CliError } from "./exit.js";
import { publicationError, readServedVersions, waitUntilInForce } from "./publishing.js";
import { readAcceptedVersion } from "./history.js";

/** Flags of `raise-grammar`. */
export interface RaiseGrammarFlags {
    /** Version in force, whose configuration stays unchanged. */
    readonly base: number;
    /** Id of an earlier attempt whose outcome is unknown. */
    readonly id?: string;
    /** Seconds to wait until the version is in force on every entry VM. */
    readonly wait?: number;
}

/** `raise-grammar`: publishes a version with the same configuration that puts the next grammar in force. */
export const raiseToNextGrammar = async (
    context: CommandContext,
    flags: RaiseGrammarFlags,
): Promise<void> => {
    const entryVms = flags.wait === undefined ? undefined : new EntryVmClient(context.settings);
    const number = await publishNextGrammar(context, flags);
    if (entryVms && flags.wait !== undefined) {
        await waitUntilInForce(context, entryVms, number, flags.wait);
    }
};

const publishNextGrammar = async (context: CommandContext, flags: RaiseGrammarFlags): Promise<number> => {
    const known = await readServedVersions(context);
    return context.withLog(async log => {
        const { terminal, dependencies } = context;
        const { random, sleep, grammars } = dependencies;
        terminal.progress("Reading the accepted version...");
        const current = await readAcceptedVersion(log, grammars);
        const { base } = flags;
        const next = current.grammar + 1;
        if (current.number === base && !grammars.has(next)) {
            const text = `Grammar ${current.grammar} is in force, and this program doesn't support grammar ${next}.`;
            throw new CliError("not-found", `${text} Nothing was published.`);
        }
        if (base === 0) {
            throw new CliError("usage", "There is no configuration yet; publish one first.");
        }
        const id = flags.id ?? dependencies.newId();
        terminal.progress(`Raising the grammar over version ${base} as ${id}...`);
        const fresh = flags.id === undefined;
        const result = await raiseGrammar(log, base, { id, fresh, random, sleep, grammars, known });
        if (result.kind !== "accepted") {
            throw publicationError(context, result, { base, id, file: "the configuration in force", known });
        }
        const done = `Version ${result.number} is accepted: the same configuration, with the next grammar in force.`;
        terminal.print(terminal.style("good", done));
        return result.number;
    });
};
