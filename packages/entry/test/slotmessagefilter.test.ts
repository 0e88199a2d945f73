import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import { SlotMessageFilter } from "../src/slotmessagefilter.js";

const hint = (demand: number): PeerMessage => ({ version: 1, kind: "hint", from: 0, demand });

test("an idle dispatcher tells its demand every 5 s, a busy one always", () => {
    const messages = new SlotMessageFilter();
    const times = [0, 100, 500, 4_999, 5_000, 7_500, 10_000];
    const told = times.filter(now => messages.shouldSend("desk", 1, hint(0), now));
    assert.deepEqual(told, [0, 5_000, 10_000]);
    assert.ok(messages.shouldSend("desk", 1, hint(3), 10_100));
    assert.ok(messages.shouldSend("desk", 1, hint(3), 10_200));
});

test("an idle dispatcher that is asked for slots tells its demand at once, to the one who asked", () => {
    const messages = new SlotMessageFilter();
    const loan: PeerMessage = { version: 1, kind: "loan", from: 0, servers: [], termMs: 50 };
    assert.ok(messages.shouldSend("desk", 1, hint(0), 0));
    assert.ok(messages.shouldSend("desk", 2, hint(0), 0));
    assert.ok(messages.shouldSend("desk", 1, loan, 100));
    assert.ok(messages.shouldSend("desk", 1, hint(0), 200));
    assert.ok(!messages.shouldSend("desk", 2, hint(0), 200));
    assert.ok(!messages.shouldSend("desk", 1, hint(0), 300));
});

test("asks and loans are always sent, and peers are told apart", () => {
    const messages = new SlotMessageFilter();
    assert.ok(messages.shouldSend("desk", 1, hint(0), 0));
    assert.ok(messages.shouldSend("desk", 2, hint(0), 1));
    assert.ok(messages.shouldSend("stops", 1, hint(0), 2));
    assert.ok(messages.shouldSend("desk", 1, { version: 1, kind: "ask", from: 0 }, 3));
});
