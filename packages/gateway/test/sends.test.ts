import assert from "node:assert/strict";
import { test } from "node:test";
import type { SlotResult } from "@bramleymoor/balance/types";
import fc from "fast-check";
import { Sends } from "../src/sends.js";

const results: readonly SlotResult[] = [
    { kind: "answered", status: 503 },
    { kind: "refused", reason: "full" },
    { kind: "refused", reason: "other-incarnation" },
    { kind: "unreachable" },
    { kind: "lost" },
    { kind: "timeout" },
    { kind: "cancelled" },
];

/** A send, whose results later than the first must not count; without one it is still in progress. */
const sendArbitrary = fc.record({
    isSent: fc.boolean(),
    ends: fc.array(fc.constantFrom(...results), { maxLength: 3 }),
});

// Guards against a promise that a request hasn't run which no send proves (the users' REFUSED).
test("only a refusal, or that nothing was sent, proves of each send that the request hasn't run", () => {
    fc.assert(
        fc.property(fc.array(sendArbitrary), series => {
            const sends = new Sends();
            for (const { isSent, ends } of series) {
                const send = sends.begin("s", () => isSent);
                ends.forEach(it => send.end(it));
            }
            const mayHaveRun = series.some(
                ({ isSent, ends: [first] }) =>
                    isSent && first?.kind !== "refused" && first?.kind !== "unreachable",
            );
            assert.equal(sends.doubt !== undefined, mayHaveRun);
        }),
    );
});

test("a send in progress leaves no doubt before it reaches its receiver, and does from then on", () => {
    const sends = new Sends();
    let isSent = false;
    sends.begin("s", () => isSent);
    assert.equal(sends.doubt, undefined);
    isSent = true;
    assert.deepEqual(sends.doubt, { kind: "lost" });
});

test("the log shows of each send its receiver, its result and what was seen", () => {
    const sends = new Sends();
    sends
        .begin("i-1", () => true)
        .end({ kind: "refused", reason: "full" }, "status 503 that names this request");
    sends.begin("i-2", () => false).end({ kind: "timeout" });
    sends.begin("vm-3", () => true);
    assert.equal(
        sends.describe(),
        "i-1 refused (full): status 503 that names this request; i-2 unreachable; vm-3 in progress",
    );
});
