import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { grammars, type Grammars } from "@bramleymoor/config/version";
import { parseDocument } from "@bramleymoor/model/parser";
import { exitCodes } from "../src/exit.js";
import { entryFor, fileWith, key, platformFor, run, text } from "./builders.js";

const withSecond: Grammars = new Map([...grammars, [2, { number: 2, read: parseDocument }]]);

/** A platform whose log has lost versions 1 to 3, which nobody kept. */
const lostLog = async (t: TestContext) => {
    const platform = await platformFor(t);
    const flags = ["--platform", platform.url];
    await run(["publish", fileWith(text("192.0.2.1")), ...flags]);
    await run(["publish", fileWith(text("192.0.2.2")), "--base", "1", ...flags]);
    await run(["publish", fileWith(text("192.0.2.3")), "--base", "2", ...flags]);
    platform.memory.expireBefore("config", 3);
    return { platform, flags };
};

test("a grammar that the program doesn't know is not put in force", async t => {
    const platform = await platformFor(t);
    const flags = ["--platform", platform.url];
    await run(["publish", fileWith(text()), ...flags]);
    const raised = await run(["raise-grammar", "--base", "1", ...flags]);
    assert.equal(raised.code, exitCodes["not-found"]);
    assert.match(raised.err, /this program knows no grammar 2\. Nothing was published/);
    assert.match((await run(["show", ...flags])).out, /^# version 1,/);
    assert.equal((await run(["raise-grammar", ...flags])).code, exitCodes.usage);
});

test("the next grammar is raised over the version that was named, once", async t => {
    const platform = await platformFor(t);
    const flags = ["--platform", platform.url];
    const known = async (...args: readonly string[]) => run([...args, ...flags], false, {}, withSecond);
    const early = await known("raise-grammar", "--base", "0");
    assert.deepEqual([early.code, early.err.includes("publish one first")], [exitCodes.usage, true]);
    await known("publish", fileWith(text()));
    const raised = await known("raise-grammar", "--base", "1", "--id", "g2");
    assert.deepEqual([raised.code, raised.err.includes("as g2")], [0, true]);
    assert.match(raised.out, /^Version 2 is accepted: the same text, the next grammar in force/);
    const again = await known("raise-grammar", "--base", "1", "--id", "g2");
    assert.match(again.out, /^Version 2 is accepted/);
    const late = await known("raise-grammar", "--base", "1");
    assert.equal(late.code, exitCodes["other-version"]);
    assert.match(late.err, /Version 2 is accepted, not version 1; nothing was published/);
    const next = await known("publish", fileWith(text("192.0.2.9")), "--base", "2");
    assert.match(next.out, /^Version 3 is accepted/);
    const old = await run(["show", ...flags]);
    assert.equal(old.code, exitCodes["platform-unreachable"]);
    assert.match(old.err, /newer than this program; upgrade it/);
});

test("a lost version is restored, and published over", async t => {
    const { flags } = await lostLog(t);
    assert.equal((await run(["show", ...flags])).code, exitCodes["platform-unreachable"]);
    const restored = await run(["restore", fileWith(text("192.0.2.3")), "--number", "10", ...flags]);
    assert.equal(restored.code, 0, restored.err);
    assert.match(restored.out, /^Version 10 is restored, digest [0-9a-f]{12}\.\n$/);
    assert.match(restored.err, /isn't compared with what they know/);
    assert.match((await run(["show", ...flags])).out, /^# version 10,[^]*192\.0\.2\.3/);
    const next = await run(["publish", fileWith(text("192.0.2.4")), "--base", "10", ...flags]);
    assert.match(next.out, /^Version 11 is accepted/);
});

test("restoring is refused while it isn't needed, or under a number, grammar or text that can't be", async t => {
    const { platform, flags } = await lostLog(t);
    const file = fileWith(text());
    const codeOf = async (...args: readonly string[]) => (await run(["restore", ...args, ...flags])).code;
    assert.equal(await codeOf(file), exitCodes.usage);
    assert.equal(await codeOf(file, "--number", "0"), exitCodes.usage);
    assert.equal(await codeOf(file, "--number", "9", "--grammar", "7"), exitCodes["not-found"]);
    assert.equal(await codeOf(fileWith("[service a]\n"), "--number", "9"), exitCodes["invalid-text"]);
    platform.set({ down: true });
    assert.equal(await codeOf(file, "--number", "9"), exitCodes["platform-unreachable"]);
    platform.set({ down: false });
    assert.equal(await codeOf(file, "--number", "9"), 0);
    assert.equal(await codeOf(file, "--number", "12"), exitCodes["other-version"]);
});

test("a restored version must lie above those that entry VMs know", async t => {
    const { flags } = await lostLog(t);
    const entry = await entryFor(t, () => ({
        id: "entry-1",
        incarnation: "i",
        state: "serving",
        version: { number: 9, digest: "d" },
        members: [],
        services: [],
    }));
    const more = [...flags, "--entry", entry, "--key-file", fileWith(key)];
    const low = await run(["restore", fileWith(text()), "--number", "9", ...more]);
    assert.equal(low.code, exitCodes.usage);
    assert.match(low.err, /entry-1 knows version 9.*higher --number/);
    assert.equal((await run(["restore", fileWith(text()), "--number", "10", ...more])).code, 0);
});

test("an id that the program made itself was never accepted before; one from outside may have been", async t => {
    const { flags } = await lostLog(t);
    await run(["restore", fileWith(text("192.0.2.3")), "--number", "10", ...flags]);
    const args = ["publish", fileWith(text("192.0.2.4")), "--base", "3", ...flags];
    assert.equal((await run(args)).code, exitCodes["other-version"]);
    assert.equal((await run([...args, "--id", "mine"])).code, exitCodes["outcome-unknown"]);
});
