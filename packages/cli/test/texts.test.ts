import assert from "node:assert/strict";
import { test } from "node:test";
import { exitCodes, exitTexts } from "../src/exit.js";
import { entryFor, fileWith, key, platformFor, run, text } from "./builders.js";

test("help names every command and every exit code", async () => {
    const { code, out } = await run(["--help"]);
    assert.equal(code, 0);
    const first = ["check", "publish", "raise-grammar", "restore", "show", "diff", "history"];
    for (const word of [...first, "status", "explain", "histograms"]) {
        assert.match(out, new RegExp(`^  ${word} `, "m"));
    }
    for (const [exit, number] of Object.entries(exitCodes)) {
        assert.ok(out.includes(`${number}  ${exitTexts[exit as keyof typeof exitTexts]}`), exit);
    }
    assert.equal(new Set(Object.values(exitCodes)).size, Object.keys(exitCodes).length);
});

test("a misspelt command or flag is answered with a suggestion", async () => {
    const command = await run(["publsh"]);
    assert.equal(command.code, exitCodes.usage);
    assert.match(command.err, /Did you mean publish\?/);
    const flag = await run(["check", "--kye-file", "x", "y"]);
    assert.equal(flag.code, exitCodes.usage);
    assert.match(flag.err, /Did you mean --key-file\?/);
});

test("a text is checked without any settings, all errors at their lines", async () => {
    const valid = await run(["check", fileWith(text())]);
    assert.equal(valid.code, 0);
    assert.match(valid.out, /is valid: 1 service, 1 backend server, digest [0-9a-f]{12}\.\n$/);
    const file = fileWith("[service a]\nsrever = 1\nserver = localhost:80\n");
    const invalid = await run(["check", file]);
    assert.equal(invalid.code, exitCodes["invalid-text"]);
    assert.deepEqual(invalid.err.split("\n").slice(0, 3), [
        `${file}:2: found "srever"; expected a key of [service a]: server, depends-on, chooser, queue-limit, ` +
            'probe-budget, retry-budget, hedge-budget, eject-share. Did you mean "server"?',
        `${file}:3: found "localhost:80"; expected the IP address of one machine; host names are not resolved. ` +
            'Replace "localhost" with its IP address.',
        "2 errors",
    ]);
});

test("versions are published, shown, compared and listed", async t => {
    const platform = await platformFor(t);
    const flags = ["--platform", platform.url];
    const first = await run(["publish", fileWith(text()), ...flags]);
    assert.equal(first.code, 0, first.err);
    assert.match(first.out, /^Version 1 is accepted/);
    const unnamed = await run(["publish", fileWith(text("192.0.2.11")), ...flags]);
    assert.equal(unnamed.code, exitCodes.usage);
    assert.match(unnamed.err, /--base 1/);
    const second = await run(["publish", fileWith(text("192.0.2.11")), "--base", "1", ...flags]);
    assert.match(second.out, /^Version 2 is accepted/);
    const same = await run(["publish", fileWith(text("192.0.2.11")), "--base", "1", ...flags]);
    assert.deepEqual([same.code, same.out], [0, "Version 2 says the same already; nothing was published.\n"]);
    const shown = await run(["show", ...flags]);
    assert.match(
        shown.out,
        /^# version 2, digest [0-9a-f]{64}\n\[service stops-lookup\]\nserver = 192.0.2.11:8080\n$/,
    );
    assert.match((await run(["show", "--version", "1", ...flags])).out, /192\.0\.2\.10/);
    assert.equal((await run(["show", "--version", "3", ...flags])).code, exitCodes["not-found"]);
    const difference = "  [service stops-lookup]\n- server = 192.0.2.10:8080\n+ server = 192.0.2.11:8080\n";
    assert.equal(
        (await run(["diff", ...flags])).out,
        `Difference from version 1 to version 2.\n${difference}`,
    );
    const listed = await run(["history", "--json", ...flags]);
    const { current, records } = JSON.parse(listed.out) as {
        current: number;
        records: { version: number }[];
    };
    assert.deepEqual([current, records.map(record => record.version)], [2, [1, 2]]);
});

test("of two racing operators one is told plainly, and shown the difference", async t => {
    const platform = await platformFor(t);
    const flags = ["--platform", platform.url];
    await run(["publish", fileWith(text()), ...flags]);
    await run(["publish", fileWith(text("192.0.2.11")), "--base", "1", ...flags]);
    const late = await run(["publish", fileWith(text("192.0.2.12")), "--base", "1", ...flags]);
    assert.equal(late.code, exitCodes["other-version"]);
    assert.match(late.err, /Version 2 is accepted, not version 1; your text was not published/);
    assert.match(late.err, /- server = 192\.0\.2\.11:8080\n\+ server = 192\.0\.2\.12:8080\n.*--base 2/);
    assert.match((await run(["show", ...flags])).out, /192\.0\.2\.11/);
});

test("a lost answer to the append is found again by reading", async t => {
    const platform = await platformFor(t);
    platform.set({ loseAnswers: 1 });
    const published = await run(["publish", fileWith(text()), "--platform", platform.url]);
    assert.equal(published.code, 0, published.err);
    const listed = await run(["history", "--json", "--platform", platform.url]);
    assert.equal((JSON.parse(listed.out) as { records: unknown[] }).records.length, 1);
});

test("an id can't be used again for another text", async t => {
    const platform = await platformFor(t);
    const flags = ["--platform", platform.url, "--id", "mine"];
    assert.equal((await run(["publish", fileWith(text()), ...flags])).code, 0);
    const again = await run(["publish", fileWith(text("192.0.2.11")), "--base", "1", ...flags]);
    assert.equal(again.code, exitCodes.usage);
    assert.match(again.err, /The id mine was used for another text, accepted as version 1/);
});

test("without the log nothing is published, and the exit code says so", async t => {
    const platform = await platformFor(t);
    platform.set({ down: true });
    const published = await run(["publish", fileWith(text()), "--platform", platform.url]);
    assert.equal(published.code, exitCodes["platform-unreachable"]);
    assert.equal((await run(["show"])).code, exitCodes.usage);
});

test("waiting ends when every entry VM shows the version, and progress tells what is waited for", async t => {
    const platform = await platformFor(t);
    let asked = 0;
    const status = (id: string, version: number) => ({
        id,
        incarnation: id,
        state: "serving",
        version: version > 0 ? { number: version, digest: "d" } : undefined,
        members: [{ id, state: "alive", callerAddress: "192.0.2.1:1" }],
        services: [],
    });
    const slow = await entryFor(t, () => status("entry-2", asked++ < 2 ? 0 : 1));
    const fast = await entryFor(t, () => status("entry-1", 1));
    const keyFile = fileWith(`${key}\n`);
    const flags = ["--platform", platform.url, "--entry", fast, "--entry", slow, "--key-file", keyFile];
    const waited = await run(["publish", fileWith(text()), "--wait", "5", ...flags]);
    assert.equal(waited.code, 0, waited.err);
    assert.match(waited.out, /In force on all 2 entry VMs after 500 ms/);
    assert.match(waited.err, /Waiting for 1 entry VM: entry-2 \(version 0\)/);
    assert.ok(!(waited.out + waited.err).includes(key));
});

test("a member that isn't listed, or never follows, is not passed over", async t => {
    const platform = await platformFor(t);
    const member = { state: "alive", callerAddress: "192.0.2.1:1" };
    const entry = await entryFor(t, () => ({
        id: "entry-1",
        incarnation: "i",
        state: "serving",
        version: { number: 1, digest: "d" },
        members: [
            { id: "entry-1", ...member },
            { id: "entry-9", ...member },
        ],
        services: [],
    }));
    const flags = ["--platform", platform.url, "--entry", entry, "--key-file", fileWith(key)];
    const waited = await run(["publish", fileWith(text()), "--wait", "1", ...flags]);
    assert.equal(waited.code, exitCodes["not-everywhere"]);
    assert.match(waited.err, /not seen in force after 1 s on:\nentry-9 \(not listed in the settings\)/);
});
