import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLoopLag } from "../src/eventlooplag.js";

test("a pause raises the lag immediately, and the lag decays while the process runs on time", () => {
    const lag = new EventLoopLag(0);
    lag.recordRun(50, 50);
    assert.equal(lag.lagMs(50, 60), 0);
    assert.equal(lag.lagMs(50, 3_100), 3_000, "before the first run after the pause");
    lag.recordRun(50, 3_100);
    assert.equal(lag.lagMs(50, 3_100), 3_000);
    for (let now = 3_150; now <= 4_600; now += 50) {
        lag.recordRun(50, now);
    }
    assert.ok(lag.lagMs(50, 4_600) < 50);
});
