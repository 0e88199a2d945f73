import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLoopLag } from "../src/eventlooplag.js";
import { mayHideDisconnect } from "../src/unreadinput.js";

test("a pause raises the lag immediately, and the lag decays while the process runs on time", () => {
    const lag = new EventLoopLag(50);
    lag.recordRun(50, 100);
    assert.equal(lag.lagMs(60), 0);
    assert.equal(lag.lagMs(3_100), 3_000, "before the first run after the pause");
    lag.recordRun(3_100, 3_150);
    assert.equal(lag.lagMs(3_100), 3_000);
    assert.equal(mayHideDisconnect({ lagMs: lag.lagMs(3_100), acceptMs: 0 }), true);
    for (let now = 3_150; now <= 4_600; now += 50) {
        lag.recordRun(now, now + 50);
    }
    assert.ok(lag.lagMs(4_600) < 50);
    assert.equal(mayHideDisconnect({ lagMs: lag.lagMs(4_600), acceptMs: 0 }), false);
});

test("the lag and the wait to be accepted count together", () => {
    assert.equal(mayHideDisconnect({ lagMs: 50, acceptMs: 0 }), false);
    assert.equal(mayHideDisconnect({ lagMs: 0, acceptMs: 51 }), true);
    assert.equal(mayHideDisconnect({ lagMs: 30, acceptMs: 30 }), true);
});
