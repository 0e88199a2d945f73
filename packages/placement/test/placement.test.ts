import type { EntryVm, VmState } from "@bramleymoor/model/vm";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DispatcherScaler, scalerDefaults } from "../src/scaler.js";
import { WeightController, weightDefaults } from "../src/weight.js";
import { orderForCaller, selectEntryVms, shareOf } from "../src/placement.js";

const vm = (index: number, state: VmState = "alive"): EntryVm => ({
    id: `vm-${index}`,
    incarnation: `i${index}`,
    place: { region: "r", domain: `d${index % 3}` },
    callerAddress: `10.0.0.${index}:80`,
    peerAddress: `10.0.0.${index}:81`,
    state,
    load: 0,
});

const vms = (count: number): readonly EntryVm[] => Array.from({ length: count }, (_, index) => vm(index));
const services = Array.from({ length: 300 }, (_, index) => `service-${index}`);
const ids = (placed: readonly EntryVm[]): readonly string[] => placed.map(each => each.id);

test("two dispatchers always lie in two failure domains", () => {
    for (const service of services) {
        const domains = selectEntryVms(service, vms(15), 2).map(each => each.place.domain);
        assert.equal(new Set(domains).size, 2, service);
    }
});

test("one failure domain alone is used rather than nobody", () => {
    const alone = vms(15).filter(each => each.place.domain === "d1");
    assert.equal(selectEntryVms("s", alone, 2).length, 2);
});

test("wanting more appends to the same list", () => {
    for (const service of services) {
        assert.deepEqual(
            selectEntryVms(service, vms(15), 5).slice(0, 3),
            selectEntryVms(service, vms(15), 3),
        );
    }
});

test("an entry VM that is suspect, leaving or dead is out", () => {
    for (const state of ["suspect", "leaving", "dead"] as const) {
        const mixed = [...vms(4), vm(4, state)];
        for (const service of services) {
            assert.ok(!ids(selectEntryVms(service, mixed, 5)).includes("vm-4"));
        }
    }
});

test("an entry VM of half the weight comes first about half as often, and changes nobody else's order", () => {
    const firsts = services.map(service => selectEntryVms(service, vms(4), 1)[0]?.id);
    const weightOf = (each: EntryVm): number => (each.id === "vm-2" ? 0.5 : 1);
    const halved = services.map(service => selectEntryVms(service, vms(4), 1, weightOf)[0]?.id);
    const count = (list: readonly unknown[]): number => list.filter(id => id === "vm-2").length;
    assert.ok(count(halved) < 0.75 * count(firsts) && count(halved) > 0.35 * count(firsts));
    firsts.forEach((id, index) => assert.ok(id === "vm-2" || id === halved[index]));
});

test("a member that goes moves no service that it did not dispatch", () => {
    const gone = vms(15).filter(each => each.id !== "vm-7");
    for (const service of services) {
        const before = ids(selectEntryVms(service, vms(15), 3));
        const after = ids(selectEntryVms(service, gone, 3));
        if (!before.includes("vm-7")) {
            assert.deepEqual(after, before, service);
        } else {
            assert.ok(before.filter(id => after.includes(id)).length >= 1, service);
        }
    }
});

test("callers spread evenly over the dispatchers", () => {
    const placed = selectEntryVms("s", vms(15), 3);
    const firsts = new Map<string, number>();
    for (let caller = 0; caller < 3000; caller++) {
        const first = orderForCaller(`caller-${caller}`, placed)[0]?.id ?? "";
        firsts.set(first, (firsts.get(first) ?? 0) + 1);
    }
    assert.equal(firsts.size, 3);
    for (const count of firsts.values()) {
        assert.ok(count > 850 && count < 1150, `${count}`);
    }
});

test("shares of the dispatchers are distinct, and others have none", () => {
    const placed = selectEntryVms("s", vms(15), 3);
    assert.deepEqual(
        placed.map(each => shareOf(each, placed)),
        [0, 1, 2].map(index => ({ index, count: 3 })),
    );
    const outside = vms(15).find(each => !ids(placed).includes(each.id));
    assert.equal(outside && shareOf(outside, placed), undefined);
});

test("demand grows at once and shrinks one by one after a while", () => {
    const demand = new DispatcherScaler(scalerDefaults);
    assert.equal(demand.dispatchersFor("s"), 2);
    assert.equal(demand.observe("s", 7000, 0), 5);
    assert.equal(demand.observe("s", 1000, 1), 5);
    assert.equal(demand.observe("s", 1000, 30_000), 5);
    assert.equal(demand.observe("s", 1000, 30_001), 4);
    assert.equal(demand.observe("s", 1000, 30_002), 4);
    assert.equal(demand.observe("s", 1000, 60_001), 3);
});

test("demand around a mark does not move the number of dispatchers", () => {
    const demand = new DispatcherScaler(scalerDefaults);
    demand.observe("s", 4600, 0);
    for (let now = 0; now < 600_000; now += 1000) {
        assert.equal(demand.observe("s", now % 2000 === 0 ? 4400 : 4600, now), 4);
    }
});

test("a weight stays at 1 while the load is far from the limit, however uneven", () => {
    const control = new WeightController("vm-1", { ...weightDefaults, maxCallsPerSecond: 1000 });
    for (let now = 0; now < 600_000; now += 1000) {
        assert.equal(control.update(250, 50, now), 1);
    }
});

test("a weight falls in small steps when the load is high and above the mean, fast at the limit", () => {
    const uneven = new WeightController("vm-1", { ...weightDefaults, maxCallsPerSecond: 1000 });
    const full = new WeightController("vm-1", { ...weightDefaults, maxCallsPerSecond: 1000 });
    let before = 1;
    for (let now = 0; now < 120_000; now += 1000) {
        const weight = uneven.update(700, 400, now);
        assert.ok(weight <= before && weight > 0.8 * before);
        before = weight;
        full.update(990, 800, now);
    }
    assert.ok(before < 0.8);
    assert.ok(full.weight < 0.5 * before);
});

test("a weight grows again when the load is below the mean, within bounds", () => {
    const control = new WeightController("vm-1", { ...weightDefaults, maxCallsPerSecond: 1000 });
    for (let now = 0; now < 120_000; now += 1000) {
        control.update(990, 800, now);
    }
    const least = control.weight;
    for (let now = 120_000; now < 7_200_000; now += 1000) {
        control.update(100, 500, now);
    }
    assert.ok(least >= weightDefaults.minWeight && least < 0.2);
    assert.equal(control.weight, weightDefaults.maxWeight);
});
