import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { answer, ask, exchange, rawServer, startFront } from "./setup.js";

const spin = (ms: number): void => {
    for (const until = performance.now() + ms; performance.now() < until;) {
        // Holds the event loop up, as a busy processor does.
    }
};

const heads = (count: number): readonly string[] => Array.from({ length: count }, (_, i) => ask(`gone-${i}`));

/** Callers with an event loop of their own: they connect, and when told to, ask and leave at once. */
const leavingCallers = `
    const { connect } = require("node:net");
    const { parentPort, workerData } = require("node:worker_threads");
    const sockets = workerData.heads.map(() => connect(workerData.port, "127.0.0.1"));
    Promise.all(sockets.map(it => new Promise(resolve => it.on("connect", resolve)))).then(() => {
        parentPort.once("message", () => sockets.forEach((it, i) => it.end(workerData.heads[i])));
        parentPort.postMessage("connected");
    });
`;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

test("a request whose caller left while it lay unread reaches no server", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "hello")));
    const { port } = await startFront(t, [server]);
    await exchange(port, ask("warm"), 50);
    const callers = new Worker(leavingCallers, { eval: true, workerData: { port, heads: heads(10) } });
    await once(callers, "message");
    callers.postMessage("ask and leave");
    spin(300);
    await pause(200);
    await callers.terminate();
    assert.deepEqual(
        server.arrivals.map(it => it.id),
        ["warm"],
    );
});

test("a server's work ends when the caller of an idempotent request leaves", async t => {
    let closedAt = 0;
    const server = await rawServer(t, "s1", ({ socket }) => {
        socket.on("close", () => (closedAt = performance.now()));
    });
    const { port } = await startFront(t, [server]);
    const socket = connect(port, "127.0.0.1", () => socket.write(ask("a")));
    await pause(100);
    assert.equal(server.arrivals.length, 1);
    const leftAt = performance.now();
    socket.destroy();
    await pause(100);
    assert.ok(closedAt > leftAt && closedAt - leftAt < 100);
});

test("a request that isn't idempotent and was sent runs on when its caller leaves", async t => {
    let closed = false;
    const server = await rawServer(t, "s1", ({ socket }) => {
        socket.on("close", () => (closed = true));
    });
    const { port } = await startFront(t, [server], { kind: "non-idempotent" });
    const socket = connect(port, "127.0.0.1", () => socket.write(ask("a", { method: "POST", body: "b" })));
    await pause(100);
    socket.destroy();
    await pause(100);
    assert.equal(closed, false);
});

test("the record of a request that ran into its deadline names the server that kept silent", async t => {
    const server = await rawServer(t, "s1", () => undefined);
    const { port, records } = await startFront(t, [server], { timeoutMs: 200 });
    const got = await exchange(port, ask("a"), 400);
    assert.match(got.bytes, /^HTTP\/1\.1 504 /);
    assert.deepEqual(records[0]?.servers, ["s1"]);
    assert.equal(records[0]?.outcome, "deadline-sent");
});
