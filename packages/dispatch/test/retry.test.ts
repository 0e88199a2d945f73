import assert from "node:assert/strict";
import { test } from "node:test";
import { divideBudget, RetryBudget } from "../src/retry.js";
import { makeCall, readClass } from "./fixtures.js";

const failed = { kind: "answered", status: 503 } as const;

test("when all attempts fail, a call tree of depth 6 multiplies calls by at most 1.1 to the 6th, beyond the burst", () => {
    const levels = Array.from({ length: 6 }, () => ({ budget: new RetryBudget(0.1), sent: 0 }));
    const visit = (depth: number, retryBudget: number): void => {
        const level = levels[depth];
        if (!level) {
            return;
        }
        const { ownRetries, downstreamBudget } = divideBudget(retryBudget);
        level.budget.recordCall();
        for (let left = ownRetries; ; left--) {
            level.sent++;
            visit(depth + 1, left === ownRetries ? downstreamBudget : 0);
            if (!level.budget.tryTake(makeCall({ retryBudget: left }), failed, 0)) {
                return;
            }
        }
    };
    const calls = 10_000;
    for (let call = 0; call < calls; call++) {
        visit(0, 3);
    }
    levels.forEach(({ sent }, depth) =>
        assert.ok(sent <= calls * 1.1 ** (depth + 1) + 10 * (depth + 1) * 1.8),
    );
    assert.ok(levels.at(-1)!.sent < 1.78 * calls);
});

test("all retries of a call chain together stay within the call's budget", () => {
    for (let budget = 0; budget <= 8; budget++) {
        let retries = 0;
        const visit = (depth: number, left: number): void => {
            const { ownRetries, downstreamBudget } = divideBudget(left);
            if (depth < 6) {
                visit(depth + 1, downstreamBudget);
                for (let again = 0; again < ownRetries; again++) {
                    retries++;
                    visit(depth + 1, 0);
                }
            }
        };
        visit(0, budget);
        assert.ok(retries <= budget, `${retries} retries of ${budget}`);
    }
});

test("a non-idempotent call is retried only if it has not run", () => {
    const budget = new RetryBudget(0.1);
    const call = makeCall({ class: { ...readClass, idempotent: false } });
    assert.equal(budget.tryTake(call, failed, 0), false);
    assert.equal(budget.tryTake(call, { kind: "lost" }, 0), false);
    assert.equal(budget.tryTake(call, { kind: "refused", draining: true }, 0), true);
    assert.equal(budget.tryTake(call, { kind: "connect-failed" }, 0), true);
});

test("a call is not retried after its deadline, without budget, or after cancellation", () => {
    const budget = new RetryBudget(0.1);
    assert.equal(budget.tryTake(makeCall({ deadlineAt: 5 }), failed, 5), false);
    assert.equal(budget.tryTake(makeCall({ retryBudget: 0 }), failed, 0), false);
    assert.equal(budget.tryTake(makeCall(), { kind: "cancelled" }, 0), false);
});
