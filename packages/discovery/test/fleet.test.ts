import assert from "node:assert/strict";
import { test } from "node:test";
import { routeConfig as config, serverEntry } from "@bramleymoor/testkit/entries";
import { Fleet } from "./fleet.js";

const boundMs = 2_000;

const fleet = async (count: number, servers: number, knownAt = 1_000): Promise<Fleet> => {
    const made = new Fleet(count, knownAt);
    made.store.put("configuration", "config", config(1));
    for (let i = 0; i < servers; i++) {
        made.store.put("servers", `s${i}`, serverEntry(`s${i}`));
    }
    made.start();
    await made.time.run(3_000);
    return made;
};

const leavingAt = (it: Fleet, id: string): readonly (boolean | undefined)[] =>
    it.vms.map(vm => vm.servers.servers().find(({ entry }) => entry.id === id)?.entry.leaving);

test("a start of 60 entry VMs hands nobody what it has read itself", async t => {
    const it = await fleet(60, 300, 0);
    t.after(() => it.stop());
    const everything = JSON.stringify(it.vms[0]?.servers.fullUpdate()).length;
    assert.ok(it.bytes < 60 * everything, `${it.bytes} bytes, everything is ${everything}`);
    assert.ok(it.store.calls <= 60 * 8, `${it.store.calls} calls`);
});

test("calls to the store don't grow with the entry VMs", async t => {
    const it = await fleet(60, 10);
    t.after(() => it.stop());
    const before = it.store.calls;
    await it.time.run(13_000);
    const perSecond = (it.store.calls - before) / 10;
    assert.ok(perSecond <= 5, `${perSecond} calls a second`);
});

test("news are everywhere within the bound, also when every third message is lost", async t => {
    const it = await fleet(14, 10);
    t.after(() => it.stop());
    it.loses = n => n % 3 === 0;
    it.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    it.store.put("configuration", "config", config(2));
    await it.time.run(3_000 + boundMs - 300);
    assert.deepEqual(new Set(leavingAt(it, "s3")), new Set([true]));
    assert.deepEqual(new Set(it.vms.map(vm => vm.config.config?.version)), new Set([2]));
});

test("the two first readers freeze, and the others' knowledge never grows older than the bound", async t => {
    const it = await fleet(14, 10);
    t.after(() => it.stop());
    it.frozen.add("vm0");
    it.frozen.add("vm1");
    for (let at = 3_000; at < 9_000; at += 50) {
        await it.time.run(at);
        for (const { id, servers } of it.vms.slice(2)) {
            assert.ok(at - servers.asOf <= boundMs, `${id}: ${at - servers.asOf} ms at ${at}`);
        }
    }
});

test("in a large fleet no entry VM sends to all, and news are everywhere within the bound all the same", async t => {
    const it = await fleet(140, 10);
    t.after(() => it.stop());
    it.frozen.add("vm1");
    it.frozen.add("vm77");
    it.sent.clear();
    it.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    await it.time.run(3_000 + boundMs);
    const heard = it.vms.filter(({ id }) => !it.frozen.has(id));
    const states = heard.map(
        vm => vm.servers.servers().find(({ entry }) => entry.id === "s3")?.entry.leaving,
    );
    assert.deepEqual(new Set(states), new Set([true]));
    const perSecond = Math.max(...it.sent.values()) / (boundMs / 1_000);
    assert.ok(perSecond <= 60, `${perSecond} messages a second from one entry VM`);
});

test("what lay unread while an entry VM was paused doesn't count as young, there or where it is passed on", async t => {
    const it = await fleet(2, 10, Infinity);
    t.after(() => it.stop());
    const [paused, other] = it.vms;
    assert.ok(paused && other);
    it.store.turnedAway.add("all");
    await it.time.run(6_000);
    const before = paused.config.asOf;
    const to = paused.config.position ?? 0;
    it.deliverLate("vm0", { topic: "configuration", ageMs: 100, to, passTo: ["vm1"] }, 1_900);
    await it.time.run(6_010);
    assert.ok(before < 4_000, "nothing newer was known");
    assert.equal(paused.config.asOf, 4_000);
    assert.ok(other.config.asOf <= 4_010, `${other.config.asOf}`);
});

test("a compacted log is read anew, and what was dropped meanwhile is gone everywhere", async t => {
    const it = await fleet(14, 10);
    t.after(() => it.stop());
    it.store.put("servers", "s4", undefined);
    it.store.put("servers", "new", serverEntry("new"));
    it.store.compact();
    await it.time.run(3_000 + boundMs);
    assert.deepEqual(new Set(leavingAt(it, "s4")), new Set([undefined]));
    assert.deepEqual(new Set(leavingAt(it, "new")), new Set([false]));
});

test("entry VMs that the store turns away learn from the others within the bound", async t => {
    const it = await fleet(14, 10);
    t.after(() => it.stop());
    it.store.turnedAway.add("vm0");
    it.store.turnedAway.add("vm5");
    await it.time.run(4_000);
    it.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    await it.time.run(4_000 + boundMs);
    assert.deepEqual(new Set(leavingAt(it, "s3")), new Set([true]));
});

test("while the store is away nothing is forgotten, and what it says afterwards is taken within the bound", async t => {
    const it = await fleet(14, 10);
    t.after(() => it.stop());
    it.store.turnedAway.add("all");
    await it.time.run(9_000);
    assert.deepEqual(new Set(it.vms.map(vm => vm.servers.servers().length)), new Set([10]));
    it.store.turnedAway.clear();
    it.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    await it.time.run(9_000 + boundMs + 200);
    assert.deepEqual(new Set(leavingAt(it, "s3")), new Set([true]));
});
