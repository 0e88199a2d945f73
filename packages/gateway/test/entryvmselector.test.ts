import assert from "node:assert/strict";
import { test } from "node:test";
import type { EntryVm, VmState } from "@bramleymoor/model/vm";
import { serverEntry } from "@bramleymoor/testkit/builders";
import { serverSubset, EntryVmSelector } from "../src/entryvmselector.js";

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
/** Each entry VM has one core, enough for 100 requests per second. */
const settings = { requestsPerTenthCore: 10, shrinkAfterMs: 1_000 };
const oneCore = (): number => 10;

test("a small host gets one entry VM, the same for every member and failure domain", () => {
    const selector = new EntryVmSelector(settings);
    selector.setServerSlots("h", 20);
    const [first, ...rest] = selector.select("h", "a", fleet, oneCore);
    assert.deepEqual(rest, []);
    assert.deepEqual(new EntryVmSelector(settings).select("h", "b", [...fleet].reverse(), oneCore), [first]);
});

test("a host with many server slots gets entry VMs in every domain before any demand is observed", () => {
    const selector = new EntryVmSelector(settings);
    selector.setServerSlots("h", 200);
    for (const domain of ["a", "b", "c"]) {
        const found = selector.select("h", domain, fleet, oneCore);
        assert.equal(found.length, 2);
        assert.ok(found.every(it => it.place.domain === domain));
    }
});

test("higher demand adds entry VMs immediately", () => {
    const selector = new EntryVmSelector(settings);
    selector.observeDemand("h", 950, 0);
    assert.equal(selector.select("h", "a", fleet, oneCore).length, 4);
});

test("larger entry VMs are selected more often, and fewer of them are needed", () => {
    const selector = new EntryVmSelector(settings);
    const capacityOf = ({ id }: EntryVm): number => (id.endsWith("1") ? 14 : 3);
    const hosts = Array.from({ length: 60 }, (_, i) => `host${i}`);
    hosts.forEach(host => selector.observeDemand(host, 10, 0));
    const selections = hosts.flatMap(host => selector.select(host, "a", fleet, capacityOf));
    const large = selections.filter(({ id }) => id.endsWith("1")).length / selections.length;
    const share = (3 * 14) / (3 * 14 + 9 * 3);
    assert.ok(Math.abs(large - share) < 0.15, `${large} of the selections, ${share} of the cores`);
    selector.observeDemand("busy", 600, 1);
    const many = selector.select("busy", "a", fleet, capacityOf);
    assert.ok(many.reduce((sum, vm) => sum + capacityOf(vm), 0) >= 60 / 3);
});

test("no entry VM is expected to take more requests than its capacity, though callers pick them evenly", () => {
    const selector = new EntryVmSelector(settings);
    const capacityOf = ({ id }: EntryVm): number => (/^.[12]$/.test(id) ? 14 : 3);
    const vms = ["a", "b", "c"].flatMap(domain =>
        Array.from({ length: 20 }, (_, i) => vm(`${domain}${i + 1}`, domain)),
    );
    selector.observeDemand("h", 900, 0);
    for (const domain of ["a", "b", "c"]) {
        const selected = selector.select("h", domain, vms, capacityOf);
        const requestsPerSecond = 900 / 3 / selected.length;
        for (const it of selected) {
            assert.ok(requestsPerSecond <= capacityOf(it) * settings.requestsPerTenthCore, it.id);
        }
        assert.ok(selected.length < 20);
    }
});

test("callers in a domain without live entry VMs get those of other domains", () => {
    const selector = new EntryVmSelector(settings);
    selector.observeDemand("h", 950, 0);
    const left = fleet.filter(it => it.place.domain !== "a");
    assert.ok(selector.select("h", "a", left, oneCore).length >= 8);
});

test("a suspected entry VM gets no callers", () => {
    const selector = new EntryVmSelector(settings);
    const [first] = selector.select("h", "a", fleet, oneCore);
    const without = fleet.map(it => (it.id === first?.id ? vm(it.id, it.place.domain, "suspect") : it));
    assert.notEqual(selector.select("h", "a", without, oneCore)[0]?.id, first?.id);
});

test("the entry VMs of a service partition its servers by failure domain", () => {
    const entryVms = [vm("a1", "a"), vm("a2", "a"), vm("b1", "b")];
    const servers = ["a", "b", "c"].flatMap(domain =>
        Array.from({ length: 20 }, (_, i) => serverEntry(`${domain}-s${i}`, { domain })),
    );
    const subsets = entryVms.map(({ id }) => serverSubset(id, entryVms, servers) ?? new Set<string>());
    assert.equal(new Set(subsets.flatMap(it => [...it])).size, servers.length);
    assert.equal(
        subsets.reduce((sum, it) => sum + it.size, 0),
        servers.length,
    );
    assert.ok([...(subsets[2] ?? [])].every(id => !id.startsWith("a-")));
    assert.equal(
        serverSubset("b2", entryVms, servers),
        undefined,
        "an entry VM that doesn't serve the service has no subset",
    );
});
