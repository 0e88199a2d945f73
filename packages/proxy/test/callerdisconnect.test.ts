import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { EventLoopLag } from "../src/eventlooplag.js";
import { setUp } from "./setup.js";

const blockEventLoop = (ms: number): void => {
    for (const until = performance.now() + ms; performance.now() < until;) {
        // Keeps the event loop from running, as a busy processor would.
    }
};

/** Source of a worker: callers that connect, send their requests and disconnect without waiting. */
const hastyCallers = `
    const { connect } = require("node:net");
    const { workerData } = require("node:worker_threads");
    workerData.heads.forEach(head => connect(workerData.port, "127.0.0.1").end(head));
`;

test("a call whose caller disconnects before its connection is accepted reaches no server", async t => {
    const lag = new EventLoopLag(Infinity);
    const { proxy, backends } = await setUp(t, [{}], { lagMs: () => lag.lagMs(performance.now()) });
    const timer = setInterval(
        () => lag.recordRun(performance.now(), performance.now() + lagPeriodMs),
        lagPeriodMs,
    );
    t.after(() => clearInterval(timer));
    const heads = Array.from(
        { length: 60 },
        (_, i) => `GET /v1/call/desk/x HTTP/1.1\r\nHost: x\r\nbm-request-id: gone-${i}\r\n\r\n`,
    );
    const callers = new Worker(hastyCallers, { eval: true, workerData: { port: proxy.port, heads } });
    await once(callers, "online");
    blockEventLoop(300);
    // Short turns of the event loop, each of which accepts one connection.
    for (const until = performance.now() + 1_500; performance.now() < until;) {
        blockEventLoop(8);
        await new Promise(resolve => setImmediate(resolve));
    }
    await callers.terminate();
    assert.deepEqual(backends[0]?.counts.runs, {});
    assert.equal(proxy.records.length, heads.length);
});

const lagPeriodMs = 10;
