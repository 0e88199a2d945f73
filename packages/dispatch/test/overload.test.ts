import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallError } from "@bramleymoor/protocol/errors";
import { ServiceDispatcher } from "../src/dispatcher.js";
import { SeededRandom } from "../src/random.js";
import type { Slot } from "../src/types.js";
import { makeCall, makeService } from "./fixtures.js";

test("a call that would wait too long is refused at once with a retry time", () => {
    const dispatcher = new ServiceDispatcher(
        makeService(1, 1),
        { index: 0, count: 1 },
        new SeededRandom(1),
        0,
    );
    const open: Slot[] = [];
    const refused: CallError[] = [];
    let now = 0;
    const submit = (): void => {
        dispatcher.submit(makeCall({ deadlineAt: now + 1_000 }), now).subscribe({
            next: slot => open.push(slot),
            error: (err: CallError) => refused.push(err),
        });
    };
    for (; now < 600; now += 5) {
        submit();
        if (now % 20 === 0 && now > 0) {
            dispatcher.settle(open.shift()!, { kind: "answered", status: 200 }, now);
        }
    }
    assert.ok(dispatcher.view(now).queued <= 15);
    assert.ok(refused.length > 0);
    assert.ok(refused.every(err => err.kind === "overloaded" && err.info.ran === "not run"));
    assert.ok(refused.every(err => err.retryAfterMs! >= 100 && err.retryAfterMs! <= 400));
});
