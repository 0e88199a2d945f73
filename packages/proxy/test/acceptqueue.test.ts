import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { AcceptQueue } from "../src/acceptqueue.js";

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("a connection accepted in each turn may have waited since the last turn without one", async () => {
    let now = 1_000;
    const queue = new AcceptQueue(() => now);
    const waits: number[] = [];
    for (let i = 0; i < 3; i++) {
        waits.push(queue.recordAccepted(new Socket()));
        await nextTurn();
        now += 40;
    }
    assert.deepEqual(waits, [0, 40, 80]);
    await nextTurn();
    await nextTurn();
    assert.equal(queue.recordAccepted(new Socket()), 0, "after a turn that accepted none");
});

test("only the first request of a connection waited for its connection", () => {
    let now = 0;
    const queue = new AcceptQueue(() => now);
    queue.recordAccepted(new Socket());
    now = 70;
    const socket = new Socket();
    queue.recordAccepted(socket);
    assert.equal(queue.takeWaitMs(socket), 70);
    assert.equal(queue.takeWaitMs(socket), 0);
});
