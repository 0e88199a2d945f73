import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotChannel } from "../src/slotchannel.js";
import { sharedKey } from "./setup.js";

const createChannel = (onRejected: (address: string) => void = () => undefined): SlotChannel =>
    new SlotChannel(sharedKey, () => undefined, onRejected);

test("listening on a port that another socket uses rejects", { timeout: 10_000 }, async t => {
    const [first, second] = [createChannel(), createChannel()];
    t.after(() => [first, second].forEach(channel => channel.close()));
    const port = await first.listen(0, "127.0.0.1");
    await assert.rejects(second.listen(port, "127.0.0.1"), {
        code: "EADDRINUSE",
        address: "127.0.0.1",
        port,
    });
});

test("a message to a malformed peer address is dropped and reported", async t => {
    const rejected: string[] = [];
    const channel = createChannel(address => rejected.push(address));
    t.after(() => channel.close());
    await channel.listen(0, "127.0.0.1");
    const invalid = ["", "x", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x"];
    for (const address of invalid) {
        channel.send(address, {
            id: "entry-1",
            service: "desk",
            message: { version: 1, kind: "ask", from: 0 },
        });
    }
    assert.deepEqual(rejected, invalid);
});
