import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotChannel } from "../src/slotchannel.js";
import { sharedKey } from "./setup.js";

test("listening on a port that another socket uses rejects", { timeout: 10_000 }, async t => {
    const [first, second] = [1, 2].map(() => new SlotChannel(sharedKey, () => undefined));
    assert.ok(first && second);
    t.after(() => [first, second].forEach(channel => channel.close()));
    const port = await first.listen(0, "127.0.0.1");
    await assert.rejects(second.listen(port, "127.0.0.1"), {
        code: "EADDRINUSE",
        address: "127.0.0.1",
        port,
    });
});
