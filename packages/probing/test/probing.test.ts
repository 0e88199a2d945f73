import type { BackendServer, Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeBudget, budgetMsOf, probeDefaults, quotaOf } from "../src/budget.js";
import { ReportFilter } from "../src/filter.js";
import { Prober, type ServerLoadView, type ServiceLoadView } from "../src/prober.js";

const server = (index: number, slots: number): BackendServer => ({
    address: `10.1.0.${index}:80`,
    host: `10.1.0.${index}`,
    port: 80,
    domain: "d",
    slots,
    connections: 200,
    leaving: false,
});

const service = (servers: number, slots: number, probeBudget: number): Service => ({
    name: "stops",
    dependsOn: [],
    servers: Array.from({ length: servers }, (_, index) => server(index, slots)),
    classes: [],
    chooser: "late-binding",
    queueLimit: 100,
    probeBudget,
    retryBudget: 0,
    hedgeBudget: 0,
    ejectShare: 0.3,
});

const settings = (ordinal: number) => ({ ...probeDefaults, ordinal });

test("the quotas of all ordinals together cost no more than the budget", () => {
    for (const share of [0, 0.0001, 0.001, 0.005, 0.02, 0.3]) {
        const stops = service(14, 2, share);
        const quotas = Array.from({ length: 40 }, (_, ordinal) => quotaOf(settings(ordinal), stops));
        const cost = quotas.reduce((sum, quota) => sum + quota, 0) * 2 * probeDefaults.probeCostMs;
        assert.ok(cost <= budgetMsOf(stops), `${share}`);
        assert.ok(cost > budgetMsOf(stops) - 2 * probeDefaults.probeCostMs, `${share}`);
    }
});

test("a smaller budget gives no ordinal a larger quota", () => {
    for (let slots = 1; slots < 60; slots++) {
        for (let ordinal = 0; ordinal < 32; ordinal++) {
            const less = quotaOf(settings(ordinal), service(14, slots, 0.02));
            const more = quotaOf(settings(ordinal), service(14, slots + 1, 0.02));
            assert.ok(less <= more);
        }
    }
});

const acquiredDuring = (budget: ProbeBudget, from: number, to: number): readonly number[] => {
    const acquired: number[] = [];
    for (let now = from; now < to; now += 10) {
        if (budget.tryAcquire(now)) {
            acquired.push(now);
        }
    }
    return acquired;
};

test("a new process waits for a full window before its first probe, and spaces probes evenly", () => {
    const budget = new ProbeBudget(settings(0), service(14, 20, 0.3), 1000);
    const acquired = acquiredDuring(budget, 1000, 6000);
    assert.ok(acquired.length > 0);
    assert.ok((acquired[0] ?? 0) >= 2250);
    const gaps = acquired.slice(1).map((at, index) => at - (acquired[index] ?? 0));
    assert.ok(gaps.every(gap => gap >= 1250 / budget.quota));
});

test("a paused process waits for a full window, and stops probing after a long pause", () => {
    const budget = new ProbeBudget(settings(0), service(14, 20, 0.3), 0);
    assert.ok(acquiredDuring(budget, 0, 3000).length > 0);
    assert.ok((acquiredDuring(budget, 4000, 7000)[0] ?? 0) >= 5250);
    assert.equal(acquiredDuring(budget, 20_000, 40_000).length, 0);
    assert.match(budget.explain(40_000), /paused/);
});

test("a budget too small for one probe allows none, and explain says so", () => {
    const budget = new ProbeBudget(settings(0), service(1, 2, 0.001), 0);
    assert.equal(acquiredDuring(budget, 0, 10_000).length, 0);
    assert.match(budget.explain(10_000), /too small/);
});

test("invalid settings throw a RangeError", () => {
    assert.throws(() => new ProbeBudget(settings(-1), service(1, 2, 0.1), 0), RangeError);
    assert.throws(
        () => new ProbeBudget({ ...settings(0), ordinalCount: 0 }, service(1, 2, 0.1), 0),
        RangeError,
    );
});

const viewOf = (states: readonly ServerLoadView["state"][], inFlight = 1): ServiceLoadView => ({
    queued: 0,
    inFlight,
    servers: states.map((state, index) => ({
        address: server(index, 2).address,
        inFlight: 0,
        limit: 2,
        state,
    })),
});

const probedDuring = (prober: Prober, view: ServiceLoadView, from: number, to: number): readonly string[] => {
    const probed: string[] = [];
    for (let now = from; now < to; now += 10) {
        const address = prober.nextServer(view, now);
        if (address !== undefined) {
            probed.push(address);
        }
    }
    return probed;
};

test("servers that are draining, full, lent or at their limit are never probed", () => {
    const prober = new Prober(settings(0), service(5, 60, 0.3), 0);
    const view = viewOf(["serving", "draining", "full", "lent", "cold"]);
    const full = {
        ...view,
        servers: view.servers.map((each, i) => (i === 4 ? { ...each, inFlight: 2 } : each)),
    };
    assert.deepEqual(new Set(probedDuring(prober, view, 0, 20_000)), new Set(["10.1.0.0:80", "10.1.0.4:80"]));
    assert.deepEqual(probedDuring(prober, full, 20_000, 40_000), []);
});

test("an idle service or one with fresh reports is not probed", () => {
    const prober = new Prober(settings(0), service(5, 60, 0.3), 0);
    assert.deepEqual(probedDuring(prober, viewOf(["serving", "serving"], 0), 0, 5000), []);
    for (let now = 5000; now < 10_000; now += 10) {
        prober.recordReport("10.1.0.0:80", now);
        prober.recordReport("10.1.0.1:80", now);
        assert.equal(prober.nextServer(viewOf(["serving", "serving"]), now), undefined);
    }
});

test("the cost is recorded as server time, time of this process and bytes", () => {
    const prober = new Prober(settings(0), service(5, 60, 0.3), 0);
    const count = probedDuring(prober, viewOf(["serving", "serving"]), 0, 5000).length;
    prober.recordResult(true, 0.2, 300);
    prober.recordResult(false, 0.1, 100);
    assert.ok(count > 0);
    assert.equal(prober.cost.serverMs, count * probeDefaults.probeCostMs);
    assert.equal(prober.cost.bytes, 400);
    assert.equal(prober.cost.failed, 1);
});

const report = (inFlight: number, latencyMs = 10): LoadReport => ({ inFlight, latencyMs, draining: false });

test("a report is clamped to between the local requests and all but one slot", () => {
    const filter = new ReportFilter();
    assert.equal(filter.accept("a", report(0), 0, { inFlight: 3, limit: 6 }, 0)?.inFlight, 3);
    assert.equal(filter.accept("a", report(999_999), 0, { inFlight: 0, limit: 6 }, 1)?.inFlight, 5);
    assert.equal(filter.accept("a", report(4), 0, { inFlight: 0, limit: 6 }, 2)?.inFlight, 4);
});

test("reports that are from the future, too old or out of order are dropped", () => {
    const filter = new ReportFilter();
    const local = { inFlight: 0, limit: 6 };
    assert.equal(filter.accept("a", report(1), -1, local, 100), undefined);
    assert.equal(filter.accept("a", report(1), NaN, local, 100), undefined);
    assert.equal(filter.accept("a", report(1), 5000, local, 6000), undefined);
    assert.ok(filter.accept("a", report(1), 0, local, 6000));
    assert.equal(filter.accept("a", report(2), 500, local, 6001), undefined);
    assert.deepEqual(
        [...filter.dropped],
        [
            ["future", 2],
            ["old", 1],
            ["reordered", 1],
        ],
    );
});

test("unchanged reports are dropped while the local load changes, and accepted again once they change", () => {
    const filter = new ReportFilter();
    const accepted = Array.from({ length: 20 }, (_, index) => {
        return filter.accept("a", report(2), 0, { inFlight: index % 2, limit: 6 }, index);
    });
    assert.ok(accepted[5]);
    assert.equal(accepted[19], undefined);
    assert.ok(filter.accept("a", report(3), 0, { inFlight: 1, limit: 6 }, 21));
});

test("a report that falls as the local load rises is dropped, an accurate one is not", () => {
    const filter = new ReportFilter();
    let last: LoadReport | undefined;
    let accurate: LoadReport | undefined;
    for (let index = 0; index < 60; index++) {
        const inFlight = (index * 7) % 6;
        last = filter.accept("a", report(6 - inFlight), 0, { inFlight, limit: 6 }, index);
        accurate = filter.accept("b", report(inFlight + (index % 2)), 0, { inFlight, limit: 6 }, index);
    }
    assert.equal(last, undefined);
    assert.ok(accurate);
});
