import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { hasEndedInOrder } from "@bramleymoor/reset/orderlyend";
import { requestText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const status = (text: string): number => Number(text.slice(9, 12));

const head = (id: string, extra = ""): string =>
    `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n${extra}\r\n`;

/** Sends the head of a request and the first part of its body, and the rest after a while. */
const sendInParts = async (port: number, parts: readonly string[], pauseMs: number): Promise<string> => {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    let received = "";
    socket.on("data", chunk => (received += chunk.toString("latin1")));
    socket.once("error", () => (received += "<reset>"));
    socket.on("error", () => undefined);
    socket.on("end", () => void hasEndedInOrder(socket).then(() => socket.destroy()));
    await once(socket, "connect");
    for (const part of parts) {
        socket.write(part);
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    if (!socket.closed) {
        await new Promise<void>(resolve => {
            socket.once("close", () => resolve());
            setTimeout(resolve, 1_500);
        });
    }
    socket.destroy();
    return received;
};

const streamedBytes = 300_000;

test("a response without a length that began before its request's body was sent doesn't look complete after a reset", async t => {
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            socket.write(head(id));
            // The rest of the body has arrived by then.
            setTimeout(() => {
                socket.write("x".repeat(5));
                socket.resetAndDestroy();
            }, 300);
        },
        { handlesHeads: true },
    );
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    const text = requestText("a", { method: "POST", body: "y".repeat(streamedBytes) });
    const at = text.length - 1_000;
    const received = await sendInParts(port, [text.slice(0, at), text.slice(at)], 100);
    assert.equal(status(received), 200, received.slice(0, 200));
    assert.ok(received.endsWith("xxxxx<reset>"), received.slice(-200));
});

test("a response without a length doesn't look complete after a reset while its request's body is sent", async t => {
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            setTimeout(() => {
                socket.write(`${head(id)}hello`);
                socket.resetAndDestroy();
            }, 50);
        },
        { handlesHeads: true },
    );
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    const text = requestText("a", { method: "POST", body: "y".repeat(streamedBytes) });
    const received = await sendInParts(port, [text.slice(0, -1_000), text.slice(-1_000)], 300);
    assert.equal(status(received), 502, received.slice(0, 200));
});

for (const coding of ["identity", "gzip"]) {
    for (const [end, bytes] of [
        ["reset", 5],
        ["reset", 60_000],
    ] as const) {
        test(`a response of ${bytes} bytes whose only transfer coding is ${coding} doesn't look complete after a ${end}`, async t => {
            const server = await startRawServer(t, "s1", ({ socket, id }) => {
                socket.write(head(id, `Transfer-Encoding: ${coding}\r\n`) + "z".repeat(bytes));
                socket.resetAndDestroy();
            });
            const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
            const { text, end: callerEnd } = await sendRaw(port, requestText("a"), 1_500);
            assert.ok(
                status(text) === 502 || callerEnd === "reset",
                `${text.slice(0, 200)} ... ${text.slice(-40)} ${callerEnd}`,
            );
        });
    }
}
