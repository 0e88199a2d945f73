import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { setUp, waitUntil } from "./setup.js";

const count = 40;
const maxPending = 32;
const answerBytes = 20_000;

const callHead = (id: string): string =>
    `GET /v1/call/desk/x HTTP/1.1\r\nHost: x\r\nbm-request-id: ${id}\r\n\r\n`;

test("pending calls of one connection beyond the limit run nowhere, and all others are answered in order", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 1_500, answerBytes }]);
    const [backend] = backends;
    assert.ok(backend);
    const socket = connect(proxy.port, "127.0.0.1", () => socket.write(callHead("r0")));
    let text = "";
    socket.on("data", chunk => (text += chunk.toString("latin1")));
    await waitUntil(() => backend.counts.inFlight === 1);
    backend.behavior.serviceMs = 0;
    socket.write(Array.from({ length: count - 1 }, (_, i) => callHead(`r${i + 1}`)).join(""));
    await once(socket, "close");
    const responses = text.split("HTTP/1.1 ").slice(1);
    assert.deepEqual(
        responses.map(it => Number(it.slice(0, 3))),
        [...Array.from({ length: maxPending }, () => 200), 503],
    );
    responses
        .slice(0, maxPending)
        .forEach(it => assert.ok(it.endsWith(`\r\n\r\n${"x".repeat(answerBytes)}`)));
    assert.match(responses[maxPending] ?? "", /bm-ran: outcome unknown/i);
    assert.equal(backend.counts.ran, maxPending);
});
