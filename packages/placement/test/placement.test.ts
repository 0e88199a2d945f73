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
const ids = (selected: readonly EntryVm[]): readonly string[] => selected.map(each => each.id);

test("two dispatchers are always in two failure domains", () => {
    for (const service of services) {
        const domains = selectEntryVms(service, vms(15), 2).map(each => each.place.domain);
        assert.equal(new Set(domains).size, 2, service);
    }
});

test("two dispatchers are selected even if there is only one failure domain", () => {
    const alone = vms(15).filter(each => each.place.domain === "d1");
    assert.equal(selectEntryVms("s", alone, 2).length, 2);
});

test("a larger count only appends to the list", () => {
    for (const service of services) {
        assert.deepEqual(
            selectEntryVms(service, vms(15), 5).slice(0, 3),
            selectEntryVms(service, vms(15), 3),
        );
    }
});

test("suspect, leaving and dead entry VMs are never selected", () => {
    for (const state of ["suspect", "leaving", "dead"] as const) {
        const mixed = [...vms(4), vm(4, state)];
        for (const service of services) {
            assert.ok(!ids(selectEntryVms(service, mixed, 5)).includes("vm-4"));
        }
    }
});

test("an entry VM with half the weight is first about half as often, and the order of the others stays", () => {
    const firsts = services.map(service => selectEntryVms(service, vms(4), 1)[0]?.id);
    const weightOf = (each: EntryVm): number => (each.id === "vm-2" ? 0.5 : 1);
    const halved = services.map(service => selectEntryVms(service, vms(4), 1, weightOf)[0]?.id);
    const count = (list: readonly unknown[]): number => list.filter(id => id === "vm-2").length;
    assert.ok(count(halved) < 0.75 * count(firsts) && count(halved) > 0.35 * count(firsts));
    firsts.forEach((id, index) => assert.ok(id === "vm-2" || id === halved[index]));
});

test("removing a member changes no service that it did not dispatch", () => {
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

test("callers are distributed evenly over the dispatchers", () => {
    const selected = selectEntryVms("s", vms(15), 3);
    const firsts = new Map<string, number>();
    for (let caller = 0; caller < 3000; caller++) {
        const first = orderForCaller(`caller-${caller}`, selected)[0]?.id ?? "";
        firsts.set(first, (firsts.get(first) ?? 0) + 1);
    }
    assert.equal(firsts.size, 3);
    for (const count of firsts.values()) {
        assert.ok(count > 850 && count < 1150, `${count}`);
    }
});

test("dispatchers have distinct shares and other entry VMs have none", () => {
    const selected = selectEntryVms("s", vms(15), 3);
    assert.deepEqual(
        selected.map(each => shareOf(each, selected)),
        [0, 1, 2].map(index => ({ index, count: 3 })),
    );
    const outside = vms(15).find(each => !ids(selected).includes(each.id));
    assert.equal(outside && shareOf(outside, selected), undefined);
});

test("the number of dispatchers grows at once and shrinks by one after each delay", () => {
    const scaler = new DispatcherScaler(scalerDefaults);
    assert.equal(scaler.dispatchersFor("s"), 2);
    assert.equal(scaler.observe("s", 7000, 0), 5);
    assert.equal(scaler.observe("s", 1000, 1), 5);
    assert.equal(scaler.observe("s", 1000, 30_000), 5);
    assert.equal(scaler.observe("s", 1000, 30_001), 4);
    assert.equal(scaler.observe("s", 1000, 30_002), 4);
    assert.equal(scaler.observe("s", 1000, 60_001), 3);
});

test("a call rate around a threshold does not change the number of dispatchers", () => {
    const scaler = new DispatcherScaler(scalerDefaults);
    scaler.observe("s", 4600, 0);
    for (let now = 0; now < 600_000; now += 1000) {
        assert.equal(scaler.observe("s", now % 2000 === 0 ? 4400 : 4600, now), 4);
    }
});

test("the weight stays at 1 while the load is far below the maximum, however uneven", () => {
    const control = new WeightController("vm-1", { ...weightDefaults, maxCallsPerSecond: 1000 });
    for (let now = 0; now < 600_000; now += 1000) {
        assert.equal(control.update(250, 50, now), 1);
    }
});

test("the weight falls in small steps when the load is high and above the mean, and fast near the maximum", () => {
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

test("the weight grows again when the load is below the mean, and stays within its limits", () => {
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
