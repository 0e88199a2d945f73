import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ProbeBudget } from "../src/probebudget.js";

const perServerPerSecond = 42;
const updateMs = 500;
const stepMs = 10;

/** An entry VM that sends every probe that its budget allows. */
interface Vm {
    readonly budget: ProbeBudget;
    /** Requests per second. */
    readonly rate: number;
    due: number;
    /** Whether it sees only the entry VMs of its own side. */
    readonly side: number;
}

interface FleetOptions {
    readonly rates: readonly number[];
    readonly servers: number;
    readonly durationMs: number;
    /** From here on entry VMs with odd and even positions don't see each other. */
    readonly cutAt?: number;
}

/** Returns the probes per server and second after the first second. */
const probeRate = ({ rates, servers, durationMs, cutAt = Infinity }: FleetOptions): number => {
    const vms: Vm[] = rates.map((rate, i) => ({
        budget: new ProbeBudget(perServerPerSecond, 0),
        rate,
        due: 0,
        side: i % 2,
    }));
    let sent = 0;
    for (let now = 0; now < durationMs; now += stepMs) {
        for (const vm of vms) {
            if (now > 0 && now % updateMs === 0) {
                const seen = vms.filter(it => now < cutAt || it.side === vm.side);
                const requestsPerSecond = seen.reduce((sum, it) => sum + it.rate, 0);
                const known = { requestsPerSecond, knownEntryVms: seen.length };
                const fleet = { ownRequestsPerSecond: vm.rate, ...known, entryVms: vms.length };
                vm.budget.update(fleet, servers, now);
            }
            for (vm.due += (vm.rate * stepMs) / 1_000; vm.due >= 1; vm.due--) {
                vm.budget.recordRequest(now);
            }
            while (vm.budget.tryTake(now)) {
                sent += now >= 1_000 ? 1 : 0;
            }
        }
    }
    return sent / servers / ((durationMs - 1_000) / 1_000);
};

test("entry VMs that all send as many probes as they may stay within the servers' limit", () => {
    fc.assert(
        fc.property(
            fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 40 }),
            fc.integer({ min: 1, max: 60 }),
            (rates, servers) => {
                const rate = probeRate({ rates, servers, durationMs: 6_000 });
                assert.ok(rate <= perServerPerSecond, `${rate} probes a server and second`);
            },
        ),
        { numRuns: 60, seed: 26 },
    );
});

test("entry VMs that are cut off from each other don't send each other's probes too", () => {
    const rates = Array.from({ length: 20 }, () => 100);
    const rate = probeRate({ rates, servers: 10, durationMs: 60_000, cutAt: 5_000 });
    assert.ok(rate <= perServerPerSecond, `${rate} probes a server and second`);
});

test("a request gets as many probes as the servers' limit leaves room for", () => {
    const budget = new ProbeBudget(perServerPerSecond, 0);
    budget.update({ ownRequestsPerSecond: 0, requestsPerSecond: 100, knownEntryVms: 5, entryVms: 5 }, 20, 0);
    assert.ok(Math.abs(budget.perRequest - 4.725) < 1e-9);
});

test("requests that arrive all at once after a quiet time get their probes", () => {
    const budget = new ProbeBudget(perServerPerSecond, 0);
    budget.update({ ownRequestsPerSecond: 0, requestsPerSecond: 0, knownEntryVms: 5, entryVms: 5 }, 20, 0);
    for (let i = 0; i < 100; i++) {
        budget.recordRequest(60_000);
    }
    for (let i = 0; i < 300; i++) {
        assert.ok(budget.tryTake(60_000));
    }
});

test("an entry VM that has met no other one sends probes for its requests only while it starts", () => {
    const budget = new ProbeBudget(40, 0);
    const fleet = {
        ownRequestsPerSecond: 0,
        requestsPerSecond: 5,
        knownEntryVms: 1,
        entryVms: Infinity,
    };
    budget.update(fleet, 10, 500);
    assert.equal(budget.tryTake(500), false);
    budget.recordRequest(500);
    assert.equal(budget.tryTake(500), true);
    budget.update(fleet, 10, 60_000);
    while (budget.tryTake(60_000)) {
        // Uses what is left.
    }
    budget.recordRequest(60_000);
    assert.equal(budget.tryTake(60_000), false);
});

test("an entry VM whose demand the others don't know gets an equal share only", () => {
    const budget = new ProbeBudget(40, 0);
    budget.update(
        { ownRequestsPerSecond: 0, requestsPerSecond: undefined, knownEntryVms: 4, entryVms: 4 },
        10,
        0,
    );
    budget.recordRequest(0);
    assert.equal(budget.tryTake(0), false);
    let taken = 0;
    for (let now = 0; now < 10_000; now += 10) {
        taken += budget.tryTake(now) ? 1 : 0;
    }
    assert.ok(taken > 0 && taken <= (40 * 10 * 10) / 4, `${taken} probes`);
});
