import assert from "node:assert/strict";
import { test } from "node:test";
import { TurnBudget } from "../src/turnbudget.js";

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** A budget with a clock of its own. */
class TestBudget {
    now = 1_000;
    isCrowded = false;
    /** Numbers of the requests that have begun, in order. */
    readonly begun: number[] = [];
    readonly #budget = new TurnBudget({ isCrowded: () => this.isCrowded, clock: () => this.now });

    take(count: number): void {
        for (let i = 0; i < count; i++) {
            const turn = this.#budget.take();
            if (turn) {
                void turn.then(() => this.begun.push(i));
            } else {
                this.begun.push(i);
            }
        }
    }
}

test("requests that are read together begin a few per turn, in their order", async () => {
    const it = new TestBudget();
    it.take(7);
    assert.deepEqual(it.begun, [0, 1]);
    let turns = 0;
    for (; it.begun.length < 7; turns++) {
        await nextTurn();
    }
    assert.deepEqual(it.begun, [0, 1, 2, 3, 4, 5, 6]);
    assert.ok(turns >= 3, "at most two in each turn");
});

test("requests that arrive apart begin at once", () => {
    const it = new TestBudget();
    for (let i = 0; i < 20; i++) {
        it.take(2);
        it.now += 5;
    }
    assert.equal(it.begun.length, 40);
});

test("while connections wait to be accepted, requests begin less often", async () => {
    const it = new TestBudget();
    it.isCrowded = true;
    it.take(8);
    const startedAt = it.now;
    while (it.begun.length < 6) {
        await nextTurn();
        it.now += 0.5;
    }
    assert.ok(it.now - startedAt >= 8, `${it.now - startedAt} ms`);
    it.isCrowded = false;
    await nextTurn();
    await nextTurn();
    assert.equal(it.begun.length, 8);
});
