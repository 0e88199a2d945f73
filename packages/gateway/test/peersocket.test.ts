import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { test } from "node:test";
import type { DiscoveryMessage } from "@bramleymoor/discovery/messages";
import { PeerSocket } from "../src/peersocket.js";

const startSocket = async (rejected: string[] = []): Promise<PeerSocket> => {
    const socket = new PeerSocket({
        onGossip: () => Promise.reject(new Error("not used here")),
        onDiscovery: () => undefined,
        onLimits: () => undefined,
        onCrashes: () => undefined,
        onReach: () => undefined,
        onRejected: address => rejected.push(address),
    });
    await socket.listen(0, "127.0.0.1");
    return socket;
};

const addresses = (count: number): readonly string[] =>
    Array.from({ length: count }, (_, i) => `127.0.0.1:${9 + i}`);

test("a large configuration is sent to a single peer, but not to many at once", async t => {
    const socket = await startSocket();
    t.after(() => socket.close());
    const text = randomBytes(15_000).toString("hex");
    const message: DiscoveryMessage = { topic: "configuration", ageMs: 0, to: 1, text };
    const [first = "", ...others] = addresses(11);
    assert.equal(socket.sendDiscovery([first], message), true);
    assert.equal(socket.sendDiscovery([first, ...others], message), false);
    assert.equal(socket.sendDiscovery([first], { ...message, passTo: others }), false);
    assert.equal(socket.sendDiscovery([first, ...others], { topic: "configuration", ageMs: 0, to: 1 }), true);
});

test("a peer address without a valid port is rejected and doesn't end the process", async t => {
    const rejected: string[] = [];
    const socket = await startSocket(rejected);
    t.after(() => socket.close());
    const invalid = ["", "x", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x"];
    socket.sendDiscovery(invalid, { topic: "configuration", ageMs: 0, to: 1 });
    assert.deepEqual(rejected, invalid);
});
