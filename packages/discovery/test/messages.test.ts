import assert from "node:assert/strict";
import { test } from "node:test";
import { serverEntry } from "@bramleymoor/testkit/builders";
import { discoveryMessageSchema } from "../src/messages.js";

const serversMessage = (changes: readonly unknown[], ageMs = 5): unknown => ({
    topic: "servers",
    ageMs,
    news: { era: 0, from: 3, to: 3 + changes.length, changes },
});

test("an entry of a peer that names no address to connect to is none, and the others hold", () => {
    const odd = [
        { address: "127.0.0.1:99999" },
        { address: "nowhere" },
        { slots: 0.5 },
        { id: "a\r\nb" },
        { warmUpMs: -1 },
    ];
    const good = serverEntry("s1", { address: "127.0.0.1:80" });
    const changes = [...odd.map(it => ({ ...good, ...it })), good].map((entry, i) => ({
        offset: 3 + i,
        id: `i-${i}`,
        entry,
    }));
    const message = discoveryMessageSchema.parse(serversMessage(changes));
    assert.ok(message.topic === "servers");
    assert.deepEqual(
        message.news.changes.map(it => it.entry),
        [...odd.map(() => undefined), good],
    );
});

test("a message from the future is rejected", () => {
    assert.ok(discoveryMessageSchema.safeParse(serversMessage([])).success);
    assert.ok(!discoveryMessageSchema.safeParse(serversMessage([], -1)).success);
});
