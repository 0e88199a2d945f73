/** Mutations of the built code, applied one at a time; the fuzz models must detect each. */

export interface Mutation {
    /** Description of the fault. */
    readonly name: string;
    /** Name of the fuzz model that must fail. */
    readonly model: string;
    /** End of the path of the built file. */
    readonly file: string;
    /** Text to replace; must occur exactly once in the file. */
    readonly find: string;
    readonly replace: string;
    /** Whether the fault is one of a log that has lost records; the others are looked for without such losses. */
    readonly losesRecords?: boolean;
}

const config = (name: string, file: string, find: string, replace: string): Mutation => ({
    name,
    model: "config",
    file: `config/dist/src/${file}`,
    find,
    replace,
});

const once = (name: string, file: string, find: string, replace: string): Mutation => ({
    name,
    model: "once",
    file,
    find,
    replace,
});

const table = "once/dist/src/table.js";
const entry = "once/dist/src/requestentry.js";
const guard = "proxy/dist/src/guard.js";

export const mutations: readonly Mutation[] = [
    config(
        "a publication over an old base is accepted",
        "evaluate.js",
        "base.number !== accepted.number || base.digest !== accepted.digest",
        "false",
    ),
    config("a wrong digest is accepted", "evaluate.js", "document.digest !== publication.digest", "false"),
    config(
        "a grammar not in force is accepted",
        "evaluate.js",
        "envelope.grammar !== accepted.grammar",
        "false",
    ),
    config(
        "an oversized record is accepted",
        "evaluate.js",
        "Buffer.byteLength(data) > maxRecordBytes",
        "false",
    ),
    config(
        "expired records that were never read are skipped",
        "replay.js",
        "record.offset > this.#upTo",
        "false",
    ),
    config("an older snapshot replaces a newer version", "replay.js", "!this.#isNewer(snapshot)", "false"),
    config("a snapshot's text is not checked", "snapshot.js", "document.digest !== digest", "false"),
    config(
        "a version is served before the log's end",
        "follower.js",
        "this.#replay.upTo >= batch.next",
        "true",
    ),
    config("ready without log and peers", "follower.js", "responses > 0 && this.#replay.version", "true"),
    config("peers are not queried", "follower.js", "await this.#peers.query(request, count)", "[]"),
    config(
        "the outcome of an append without a response is not read back from the log",
        "publisher.js",
        `this.#outcome?.kind === "accepted") {`,
        "false) {",
    ),
    config(
        "a publication that lost a race is applied on top of the winner's version",
        "publisher.js",
        "version.number !== this.#baseNumber",
        "false",
    ),
    {
        ...config(
            "a publication over a log that has lost the newest version is accepted",
            "publisher.js",
            "this.#reader.findLost(this.#options.known ?? [])",
            "undefined",
        ),
        losesRecords: true,
    },
    {
        ...config(
            "a restored version doesn't replace the lost one",
            "replay.js",
            "a.era < b.era ||",
            "false ||",
        ),
        losesRecords: true,
    },
    config("no checkpoint is appended", "checkpointer.js", "await this.#isDue(snapshot)", "false"),
    once(
        "any entry VM runs a request, whoever issued its ticket",
        guard,
        "this.#ticket.incarnation ===",
        "this.#ticket ||",
    ),
    once("a request whose issuer is gone is reported as not run", guard, `"issuer-gone"`, `"stopping"`),
    once("an expired ticket is accepted", "once/dist/src/tickets.js", "now >= ticket.expiresAt", "false"),
    once("request ids are shared between callers", table, "`${callerPart} ${requestId}`", "requestId"),
    once("an entry is dropped while its ticket is valid", table, "due <= second", "due <= second + 5"),
    once("a running entry is dropped", table, "entry.running", "false"),
    once(
        "a refusal by a full table is not recorded",
        table,
        "if (full) {",
        "if (full) { this.#entries.delete(key);",
    ),
    once("a duplicate may have another target", table, "entry.target !== request.target", "false"),
    once(
        "the total size of kept responses is unlimited",
        table,
        "this.#storedBytes + bytes > this.limits.maxTotalStoredBytes",
        "false",
    ),
    once("a duplicate may have another body", entry, "this.#digest === digest", "true"),
    once("a refused attempt runs after all", entry, "attempt > this.#attempt", "true"),
    once(
        "a request with an unknown outcome runs again",
        entry,
        `this.#outcome?.kind === "refused"`,
        "this.#outcome",
    ),
    once(
        "a waiting attempt that was refused runs after all",
        entry,
        "Math.max(this.#attempt, attempt)",
        "this.#attempt",
    ),
];
