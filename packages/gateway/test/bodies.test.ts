import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { requestText, responseText, startFrontend, startRawServer, waitUntil } from "./setup.js";

/** More than is buffered, and within the limit of the tests' configuration. */
const longBody = "x".repeat(600_000);
const limitBytes = 1_000_000;

/** Opens a connection that collects what it receives. */
const openConnection = (port: number): { readonly write: (text: string) => void; text: string } => {
    const socket = connect(port, "127.0.0.1");
    const connection = { write: (text: string): void => void socket.write(text), text: "" };
    socket.on("data", chunk => (connection.text += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    socket.on("close", () => (connection.text += "<closed>"));
    return connection;
};

// Guards against a kept connection that is never read again, behind a long request that its server rejected early (review/5).
test("behind a long request that its server answers early, the next one on its connection is answered", async t => {
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            const refusal = `HTTP/1.1 503 Full\r\nt-id: ${id}\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n`;
            socket.write(id === "long" ? refusal : responseText(id, "ok"));
        },
        { handlesHeads: true },
    );
    const { port } = await startFrontend(t, [server], { kind: "non-idempotent", maxAttempts: 1 });
    const connection = openConnection(port);
    const head = requestText("long", { method: "POST", extra: `Content-Length: ${longBody.length}\r\n` });
    connection.write(head + longBody.slice(0, 400_000));
    await waitUntil(() => connection.text.includes("HTTP/1.1 503"));
    await delay(50);
    connection.write(longBody.slice(400_000));
    connection.write(requestText("next", { method: "POST", body: "x" }));
    const until = performance.now() + 1_500;
    await waitUntil(() => connection.text.endsWith("ok") || performance.now() > until);
    assert.match(connection.text, /t-id: next\r\n[^]*ok$/);
});

for (const [what, begin] of [
    ["answered before its body is read", "POST /x HTTP/1.1\r\nHost: other.example\r\nt-id: a\r\n"],
    ["streamed to its server", requestText("a", { method: "POST" }).replace("\r\n\r\n", "\r\n")],
] as const) {
    // Guards against bodies without end, which no limit ended once their request had been answered or sent.
    test(`a body in chunks that is longer than allowed, of a request that is ${what}, ends its connection`, async t => {
        const server = await startRawServer(t, "s1", () => undefined, { handlesHeads: true });
        const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
        const connection = openConnection(port);
        connection.write(`${begin}Transfer-Encoding: chunked\r\n\r\n`);
        const chunk = `8000\r\n${"x".repeat(0x8000)}\r\n`;
        for (let sent = 0; sent < 2 * limitBytes; sent += 0x8000) {
            connection.write(chunk);
            await delay(1);
        }
        const until = performance.now() + 3_000;
        await waitUntil(() => connection.text.includes("<closed>") || performance.now() > until);
        assert.match(connection.text, /<closed>/);
    });
}
