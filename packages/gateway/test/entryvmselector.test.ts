import assert from "node:assert/strict";
import { test } from "node:test";
import type { EntryVm, VmState } from "@bramleymoor/model/vm";
import { serverEntry } from "@bramleymoor/testkit/entries";
import {
    DemandCounter,
    serverSubset,
    parseRates,
    shortHash,
    EntryVmSelector,
} from "../src/entryvmselector.js";

const vm = (id: string, domain: string, state: VmState = "alive"): EntryVm => ({
    id,
    incarnation: id,
    place: { region: "r", domain },
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    state,
    load: 0,
});

const fleet = ["a", "b", "c"].flatMap(domain => [1, 2, 3, 4].map(i => vm(`${domain}${i}`, domain)));
/** Each entry VM has a whole core, and dispatches 100 requests per second with it. */
const settings = { requestsPerTenthCore: 10, shrinkAfterMs: 1_000 };
const core = (): number => 10;

test("a small host has one dispatcher, the same from every entry VM's view", () => {
    const steering = new EntryVmSelector(settings);
    steering.setServerSlots("h", 20);
    const [first, ...rest] = steering.select("h", "a", fleet, core);
    assert.deepEqual(rest, []);
    assert.deepEqual(new EntryVmSelector(settings).select("h", "b", [...fleet].reverse(), core), [first]);
});

test("a host whose servers carry much has dispatchers in every domain before any demand is seen", () => {
    const steering = new EntryVmSelector(settings);
    steering.setServerSlots("h", 200);
    for (const domain of ["a", "b", "c"]) {
        const found = steering.select("h", domain, fleet, core);
        assert.equal(found.length, 2);
        assert.ok(found.every(it => it.place.domain === domain));
    }
});

test("demand adds dispatchers at once", () => {
    const steering = new EntryVmSelector(settings);
    steering.observeDemand("h", 950, 0);
    assert.equal(steering.select("h", "a", fleet, core).length, 4);
});

test("large entry VMs are chosen more often, and fewer of them are needed", () => {
    const steering = new EntryVmSelector(settings);
    const capacityOf = ({ id }: EntryVm): number => (id.endsWith("1") ? 14 : 3);
    const hosts = Array.from({ length: 60 }, (_, i) => `host${i}`);
    hosts.forEach(host => steering.observeDemand(host, 10, 0));
    const chosen = hosts.flatMap(host => steering.select(host, "a", fleet, capacityOf));
    const large = chosen.filter(({ id }) => id.endsWith("1")).length / chosen.length;
    const share = (3 * 14) / (3 * 14 + 9 * 3);
    assert.ok(Math.abs(large - share) < 0.15, `${large} of the choices, ${share} of the cores`);
    steering.observeDemand("busy", 600, 1);
    const many = steering.select("busy", "a", fleet, capacityOf);
    assert.ok(many.reduce((sum, vm) => sum + capacityOf(vm), 0) >= 60 / 3);
});

test("callers of a domain without living entry VMs get those of others", () => {
    const steering = new EntryVmSelector(settings);
    steering.observeDemand("h", 950, 0);
    const left = fleet.filter(it => it.place.domain !== "a");
    assert.ok(steering.select("h", "a", left, core).length >= 8);
});

test("entry VMs that leave or are suspected get no callers", () => {
    const steering = new EntryVmSelector(settings);
    const [first] = steering.select("h", "a", fleet, core);
    const without = fleet.map(it => (it.id === first?.id ? vm(it.id, it.place.domain, "suspect") : it));
    assert.notEqual(steering.select("h", "a", without, core)[0]?.id, first?.id);
});

test("the dispatchers of a service divide its servers, each taking those of its failure domain", () => {
    const dispatchers = [vm("a1", "a"), vm("a2", "a"), vm("b1", "b")];
    const servers = ["a", "b", "c"].flatMap(domain =>
        Array.from({ length: 20 }, (_, i) => serverEntry(`${domain}-s${i}`, { domain })),
    );
    const parts = dispatchers.map(({ id }) => serverSubset(id, dispatchers, servers) ?? new Set<string>());
    assert.equal(new Set(parts.flatMap(it => [...it])).size, servers.length);
    assert.equal(
        parts.reduce((sum, it) => sum + it.size, 0),
        servers.length,
    );
    assert.ok([...(parts[2] ?? [])].every(id => !id.startsWith("a-")));
    assert.equal(serverSubset("b2", dispatchers, servers), undefined, "no dispatcher, no part");
});

test("demand survives its way through a member's payload", () => {
    const counter = new DemandCounter(0);
    for (let i = 0; i < 100; i++) {
        counter.count("h.example");
    }
    const payload = Object.fromEntries(counter.endPeriod(1_000));
    assert.equal(parseRates(payload).get(shortHash("h.example")), 100);
    assert.ok(Object.values(payload).every(it => it.length <= 64));
});
