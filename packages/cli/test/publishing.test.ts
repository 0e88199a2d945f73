import assert from "node:assert/strict";
import { test } from "node:test";
import { exitCodes, exitDescriptions } from "../src/exit.js";
import { startFakeEntryVm, writeTempFile, key, startTestPlatform, run, configText } from "./builders.js";

test("help lists every command and every exit code", async () => {
    const { code, out } = await run(["--help"]);
    assert.equal(code, 0);
    const logCommands = ["check", "publish", "raise-grammar", "restore", "show", "diff", "history"];
    for (const word of [...logCommands, "status", "explain", "histograms"]) {
        assert.match(out, new RegExp(`^  ${word} `, "m"));
    }
    for (const [exit, number] of Object.entries(exitCodes)) {
        assert.ok(
            out.includes(`${number}  ${exitDescriptions[exit as keyof typeof exitDescriptions]}`),
            exit,
        );
    }
    assert.equal(new Set(Object.values(exitCodes)).size, Object.keys(exitCodes).length);
});

test("a misspelt command or flag leads to a suggestion", async () => {
    const command = await run(["publsh"]);
    assert.equal(command.code, exitCodes.usage);
    assert.match(command.err, /Did you mean publish\?/);
    const flag = await run(["check", "--kye-file", "x", "y"]);
    assert.equal(flag.code, exitCodes.usage);
    assert.match(flag.err, /Did you mean --key-file\?/);
});

test("check needs no settings and reports all errors with their lines", async () => {
    const valid = await run(["check", writeTempFile(configText())]);
    assert.equal(valid.code, 0);
    assert.match(valid.out, /is valid: 1 service, 1 backend server, digest [0-9a-f]{12}\.\n$/);
    const file = writeTempFile("[service a]\nsrever = 1\nserver = localhost:80\n");
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
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url];
    const first = await run(["publish", writeTempFile(configText()), ...flags]);
    assert.equal(first.code, 0, first.err);
    assert.match(first.out, /^Version 1 is accepted/);
    const withoutBase = await run(["publish", writeTempFile(configText("192.0.2.11")), ...flags]);
    assert.equal(withoutBase.code, exitCodes.usage);
    assert.match(withoutBase.err, /--base 1/);
    const second = await run(["publish", writeTempFile(configText("192.0.2.11")), "--base", "1", ...flags]);
    assert.match(second.out, /^Version 2 is accepted/);
    const same = await run(["publish", writeTempFile(configText("192.0.2.11")), "--base", "1", ...flags]);
    assert.deepEqual(
        [same.code, same.out],
        [0, "Version 2 already has this configuration; nothing was published.\n"],
    );
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

test("of two concurrent publications the later one fails and shows the difference", async t => {
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url];
    await run(["publish", writeTempFile(configText()), ...flags]);
    await run(["publish", writeTempFile(configText("192.0.2.11")), "--base", "1", ...flags]);
    const late = await run(["publish", writeTempFile(configText("192.0.2.12")), "--base", "1", ...flags]);
    assert.equal(late.code, exitCodes["other-version"]);
    assert.match(late.err, /Version 2 is accepted, not version 1; your configuration was not published/);
    assert.match(late.err, /- server = 192\.0\.2\.11:8080\n\+ server = 192\.0\.2\.12:8080\n.*--base 2/);
    assert.match((await run(["show", ...flags])).out, /192\.0\.2\.11/);
});

test("a publication whose append response is lost is found by reading the log", async t => {
    const platform = await startTestPlatform(t);
    platform.setBehavior({ loseAnswers: 1 });
    const published = await run(["publish", writeTempFile(configText()), "--platform", platform.url]);
    assert.equal(published.code, 0, published.err);
    const listed = await run(["history", "--json", "--platform", platform.url]);
    assert.equal((JSON.parse(listed.out) as { records: unknown[] }).records.length, 1);
});

test("an id can't be reused for another configuration", async t => {
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url, "--id", "mine"];
    assert.equal((await run(["publish", writeTempFile(configText()), ...flags])).code, 0);
    const again = await run(["publish", writeTempFile(configText("192.0.2.11")), "--base", "1", ...flags]);
    assert.equal(again.code, exitCodes.usage);
    assert.match(again.err, /The id mine was used for another configuration, accepted as version 1/);
});

test("nothing is published while the log is unavailable, and the exit code shows it", async t => {
    const platform = await startTestPlatform(t);
    platform.setBehavior({ down: true });
    const published = await run(["publish", writeTempFile(configText()), "--platform", platform.url]);
    assert.equal(published.code, exitCodes["platform-unreachable"]);
    assert.equal((await run(["show"])).code, exitCodes.usage);
});

test("--wait ends when every entry VM reports the version, and progress lists those that don't yet", async t => {
    const platform = await startTestPlatform(t);
    let requests = 0;
    let fastRequests = 0;
    const status = (id: string, version: number) => ({
        id,
        incarnation: id,
        state: "serving",
        version: version > 0 ? { number: version, digest: "d" } : undefined,
        members: [{ id, state: "alive", callerAddress: "192.0.2.1:1" }],
        services: [],
    });
    const slow = await startFakeEntryVm(t, () => status("entry-2", requests++ < 3 ? 0 : 1));
    const fast = await startFakeEntryVm(t, () => status("entry-1", fastRequests++ < 1 ? 0 : 1));
    const keyFile = writeTempFile(`${key}\n`);
    const flags = ["--platform", platform.url, "--entry", fast, "--entry", slow, "--key-file", keyFile];
    const waited = await run(["publish", writeTempFile(configText()), "--wait", "5", ...flags]);
    assert.equal(waited.code, 0, waited.err);
    assert.match(waited.out, /In force on all 2 entry VMs after 500 ms/);
    assert.match(waited.err, /Waiting for 1 entry VM: entry-2 \(version 0\)/);
    assert.ok(!(waited.out + waited.err).includes(key));
});

test("--wait fails if a live member isn't listed in the settings", async t => {
    const platform = await startTestPlatform(t);
    const member = { state: "alive", callerAddress: "192.0.2.1:1" };
    let requests = 0;
    const entry = await startFakeEntryVm(t, () => ({
        id: "entry-1",
        incarnation: "i",
        state: "serving",
        version: requests++ < 1 ? undefined : { number: 1, digest: "d" },
        members: [
            { id: "entry-1", ...member },
            { id: "entry-9", ...member },
        ],
        services: [],
    }));
    const flags = ["--platform", platform.url, "--entry", entry, "--key-file", writeTempFile(key)];
    const waited = await run(["publish", writeTempFile(configText()), "--wait", "1", ...flags]);
    assert.equal(waited.code, exitCodes["not-everywhere"]);
    assert.match(waited.err, /not seen in force after 1 s on:\nentry-9 \(not listed in the settings\)/);
});

test("a publication is refused with what to do if the log has lost a version that entry VMs serve, until it is restored", async t => {
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url];
    await run(["publish", writeTempFile(configText()), ...flags]);
    const entry = await startFakeEntryVm(t, () => ({
        id: "entry-1",
        incarnation: "i",
        state: "serving",
        version: { number: 2, digest: "d" },
        members: [],
        services: [],
    }));
    const more = [...flags, "--entry", entry, "--key-file", writeTempFile(key)];
    const file = writeTempFile(configText("192.0.2.12"));
    const refused = await run(["publish", file, "--base", "1", ...more]);
    assert.equal(refused.code, exitCodes["other-version"]);
    assert.match(
        refused.err,
        /lost version 2 .*nothing was published.*\n.*\n {2}bramleymoor restore FILE --number 3/,
    );
    assert.equal((await run(["restore", file, "--number", "3", ...more])).code, 0);
    assert.match((await run(["show", ...flags])).out, /^# version 3,/);
    const next = await run(["publish", writeTempFile(configText("192.0.2.13")), "--base", "3", ...flags]);
    assert.match(next.out, /^Version 4 is accepted/);
});
