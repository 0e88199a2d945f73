import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { grammars, type Grammars } from "@bramleymoor/config/version";
import { parseDocument } from "@bramleymoor/model/parser";
import { exitCodes } from "../src/exit.js";
import { startFakeEntryVm, writeTempFile, key, startTestPlatform, run, configText } from "./builders.js";

const withSecondGrammar: Grammars = new Map([...grammars, [2, { number: 2, parse: parseDocument }]]);

/** Starts a platform whose log has lost versions 1 to 3 without a checkpoint. */
const startPlatformWithLostLog = async (t: TestContext) => {
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url];
    await run(["publish", writeTempFile(configText("192.0.2.1")), ...flags]);
    await run(["publish", writeTempFile(configText("192.0.2.2")), "--base", "1", ...flags]);
    await run(["publish", writeTempFile(configText("192.0.2.3")), "--base", "2", ...flags]);
    platform.memory.expireBefore("config", 3);
    return { platform, flags };
};

test("a grammar that the program doesn't support is not put in force", async t => {
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url];
    await run(["publish", writeTempFile(configText()), ...flags]);
    const raised = await run(["raise-grammar", "--base", "1", ...flags]);
    assert.equal(raised.code, exitCodes["not-found"]);
    assert.match(raised.err, /this program doesn't support grammar 2\. Nothing was published/);
    assert.match((await run(["show", ...flags])).out, /^# version 1,/);
    assert.equal((await run(["raise-grammar", ...flags])).code, exitCodes.usage);
});

test("raise-grammar puts the next grammar in force over the given base, and only once", async t => {
    const platform = await startTestPlatform(t);
    const flags = ["--platform", platform.url];
    const runWithSecond = async (...args: readonly string[]) =>
        run([...args, ...flags], false, {}, withSecondGrammar);
    const early = await runWithSecond("raise-grammar", "--base", "0");
    assert.deepEqual([early.code, early.err.includes("publish one first")], [exitCodes.usage, true]);
    await runWithSecond("publish", writeTempFile(configText()));
    const raised = await runWithSecond("raise-grammar", "--base", "1", "--id", "g2");
    assert.deepEqual([raised.code, raised.err.includes("as g2")], [0, true]);
    assert.match(
        raised.out,
        /^Version 2 is accepted: the same configuration, with the next grammar in force/,
    );
    const again = await runWithSecond("raise-grammar", "--base", "1", "--id", "g2");
    assert.match(again.out, /^Version 2 is accepted/);
    const late = await runWithSecond("raise-grammar", "--base", "1");
    assert.equal(late.code, exitCodes["other-version"]);
    assert.match(late.err, /Version 2 is accepted, not version 1; nothing was published/);
    const next = await runWithSecond("publish", writeTempFile(configText("192.0.2.9")), "--base", "2");
    assert.match(next.out, /^Version 3 is accepted/);
    const old = await run(["show", ...flags]);
    assert.equal(old.code, exitCodes["platform-unreachable"]);
    assert.match(old.err, /newer than this program; upgrade it/);
});

test("a lost version is restored, and a new version is published over it", async t => {
    const { flags } = await startPlatformWithLostLog(t);
    assert.equal((await run(["show", ...flags])).code, exitCodes["platform-unreachable"]);
    const restored = await run([
        "restore",
        writeTempFile(configText("192.0.2.3")),
        "--number",
        "10",
        ...flags,
    ]);
    assert.equal(restored.code, 0, restored.err);
    assert.match(restored.out, /^Version 10 is restored, digest [0-9a-f]{12}\.\n$/);
    assert.match(restored.err, /isn't compared with the entry VMs' versions/);
    assert.match((await run(["show", ...flags])).out, /^# version 10,[^]*192\.0\.2\.3/);
    const next = await run(["publish", writeTempFile(configText("192.0.2.4")), "--base", "10", ...flags]);
    assert.match(next.out, /^Version 11 is accepted/);
});

test("restore is refused if it isn't needed, or if the number, grammar or configuration is invalid", async t => {
    const { platform, flags } = await startPlatformWithLostLog(t);
    const file = writeTempFile(configText());
    const codeOf = async (...args: readonly string[]) => (await run(["restore", ...args, ...flags])).code;
    assert.equal(await codeOf(file), exitCodes.usage);
    assert.equal(await codeOf(file, "--number", "0"), exitCodes.usage);
    assert.equal(await codeOf(file, "--number", "9", "--grammar", "7"), exitCodes["not-found"]);
    assert.equal(await codeOf(writeTempFile("[service a]\n"), "--number", "9"), exitCodes["invalid-text"]);
    platform.setBehavior({ down: true });
    assert.equal(await codeOf(file, "--number", "9"), exitCodes["platform-unreachable"]);
    platform.setBehavior({ down: false });
    assert.equal(await codeOf(file, "--number", "9"), 0);
    assert.equal(await codeOf(file, "--number", "12"), exitCodes["other-version"]);
});

test("a restored version must be higher than the versions of the entry VMs", async t => {
    const { flags } = await startPlatformWithLostLog(t);
    const entry = await startFakeEntryVm(t, () => ({
        id: "entry-1",
        incarnation: "i",
        state: "serving",
        version: { number: 9, digest: "d" },
        members: [],
        services: [],
    }));
    const more = [...flags, "--entry", entry, "--key-file", writeTempFile(key)];
    const low = await run(["restore", writeTempFile(configText()), "--number", "9", ...more]);
    assert.equal(low.code, exitCodes.usage);
    assert.match(low.err, /entry-1 has version 9.*higher --number/);
    assert.equal((await run(["restore", writeTempFile(configText()), "--number", "10", ...more])).code, 0);
});

test("over a lost base, a publication with a given --id has an unknown outcome, as it may have been accepted before", async t => {
    const { flags } = await startPlatformWithLostLog(t);
    await run(["restore", writeTempFile(configText("192.0.2.3")), "--number", "10", ...flags]);
    const args = ["publish", writeTempFile(configText("192.0.2.4")), "--base", "3", ...flags];
    assert.equal((await run(args)).code, exitCodes["other-version"]);
    assert.equal((await run([...args, "--id", "mine"])).code, exitCodes["outcome-unknown"]);
});
