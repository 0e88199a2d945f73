import assert from "node:assert/strict";
import { test } from "node:test";
import { HastyCallers, runShortTurns } from "@bramleymoor/testkit/hastycallers";
import { EventLoopLag } from "../src/eventlooplag.js";
import { setUp } from "./setup.js";

test("a call whose caller disconnects before its connection is accepted reaches no server", async t => {
    const lag = new EventLoopLag(performance.now() + lagPeriodMs);
    const { proxy, backends } = await setUp(t, [{}], { lagMs: () => lag.lagMs(performance.now()) });
    const timer = setInterval(
        () => lag.recordRun(performance.now(), performance.now() + lagPeriodMs),
        lagPeriodMs,
    );
    t.after(() => clearInterval(timer));
    const heads = Array.from(
        { length: 60 },
        (_, i) => `GET /v1/call/desk/x HTTP/1.1\r\nHost: x\r\nbm-request-id: gone-${i}\r\n\r\n`,
    );
    const callers = new HastyCallers(proxy.port, heads);
    callers.leaveUnnoticed(300);
    await runShortTurns(8, () => proxy.records.length >= heads.length);
    await callers.terminate();
    assert.deepEqual(backends[0]?.counts.runs, {});
    assert.equal(proxy.records.length, heads.length);
});

const lagPeriodMs = 10;
