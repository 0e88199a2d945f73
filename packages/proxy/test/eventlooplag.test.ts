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

test("input that is read after a long turn may have waited since the input of the turn before was read", async () => {
    const lag = new EventLoopLag(50);
    lag.recordRun(50, 100);
    assert.equal(lag.unreadMs(90), 0);
    assert.equal(lag.unreadMs(500), 400, "in the long turn");
    lag.recordRun(500, 550);
    assert.equal(lag.unreadMs(500), 400, "directly after it");
    assert.equal(lag.unreadMs(850), 700, "in a second one");
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(lag.unreadMs(510), 0, "all input of the long turn has been read");
});
