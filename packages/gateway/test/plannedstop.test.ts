import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PatientCallers } from "@bramleymoor/testkit/hastycallers";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

test("requests on connections that wait to be accepted when a planned stop closes the listener are answered", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    const { port, frontend } = await startFrontend(t, [server], { timeoutMs: 5_000, targetLatencyMs: 4_000 });
    await sendRaw(port, requestText("warm"));
    const texts = Array.from({ length: 40 }, (_, i) => requestText(`r-${i}`));
    const callers = new PatientCallers(port, texts);
    await callers.started();
    callers.sendUnnoticed(400);
    frontend.beginDrain();
    const drained = frontend.drain();
    const answered = await callers.answered();
    await drained;
    await callers.terminate();
    assert.equal(answered, texts.length);
});

/** A caller's connection and what has arrived on it. */
const openConnection = (port: number): { readonly socket: Socket; text: string } => {
    const connection = { socket: connect(port, "127.0.0.1"), text: "" };
    connection.socket.on("data", chunk => (connection.text += chunk.toString("latin1")));
    connection.socket.on("error", () => undefined);
    return connection;
};

const idsAnswered = (text: string): readonly string[] =>
    [...text.matchAll(/\r\nt-id: (\S+)\r\n/g)].map(it => it[1] ?? "");

// Guards against connections that a stop never closes, as their callers always have requests pending.
test("a connection that always has requests pending is closed in a planned stop, and all that were passed on are answered", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        setTimeout(() => socket.write(responseText(id, "hello")), 60);
    });
    const { port, frontend } = await startFrontend(t, [server]);
    const connection = openConnection(port);
    const closed = once(connection.socket, "close");
    let sent = 0;
    const timer = setInterval(() => connection.socket.write(requestText(`r${sent++}`)), 20);
    t.after(() => clearInterval(timer));
    await delay(200);
    frontend.beginDrain();
    const timeout = delay(1_000).then(() => assert.fail("the connection is still open"));
    await Promise.race([closed, timeout]);
    // Several connections lead to the server, so that requests may reach it in another order.
    const passedOn = server.requests.map(it => Number(it.id.slice(1))).sort((a, b) => a - b);
    assert.deepEqual(
        idsAnswered(connection.text),
        passedOn.map(it => `r${it}`),
    );
    assert.match(connection.text, /\r\nconnection: close\r\n/i);
});

// Guards against requests that run though the response before them closes their connection, which tells callers to send them again.
test("requests behind a malformed one aren't passed on, as its response closes the connection", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    const { port } = await startFrontend(t, [server]);
    const texts = [
        requestText("a"),
        requestText("bad", { path: "/a\tb" }),
        requestText("b"),
        requestText("c"),
    ];
    const result = await sendRaw(port, texts.join(""), 500);
    await delay(100);
    assert.deepEqual(
        server.requests.map(it => it.id),
        ["a"],
    );
    assert.match(result.text, /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 400 /);
    assert.equal(result.end, "closed");
});

// Guards against a reset by the operating system, which discards what the caller hasn't received yet.
test("a caller that sends further requests while it receives the last response of a connection gets it whole", async t => {
    const body = "x".repeat(3_000_000);
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, body)));
    const { port, frontend } = await startFrontend(t, [server], { timeoutMs: 5_000 });
    frontend.beginDrain();
    const connection = openConnection(port);
    const closed = once(connection.socket, "close");
    connection.socket.write(requestText("a"));
    // Requests that arrive before the head is written are answered too.
    await once(connection.socket, "data");
    connection.socket.pause();
    for (let i = 0; i < 10; i++) {
        await delay(50);
        connection.socket.write(requestText(`late${i}`));
        connection.socket.resume();
        await delay(1);
        connection.socket.pause();
    }
    connection.socket.resume();
    await closed;
    assert.equal(connection.text.slice(connection.text.indexOf("\r\n\r\n") + 4).length, body.length);
    assert.equal(server.requests.length, 1);
});
