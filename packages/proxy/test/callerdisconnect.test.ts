import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { blockEventLoop, HastyCallers, runShortTurns } from "@bramleymoor/testkit/hastycallers";
import { EventLoopLag } from "../src/eventlooplag.js";
import { setUp, waitUntil } from "./setup.js";

const lagPeriodMs = 10;

const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const callHead = (id: string): string =>
    `GET /v1/call/desk/x HTTP/1.1\r\nHost: x\r\nbm-request-id: ${id}\r\n\r\n`;

/** Starts to measure the event loop lag and returns a function that reads it. */
const startLagMeter = (t: TestContext): (() => number) => {
    const lag = new EventLoopLag(performance.now() + lagPeriodMs);
    const timer = setInterval(
        () => lag.recordRun(performance.now(), performance.now() + lagPeriodMs),
        lagPeriodMs,
    );
    t.after(() => clearInterval(timer));
    return () => lag.lagMs(performance.now());
};

test("a call whose caller disconnects before its connection is accepted reaches no server", async t => {
    const { proxy, backends } = await setUp(t, [{}], { lagMs: startLagMeter(t) });
    const heads = Array.from({ length: 60 }, (_, i) => callHead(`gone-${i}`));
    const callers = new HastyCallers(proxy.port, heads);
    callers.leaveUnnoticed(300);
    await runShortTurns(8, () => proxy.records.length >= heads.length);
    await callers.terminate();
    assert.deepEqual(backends[0]?.counts.runs, {});
    assert.equal(proxy.records.length, heads.length);
});

test("a pipelined call whose caller disconnects before its connection is accepted reaches no server", async t => {
    const { proxy, backends } = await setUp(t, [{}], { lagMs: startLagMeter(t) });
    const texts = Array.from({ length: 60 }, (_, i) => callHead(`first-${i}`) + callHead(`second-${i}`));
    const callers = new HastyCallers(proxy.port, texts);
    callers.leaveUnnoticed(300);
    await runShortTurns(8, () => proxy.records.length >= 2 * texts.length);
    await callers.terminate();
    assert.deepEqual(backends[0]?.counts.runs, {});
});

test("the send of a pipelined call is aborted when its caller disconnects", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 5_000 }]);
    const socket = connect(proxy.port, "127.0.0.1", () => socket.write(callHead("a") + callHead("b")));
    await waitUntil(() => backends[0]?.counts.inFlight === 2);
    socket.destroy();
    await waitUntil(() => (backends[0]?.counts.cancelled ?? 0) > 0);
    await delay(200);
    assert.equal(backends[0]?.counts.cancelled, 2);
});

test("a pipelined call whose caller disconnects while it waits for a slot reaches no server", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 5_000 }]);
    const { heldGrants } = proxy.dispatcher;
    const socket = connect(proxy.port, "127.0.0.1", () => socket.write(callHead("a")));
    await waitUntil(() => backends[0]?.counts.inFlight === 1);
    proxy.dispatcher.holdsCalls = true;
    socket.write(callHead("b"));
    await waitUntil(() => heldGrants.length === 1);
    socket.destroy();
    await delay(600);
    heldGrants.forEach(grant => grant());
    await delay(200);
    assert.deepEqual(backends[0]?.counts.runs, { a: 1 });
});

test("a call that gets its slot before its caller's disconnect is read reaches no server", async t => {
    const { proxy, backends } = await setUp(t, [{}], { lagMs: startLagMeter(t) });
    const { heldGrants } = proxy.dispatcher;
    proxy.dispatcher.holdsCalls = true;
    const socket = connect(proxy.port, "127.0.0.1", () => socket.write(callHead("a")));
    await waitUntil(() => heldGrants.length === 1);
    socket.destroy();
    setTimeout(() => heldGrants.forEach(grant => grant()), 1);
    blockEventLoop(600);
    await delay(200);
    assert.deepEqual(backends[0]?.counts.runs, {});
});
