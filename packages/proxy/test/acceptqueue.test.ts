import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { AcceptQueue } from "../src/acceptqueue.js";

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("a connection accepted in each turn may have waited since the last turn without one", async () => {
    let now = 1_000;
    const queue = new AcceptQueue();
    const waits: number[] = [];
    for (let i = 0; i < 3; i++) {
        waits.push(queue.recordAccepted(new Socket(), now));
        await nextTurn();
        now += 40;
    }
    assert.deepEqual(waits, [0, 40, 80]);
    await nextTurn();
    await nextTurn();
    assert.equal(queue.recordAccepted(new Socket(), now), 0, "after a turn that accepted none");
});

test("only the first request of a connection waited for its connection", () => {
    const queue = new AcceptQueue();
    queue.recordAccepted(new Socket(), 0);
    const socket = new Socket();
    queue.recordAccepted(socket, 70);
    assert.equal(queue.takeWaitMs(socket), 70);
    assert.equal(queue.takeWaitMs(socket), 0);
});
