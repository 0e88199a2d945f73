import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { ExecutionState } from "../src/errors.js";
import { ExecutionTracker } from "../src/execution.js";

const resultArbitrary = fc.constantFrom<ExecutionState>("not run", "outcome unknown", "ran");

/** A step begins a send, or settles one that is open. */
const stepsArbitrary = fc.array(fc.option(resultArbitrary, { nil: "start" as const }), { maxLength: 20 });

test("no result of another send takes back that a request may have run, or that it ran", () => {
    fc.assert(
        fc.property(stepsArbitrary, steps => {
            const tracker = new ExecutionTracker();
            const results: ExecutionState[] = [];
            let open = 0;
            for (const step of steps) {
                if (step === "start") {
                    open++;
                    tracker.start();
                } else if (open === 0) {
                    assert.throws(() => tracker.settle(step));
                } else {
                    open--;
                    results.push(step);
                    tracker.settle(step);
                }
                const mayHaveRun = open > 0 || results.includes("outcome unknown");
                const expected = mayHaveRun ? "outcome unknown" : "not run";
                assert.equal(tracker.state, results.includes("ran") ? "ran" : expected);
                assert.equal(tracker.mayHaveRun, tracker.state !== "not run");
            }
        }),
    );
});
