import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import { SlotMessages } from "../src/slotmessages.js";

const hint = (demand: number): PeerMessage => ({ version: 1, kind: "hint", from: 0, demand });

test("an idle dispatcher tells its demand once a second, a busy one always", () => {
    const messages = new SlotMessages();
    const told = [0, 100, 500, 999, 1_000, 1_500, 2_000].filter(now =>
        messages.worth("desk", 1, hint(0), now),
    );
    assert.deepEqual(told, [0, 1_000, 2_000]);
    assert.ok(messages.worth("desk", 1, hint(3), 2_100));
    assert.ok(messages.worth("desk", 1, hint(3), 2_200));
});

test("asks and loans are always sent, and peers are told apart", () => {
    const messages = new SlotMessages();
    assert.ok(messages.worth("desk", 1, hint(0), 0));
    assert.ok(messages.worth("desk", 2, hint(0), 1));
    assert.ok(messages.worth("stops", 1, hint(0), 2));
    assert.ok(messages.worth("desk", 1, { version: 1, kind: "ask", from: 0 }, 3));
});
