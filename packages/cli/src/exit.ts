/** Exit codes of the operators' program, and the error that selects one. */

/** All exit codes by name. */
export const exitCodes = {
    ok: 0,
    internal: 1,
    usage: 2,
    "invalid-text": 3,
    "other-version": 4,
    "outcome-unknown": 5,
    "not-everywhere": 6,
    "entry-unreachable": 7,
    "not-found": 8,
    "platform-unreachable": 9,
} as const;

/** Name of an exit code. */
export type ExitName = keyof typeof exitCodes;

/** Description of each exit code, shown by --help. */
export const exitDescriptions: Readonly<Record<ExitName, string>> = {
    ok: "done",
    internal: "internal error of this program; please report it",
    usage: "wrong arguments or settings",
    "invalid-text": "the configuration has errors; nothing was published",
    "other-version": "another version is accepted; yours was not published",
    "outcome-unknown":
        "the publication may have been or may still be accepted; repeat it as the message says",
    "not-everywhere": "accepted, but not seen in force on every entry VM in time",
    "entry-unreachable": "an entry VM can't be reached, or refuses the key",
    "not-found": "no such version, service or grammar",
    "platform-unreachable": "the platform's log can't be read; nothing was published",
};

/** Error that ends the program with an exit code and a message for the operator. */
export class CliError extends Error {
    /**
     * @param exitName selects the exit code
     * @param message what went wrong and what to do
     */
    constructor(
        readonly exitName: ExitName,
        message: string,
    ) {
        super(message);
        this.name = "CliError";
    }
}
