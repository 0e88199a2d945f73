/** The exit codes of the operators' program, and the error that carries one. */

/** Every exit code. */
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
export type Exit = keyof typeof exitCodes;

/** What each exit code means, for --help. */
export const exitTexts: Readonly<Record<Exit, string>> = {
    ok: "done",
    internal: "a fault of this program; please report it",
    usage: "wrong arguments or settings",
    "invalid-text": "the text has errors; nothing was published",
    "other-version": "another version was accepted instead; yours was not",
    "outcome-unknown": "the publication may be accepted or become so; repeat it as the message says",
    "not-everywhere": "accepted, but not seen in force on every entry VM in time",
    "entry-unreachable": "an entry VM can't be reached, or refuses the key",
    "not-found": "no such version, service or grammar",
    "platform-unreachable": "the platform's log can't be read; nothing was published",
};

/** Ends the program with an exit code and a message for the operator. */
export class CliError extends Error {
    /**
     * @param exit decides the exit code
     * @param message what went wrong and what to do
     */
    constructor(
        readonly exit: Exit,
        message: string,
    ) {
        super(message);
        this.name = "CliError";
    }
}
