import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { AcceptQueue } from "../src/acceptqueue.js";
import { drainPendingInput } from "../src/unreadinput.js";

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

test("all requests that are read directly after a connection was accepted waited for it, later ones didn't", async () => {
    const queue = new AcceptQueue();
    queue.recordAccepted(new Socket(), 0);
    const socket = new Socket();
    queue.recordAccepted(socket, 70);
    assert.equal(queue.waitMs(socket), 70);
    await nextTurn();
    assert.equal(queue.waitMs(socket), 70, "read in the turn after");
    assert.equal(queue.waitMs(socket), 70, "pipelined");
    await drainPendingInput();
    assert.equal(queue.waitMs(socket), 0);
});
