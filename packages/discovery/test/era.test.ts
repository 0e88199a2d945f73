import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeConfig as config, serverEntry } from "@bramleymoor/testkit/builders";
import { ConfigCache } from "../src/config.js";
import { ServerCache } from "../src/servers.js";
import { Fleet, type FleetVm } from "./fleet.js";

const limitMs = 2_000;
const reregistrationMs = 2_500;
const servers = 10;
/** Retries of two topics within 2 s, with growing delays. */
const maxCallsPerFailingReader = 12;
/** Calls of both topics in 2 s at rest, and two more of each of the first three readers. */
const maxCallsAtReturn = 22;

/** Starts a fleet whose entry VMs have read a store of era 1. */
const startFleet = async (t: TestContext, count = 14): Promise<Fleet> => {
    const fleet = new Fleet(count, 0);
    t.after(() => fleet.stop());
    fleet.store.era = 1;
    fleet.store.put("configuration", "config", config(1));
    for (let i = 0; i < servers; i++) {
        fleet.store.put("servers", `s${i}`, serverEntry(`s${i}`));
    }
    fleet.start();
    await fleet.time.run(3_000);
    assert.deepEqual(fleet.eraChanges, []);
    return fleet;
};

const heartbeat = (fleet: Fleet, ...ids: readonly string[]): void =>
    ids.forEach(it => fleet.store.put("servers", it, serverEntry(it)));

const state = (vm: FleetVm, id: string): "ready" | "leaving" | "gone" => {
    const known = vm.servers.servers().find(({ entry }) => entry.id === id);
    return known ? (known.entry.leaving ? "leaving" : "ready") : "gone";
};

const states = (fleet: Fleet, id: string): ReadonlySet<string> => new Set(fleet.vms.map(it => state(it, id)));

const versions = (fleet: Fleet): ReadonlySet<number | undefined> =>
    new Set(fleet.vms.map(it => it.config.config?.version));

test("after the store has come back from an older copy, what is written reaches every entry VM within the limit", async t => {
    const fleet = await startFleet(t);
    for (let i = 0; i < 9; i++) {
        heartbeat(fleet, "s1");
    }
    fleet.store.put("configuration", "config", config(2));
    await fleet.time.run(6_000);
    assert.deepEqual(versions(fleet), new Set([2]));
    fleet.store.restore({ servers: 9, configuration: 1 });
    await fleet.time.run(6_200);
    fleet.store.put("configuration", "config", config(3));
    fleet.store.put("servers", "s2", serverEntry("s2", { leaving: true }));
    fleet.store.put("servers", "new", serverEntry("new"));
    await fleet.time.run(6_200 + limitMs);
    assert.deepEqual(versions(fleet), new Set([3]));
    assert.deepEqual(states(fleet, "s2"), new Set(["leaving"]));
    assert.deepEqual(states(fleet, "new"), new Set(["ready"]));
    assert.deepEqual(states(fleet, "s1"), new Set(["ready"]));
    assert.equal(new Set(fleet.eraChanges.map(it => it.id)).size, fleet.vms.length);
});

test("the configuration in force stays when the store comes back without it, and an entry VM that starts learns it from its peers", async t => {
    const fleet = await startFleet(t);
    fleet.store.put("configuration", "config", config(2));
    await fleet.time.run(5_000);
    fleet.store.restore({ servers: 0, configuration: 1 });
    const joined = fleet.join();
    for (let at = 5_000; at < 7_000; at += 50) {
        await fleet.time.run(at);
        assert.ok(fleet.vms.slice(0, -1).every(it => it.config.config?.version === 2));
    }
    assert.equal(joined.config.config?.version, 2);
});

test("entry VMs don't send their configuration to a peer that hasn't read it yet, and only a few to one whose store forgot it", async t => {
    const fleet = await startFleet(t, 60);
    fleet.store.put("configuration", "config", config(2));
    await fleet.time.run(3_000 + limitMs);
    const countReplies = (to: number): number => {
        const before = fleet.messages;
        fleet.vms.forEach(({ id }) =>
            fleet.deliverUnread(id, { topic: "configuration", ageMs: 0, era: 1, to, version: 1 }, 0),
        );
        return fleet.messages - before;
    };
    assert.equal(countReplies(1), 0);
    const replies = countReplies(2);
    assert.ok(replies > 0 && replies <= 4, `${replies} replies`);
});

test("a server that is leaving or gone isn't revived by the older copy", async t => {
    const fleet = await startFleet(t);
    fleet.store.put("servers", "s1", serverEntry("s1", { leaving: true }));
    fleet.store.put("servers", "s2", serverEntry("s2", { leaving: true }));
    await fleet.time.run(5_000);
    fleet.store.put("servers", "s2", undefined);
    await fleet.time.run(7_000);
    fleet.store.restore({ servers: 3, configuration: 0 });
    for (let at = 7_000; at < 12_000; at += 50) {
        await fleet.time.run(at);
        assert.ok(!states(fleet, "s1").has("ready"), `s1 at ${at}`);
        assert.deepEqual(states(fleet, "s2"), new Set(["gone"]), `s2 at ${at}`);
    }
});

test("a server that the older copy lacks stays in use while it may be written again, and goes if it isn't", async t => {
    const fleet = await startFleet(t);
    heartbeat(fleet, "lost", "kept");
    await fleet.time.run(5_000);
    fleet.store.restore({ servers: 2, configuration: 0 });
    await fleet.time.run(6_000);
    assert.deepEqual(states(fleet, "lost"), new Set(["ready"]));
    heartbeat(fleet, "kept");
    await fleet.time.run(5_000 + reregistrationMs + limitMs);
    assert.deepEqual(states(fleet, "kept"), new Set(["ready"]));
    assert.deepEqual(states(fleet, "lost"), new Set(["gone"]));
});

test("a new incarnation under an id that was gone is used", async t => {
    const fleet = await startFleet(t);
    fleet.store.put("servers", "s1", undefined);
    await fleet.time.run(5_000);
    fleet.store.restore({ servers: 1, configuration: 0 });
    await fleet.time.run(5_500);
    fleet.store.put("servers", "s1", serverEntry("s1", { bornAt: 2 }));
    await fleet.time.run(5_500 + limitMs);
    assert.deepEqual(states(fleet, "s1"), new Set(["ready"]));
});

test("after a return, a configuration too large for messages is in force everywhere within the limit", async t => {
    const fleet = await startFleet(t, 60);
    fleet.store.put("configuration", "config", config(2));
    fleet.store.put("configuration", "config", config(3));
    await fleet.time.run(6_000);
    fleet.maxMessageBytes = 10_000;
    fleet.store.restore({ servers: 0, configuration: 2 });
    const routes = Array.from({ length: 1_600 }, (_, i) => ({ name: `r${i}` }));
    fleet.store.put("configuration", "config", { ...config(4), routes });
    await fleet.time.run(6_000 + limitMs);
    assert.deepEqual(versions(fleet), new Set([4]));
});

test("a return of the store costs a few readers' calls, not one of each entry VM", async t => {
    const fleet = await startFleet(t, 60);
    heartbeat(fleet, "s1", "s1", "s1");
    await fleet.time.run(5_000);
    const before = fleet.store.calls;
    fleet.store.restore({ servers: 2, configuration: 0 });
    await fleet.time.run(5_000 + limitMs);
    const calls = fleet.store.calls - before;
    assert.deepEqual(new Set(fleet.vms.map(it => it.config.era)), new Set([2]));
    assert.deepEqual(new Set(fleet.vms.map(it => it.servers.era)), new Set([2]));
    assert.ok(calls <= maxCallsAtReturn, `${calls} calls`);
});

test("two returns in a row are followed, also by an entry VM that got no messages meanwhile", async t => {
    const fleet = await startFleet(t);
    heartbeat(fleet, "s1", "s1", "s1");
    await fleet.time.run(5_000);
    fleet.frozen.add("vm7");
    fleet.store.restore({ servers: 2, configuration: 0 });
    await fleet.time.run(5_300);
    heartbeat(fleet, "s3");
    fleet.store.restore({ servers: 2, configuration: 0 });
    fleet.frozen.delete("vm7");
    fleet.store.put("servers", "s2", serverEntry("s2", { leaving: true }));
    await fleet.time.run(5_300 + limitMs);
    assert.deepEqual(states(fleet, "s2"), new Set(["leaving"]));
    assert.deepEqual(new Set(fleet.vms.map(it => it.servers.era)), new Set([3]));
});

test("answers and messages of an earlier era change nothing", async t => {
    const fleet = await startFleet(t);
    fleet.store.restore({ servers: 0, configuration: 0 });
    await fleet.time.run(6_000);
    fleet.store.era = 1;
    fleet.store.put("servers", "s1", serverEntry("s1", { leaving: true }));
    fleet.deliverUnread(
        "vm1",
        {
            topic: "servers",
            ageMs: 0,
            news: { era: 1, from: 0, to: 99, changes: [{ offset: 98, id: "s2" }] },
        },
        0,
    );
    const before = fleet.store.calls;
    await fleet.time.run(8_000);
    assert.ok(fleet.store.calls - before < fleet.vms.length * maxCallsPerFailingReader);
    assert.deepEqual(states(fleet, "s1"), new Set(["ready"]));
    assert.deepEqual(states(fleet, "s2"), new Set(["ready"]));
    assert.deepEqual(new Set(fleet.vms.map(it => it.servers.era)), new Set([2]));
});

test("messages of a build that knows no eras are understood, and it ignores the era in those of others", () => {
    const cache = new ServerCache(() => undefined);
    cache.applyLatest({ records: [], end: 5, era: 3 }, 0);
    cache.apply({ from: 5, to: 6, changes: [{ offset: 5, id: "s1", entry: serverEntry("s1") }] }, 10);
    assert.equal(cache.servers().length, 1);
    assert.equal(cache.era, 3);
    const configs = new ConfigCache("config", () => config(4));
    configs.apply({ era: 3, to: 2, value: undefined }, 0);
    assert.equal(configs.apply({ to: 3, value: new Uint8Array() }, 10), true);
});

test("a server restarted before the return isn't replaced by its earlier incarnation", () => {
    const decode = (id: string, value: Uint8Array) => serverEntry(id, { bornAt: value[0] ?? 0 });
    const cache = new ServerCache(decode);
    const record = (offset: number, born: number) => ({ offset, key: "s1", value: new Uint8Array([born]) });
    cache.applyLatest({ records: [record(8, 2)], end: 9, era: 1 }, 0);
    cache.applyLatest({ records: [record(3, 1)], end: 4, era: 2 }, 100);
    assert.equal(cache.servers()[0]?.entry.bornAt, 2);
});
