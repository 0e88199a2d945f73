import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const withinMs = 1_500;

/** Writes bytes as fast as the peer reads them, until the connection ends. */
const writeWithoutEnd = (socket: Socket, bytes: string): void => {
    const write = (): void => {
        if (!socket.destroyed && socket.write(bytes)) {
            setTimeout(write, 1);
        }
    };
    socket.on("drain", write);
    write();
};

const chunk = `1000\r\n${"x".repeat(0x1000)}\r\n`;
const garbage = "\u0001\u0002no http\n".repeat(500);
const chunked = "Transfer-Encoding: chunked\r\n\r\n";

const closes = (socket: Socket): Promise<boolean> =>
    new Promise(resolve => {
        const timer = setTimeout(() => resolve(false), withinMs);
        socket.once("close", () => {
            clearTimeout(timer);
            resolve(true);
        });
    });

/** Sends a request to a server whose response begins with `head`; returns whether its connection ends in time. */
const connectionCloses = async (
    t: TestContext,
    head: (id: string) => string,
    bytes: string,
): Promise<boolean> => {
    const endless = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(head(id));
        writeWithoutEnd(socket, bytes);
    });
    const sound = await startRawServer(t, "s2", ({ socket, id }) => socket.write(responseText(id, "ok")));
    const { port } = await startFrontend(t, [endless, sound], { maxAttempts: 2, timeoutMs: 1_000 });
    for (const id of ["a", "b", "c", "d"]) {
        await sendRaw(port, requestText(id, { extra: "Connection: close\r\n" }));
        if (endless.requests.length > 0) {
            break;
        }
    }
    const socket = endless.requests[0]?.socket;
    assert.ok(socket, "the server got a request");
    return socket.destroyed || (await closes(socket));
};

test("the connection of a refusal whose body doesn't end is closed", async t => {
    const head = (id: string): string => `HTTP/1.1 503 Busy\r\nt-id: ${id}\r\nt-not-run: 1\r\n${chunked}`;
    assert.ok(await connectionCloses(t, head, chunk));
});

test("the connection of a failure that is retried and whose body doesn't end is closed", async t => {
    const head = (id: string): string => `HTTP/1.1 500 Error\r\nt-id: ${id}\r\nt-signed: 1\r\n${chunked}`;
    assert.ok(await connectionCloses(t, head, chunk));
});

test("the connection of a response whose head doesn't end is closed", async t => {
    assert.ok(await connectionCloses(t, () => "HTTP/1.1 200 OK\r\n", `t-more: ${"x".repeat(200)}\r\n`));
});

test("the connection of interim responses that don't end is closed", async t => {
    assert.ok(await connectionCloses(t, () => "", "HTTP/1.1 102 Processing\r\n\r\n"));
});

test("the connection of bytes that are no response and don't end is closed", async t => {
    assert.ok(await connectionCloses(t, () => "", garbage));
});

test("the connection of a probe's response whose body doesn't end is closed", async t => {
    const probed: Socket[] = [];
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "ok")), {
        answerProbe: socket => {
            probed.push(socket);
            socket.write(`HTTP/1.1 200 OK\r\n${chunked}`);
            writeWithoutEnd(socket, chunk);
        },
    });
    const { port } = await startFrontend(t, [server]);
    await sendRaw(port, requestText("a", { extra: "Connection: close\r\n" }));
    const [socket] = probed;
    assert.ok(socket);
    assert.ok(socket.destroyed || (await closes(socket)));
});
