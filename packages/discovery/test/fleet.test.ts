import assert from "node:assert/strict";
import { test } from "node:test";
import { routeConfig as config, serverEntry } from "@bramleymoor/testkit/builders";
import { Fleet } from "./fleet.js";

const limitMs = 2_000;

const startFleet = async (count: number, servers: number, discoveredAt = 1_000): Promise<Fleet> => {
    const fleet = new Fleet(count, discoveredAt);
    fleet.store.put("configuration", "config", config(1));
    for (let i = 0; i < servers; i++) {
        fleet.store.put("servers", `s${i}`, serverEntry(`s${i}`));
    }
    fleet.start();
    await fleet.time.run(3_000);
    return fleet;
};

const leavingStates = (fleet: Fleet, id: string): readonly (boolean | undefined)[] =>
    fleet.vms.map(vm => vm.servers.servers().find(({ entry }) => entry.id === id)?.entry.leaving);

test("60 entry VMs that start together don't send each other what each has read itself", async t => {
    const fleet = await startFleet(60, 300, 0);
    t.after(() => fleet.stop());
    const fullUpdateBytes = JSON.stringify(fleet.vms[0]?.servers.fullUpdate()).length;
    assert.ok(
        fleet.bytes < 60 * fullUpdateBytes,
        `${fleet.bytes} bytes, a full update has ${fullUpdateBytes}`,
    );
    assert.ok(fleet.store.calls <= 60 * 8, `${fleet.store.calls} calls`);
});

test("the number of calls to the store doesn't grow with the number of entry VMs", async t => {
    const fleet = await startFleet(60, 10);
    t.after(() => fleet.stop());
    const before = fleet.store.calls;
    await fleet.time.run(13_000);
    const perSecond = (fleet.store.calls - before) / 10;
    assert.ok(perSecond <= 5, `${perSecond} calls a second`);
});

test("updates reach every entry VM within the limit, even if every third message is lost", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    fleet.isLost = n => n % 3 === 0;
    fleet.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    fleet.store.put("configuration", "config", config(2));
    await fleet.time.run(3_000 + limitMs - 300);
    assert.deepEqual(new Set(leavingStates(fleet, "s3")), new Set([true]));
    assert.deepEqual(new Set(fleet.vms.map(vm => vm.config.config?.version)), new Set([2]));
});

test("if the first two readers freeze, the other entry VMs' data never becomes older than the limit", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    fleet.frozen.add("vm0");
    fleet.frozen.add("vm1");
    for (let at = 3_000; at < 9_000; at += 50) {
        await fleet.time.run(at);
        for (const { id, servers } of fleet.vms.slice(2)) {
            assert.ok(at - servers.asOf <= limitMs, `${id}: ${at - servers.asOf} ms old at ${at}`);
        }
    }
});

test("in a large fleet, no entry VM sends to all, and updates still reach every entry VM within the limit", async t => {
    const fleet = await startFleet(140, 10);
    t.after(() => fleet.stop());
    fleet.frozen.add("vm1");
    fleet.frozen.add("vm77");
    fleet.messagesBySender.clear();
    fleet.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    await fleet.time.run(3_000 + limitMs);
    const running = fleet.vms.filter(({ id }) => !fleet.frozen.has(id));
    const states = running.map(
        vm => vm.servers.servers().find(({ entry }) => entry.id === "s3")?.entry.leaving,
    );
    assert.deepEqual(new Set(states), new Set([true]));
    const perSecond = Math.max(...fleet.messagesBySender.values()) / (limitMs / 1_000);
    assert.ok(perSecond <= 60, `${perSecond} messages a second from one entry VM`);
});

test("the time that a message waits in a paused entry VM adds to its age, there and where it is forwarded", async t => {
    const fleet = await startFleet(2, 10, Infinity);
    t.after(() => fleet.stop());
    const [paused, other] = fleet.vms;
    assert.ok(paused && other);
    fleet.store.rejectedClients.add("all");
    await fleet.time.run(6_000);
    const before = paused.config.asOf;
    const to = paused.config.position ?? 0;
    fleet.deliverUnread("vm0", { topic: "configuration", ageMs: 100, to, passTo: ["vm1"] }, 1_900);
    await fleet.time.run(6_010);
    assert.ok(before < 4_000, "the data was already newer");
    assert.equal(paused.config.asOf, 4_000);
    assert.ok(other.config.asOf <= 4_010, `${other.config.asOf}`);
});

test("a compacted log is read in full, and what was removed meanwhile disappears everywhere", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    fleet.store.put("servers", "s4", undefined);
    fleet.store.put("servers", "new", serverEntry("new"));
    fleet.store.compact();
    await fleet.time.run(3_000 + limitMs);
    assert.deepEqual(new Set(leavingStates(fleet, "s4")), new Set([undefined]));
    assert.deepEqual(new Set(leavingStates(fleet, "new")), new Set([false]));
});

test("entry VMs whose reads fail receive updates from the others within the limit", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    fleet.store.rejectedClients.add("vm0");
    fleet.store.rejectedClients.add("vm5");
    await fleet.time.run(4_000);
    fleet.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    await fleet.time.run(4_000 + limitMs);
    assert.deepEqual(new Set(leavingStates(fleet, "s3")), new Set([true]));
});

test("during an outage of the store all data is kept, and later changes are applied within the limit", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    fleet.store.rejectedClients.add("all");
    await fleet.time.run(9_000);
    assert.deepEqual(new Set(fleet.vms.map(vm => vm.servers.servers().length)), new Set([10]));
    fleet.store.rejectedClients.clear();
    fleet.store.put("servers", "s3", serverEntry("s3", { leaving: true }));
    await fleet.time.run(9_000 + limitMs + 200);
    assert.deepEqual(new Set(leavingStates(fleet, "s3")), new Set([true]));
});

test("a configuration too large for messages is read from the store as soon as it is announced", async t => {
    const fleet = await startFleet(140, 10);
    t.after(() => fleet.stop());
    fleet.maxMessageBytes = 10_000;
    const routes = Array.from({ length: 1_600 }, (_, i) => ({ name: `r${i}` }));
    fleet.store.put("configuration", "config", { ...config(2), routes });
    await fleet.time.run(3_000);
    fleet.messagesBySender.clear();
    await fleet.time.run(3_000 + limitMs / 2);
    assert.deepEqual(new Set(fleet.vms.map(vm => vm.config.config?.version)), new Set([2]));
    const sent = [...fleet.messagesBySender.values()].reduce((sum, it) => sum + it, 0);
    assert.ok(sent < 140 * 8, `${sent} messages`);
});

test("an entry VM that the store rejects gets an announced configuration from a peer", async t => {
    const fleet = await startFleet(40, 10);
    t.after(() => fleet.stop());
    fleet.store.rejectedClients.add("vm20");
    await fleet.time.run(6_000);
    fleet.isLost = n => n % 2 === 0;
    fleet.store.put("configuration", "config", config(2));
    await fleet.time.run(6_000 + limitMs);
    assert.equal(fleet.vms[20]?.config.config?.version, 2);
});

test("beside a healthy primary reader no other entry VM reads the store", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    const callsOfOthers = (): number =>
        [...fleet.store.callsBy].reduce((sum, [id, calls]) => sum + (id === "vm0" ? 0 : calls), 0);
    const before = callsOfOthers();
    await fleet.time.run(13_000);
    assert.equal(callsOfOthers() - before, 0);
});

test("an entry VM that starts beside others gets everything from them, without a call to the store", async t => {
    const fleet = new Fleet(5, 0, ["vm0"]);
    t.after(() => fleet.stop());
    fleet.store.put("configuration", "config", config(1));
    fleet.store.put("servers", "s0", serverEntry("s0"));
    fleet.start();
    await fleet.time.run(3_000);
    const joined = fleet.join();
    await fleet.time.run(3_100);
    assert.equal(joined.config.config?.version, 1);
    assert.equal(joined.servers.servers().length, 1);
    assert.equal(fleet.store.callsBy.get(joined.id), undefined);
});

test("an entry VM whose seeds don't respond reads the store soon", async t => {
    const fleet = new Fleet(1, Infinity, ["gone"]);
    t.after(() => fleet.stop());
    fleet.store.put("configuration", "config", config(1));
    fleet.start();
    await fleet.time.run(200);
    assert.equal(fleet.vms[0]?.config.config?.version, 1);
});

test("an entry VM that gets no updates from the readers asks its peers rather than the store", async t => {
    const fleet = await startFleet(14, 10);
    t.after(() => fleet.stop());
    const readers = new Set(["vm0", "vm1", "vm2"]);
    fleet.isCut = (from, to) => readers.has(from) && to === "vm13";
    const callsBefore = fleet.store.callsBy.get("vm13") ?? 0;
    for (let at = 3_000; at < 13_000; at += 50) {
        await fleet.time.run(at);
        const { servers, config: known } = fleet.vms[13]!;
        const ageMs = at - Math.min(servers.asOf, known.asOf);
        assert.ok(ageMs <= limitMs, `${ageMs} ms at ${at}`);
    }
    const calls = (fleet.store.callsBy.get("vm13") ?? 0) - callsBefore;
    assert.ok(calls <= 2, `${calls} calls in 10 s`);
});
