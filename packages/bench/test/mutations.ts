/** Deliberate faults, each put into the built code alone; the oracles have to notice every one. */

export interface Mutation {
    /** What is wrong with the code then. */
    readonly name: string;
    /** The fuzz model that has to fail. */
    readonly model: string;
    /** End of the built file's path. */
    readonly file: string;
    /** Text that the file has exactly once. */
    readonly find: string;
    readonly replace: string;
}

const config = (name: string, file: string, find: string, replace: string): Mutation => ({
    name,
    model: "config",
    file: `config/dist/src/${file}`,
    find,
    replace,
});

export const mutations: readonly Mutation[] = [
    config(
        "a publication over an old base is accepted",
        "judge.js",
        "base.number !== accepted.number || base.digest !== accepted.digest",
        "false",
    ),
    config("a wrong digest is accepted", "judge.js", "document.digest !== publication.digest", "false"),
    config(
        "a grammar not in force is accepted",
        "judge.js",
        "envelope.grammar !== accepted.grammar",
        "false",
    ),
    config(
        "an oversized record is accepted",
        "judge.js",
        "Buffer.byteLength(data) > maxRecordBytes",
        "false",
    ),
    config(
        "expired records that were never read are passed over",
        "replay.js",
        "record.offset > this.#upTo",
        "false",
    ),
    config("an older snapshot replaces a newer version", "replay.js", "!this.#isNews(snapshot)", "false"),
    config("a snapshot's text goes unchecked", "snapshot.js", "document.digest !== digest", "false"),
    config(
        "a version is served before the log's end",
        "follower.js",
        "this.#replay.upTo >= batch.next",
        "true",
    ),
    config("ready without log and peers", "follower.js", "answers > 0 && this.#replay.version", "true"),
    config("peers are not asked", "follower.js", "await this.#peers.ask(question, count)", "[]"),
    config(
        "a lost answer to an append is not settled by reading back",
        "publisher.js",
        `this.#verdict?.kind === "accepted") {`,
        "false) {",
    ),
    config(
        "a publication that lost the race is put on the winner's version",
        "publisher.js",
        "version.number !== this.#baseNumber",
        "false",
    ),
    config("no checkpoint is appended", "checkpointer.js", "await this.#isDue(snapshot)", "false"),
];
