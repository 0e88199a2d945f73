import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "@bramleymoor/balance/budget";
import type { EntryVm, VmState } from "@bramleymoor/model/vm";
import { EventLog } from "@bramleymoor/observe/event-log";
import { MemberTracker } from "../src/membertracker.js";

const vm = (id: string, state: VmState = "alive"): EntryVm => ({
    id,
    incarnation: id,
    place: { region: "r", domain: "a" },
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    state,
    load: 0,
});

const events = new EventLog({
    source: "test",
    format: "json",
    level: "error",
    write: () => undefined,
    clock: () => 0,
});

const all = Array.from({ length: 19 }, (_, i) => vm(`vm${i}`));

const watchOf = (id: string): MemberTracker => new MemberTracker(id, true, events);

test("one that has met nobody yet is no first reader, and has no part of what is divided", () => {
    const watch = watchOf("vm0");
    watch.update([vm("vm0")]);
    assert.equal(watch.readerRank, 1);
    assert.equal(watch.budgetDivisor, Infinity);
});

test("exactly one of those that know each other reads first", () => {
    const ranks = all.map(({ id }) => {
        const watch = watchOf(id);
        watch.update(all);
        return watch.readerRank;
    });
    assert.deepEqual(
        [...ranks].sort((a, b) => a - b),
        all.map((_, i) => i),
    );
});

test("all repeats together stay within the bound through a partition and a start of all", () => {
    const bound = { ratio: 0.2, slack: 40, windowMs: 10_000 };
    const watches = all.map(({ id }) => watchOf(id));
    const budgets = all.map(() => new RetryBudget(bound));
    const requests = 1_900;
    let repeats = 0;
    const round = (now: number): void => {
        budgets.forEach((budget, i) => {
            for (let n = 0; n < requests / all.length / 2; n++) {
                budget.recordRequest(now);
            }
            const sharers = watches[i]?.budgetDivisor ?? 1;
            for (let n = 0; n < 100; n++) {
                repeats += budget.tryTake(now, sharers) ? 1 : 0;
            }
        });
    };
    watches.forEach((watch, i) => watch.update([all[i] ?? vm("?")]));
    round(0);
    watches.forEach(watch => watch.update(all));
    watches.forEach((watch, i) => watch.update(i < 2 ? all.slice(0, 2) : all.slice(2)));
    round(500);
    assert.ok(repeats <= bound.ratio * requests + bound.slack, `${repeats} repeats of ${requests} requests`);
});
