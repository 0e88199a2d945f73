import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import { SlotMessageFilter } from "../src/slotmessagefilter.js";

const hint = (demand: number): PeerMessage => ({ version: 1, kind: "hint", from: 0, demand });

test("an idle dispatcher sends its demand every 5 s, a busy one every time", () => {
    const filter = new SlotMessageFilter();
    const times = [0, 100, 500, 4_999, 5_000, 7_500, 10_000];
    const sentAt = times.filter(now => filter.shouldSend("desk", 1, hint(0), now));
    assert.deepEqual(sentAt, [0, 5_000, 10_000]);
    assert.ok(filter.shouldSend("desk", 1, hint(3), 10_100));
    assert.ok(filter.shouldSend("desk", 1, hint(3), 10_200));
});

test("an idle dispatcher that is asked for slots sends its demand at once, only to the dispatcher that asked", () => {
    const filter = new SlotMessageFilter();
    const loan: PeerMessage = { version: 1, kind: "loan", from: 0, servers: [], termMs: 50 };
    assert.ok(filter.shouldSend("desk", 1, hint(0), 0));
    assert.ok(filter.shouldSend("desk", 2, hint(0), 0));
    assert.ok(filter.shouldSend("desk", 1, loan, 100));
    assert.ok(filter.shouldSend("desk", 1, hint(0), 200));
    assert.ok(!filter.shouldSend("desk", 2, hint(0), 200));
    assert.ok(!filter.shouldSend("desk", 1, hint(0), 300));
});

test("slot requests and loans are always sent, and dispatchers and services are distinguished", () => {
    const filter = new SlotMessageFilter();
    assert.ok(filter.shouldSend("desk", 1, hint(0), 0));
    assert.ok(filter.shouldSend("desk", 2, hint(0), 1));
    assert.ok(filter.shouldSend("stops", 1, hint(0), 2));
    assert.ok(filter.shouldSend("desk", 1, { version: 1, kind: "ask", from: 0 }, 3));
});

test("a removed service is forgotten, so that its first hint after its return is sent", () => {
    const filter = new SlotMessageFilter();
    assert.ok(filter.shouldSend("desk", 1, hint(0), 0));
    assert.ok(filter.shouldSend("stops", 1, hint(0), 0));
    filter.retainServices(new Map([["stops", {}]]));
    assert.ok(filter.shouldSend("desk", 1, hint(0), 100));
    assert.ok(!filter.shouldSend("stops", 1, hint(0), 100));
});
