import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { createInterface } from "node:readline";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { callHeaders } from "@bramleymoor/protocol/headers";
import type { ExitReset } from "@bramleymoor/reset/exitreset";
import { hasEndedInOrder } from "@bramleymoor/reset/orderlyend";
import { startProxy, type TestProxy } from "./setup.js";

/** Starts a server that begins a response in chunks with that many bytes, and then calls `next`. */
const startChunkServer = async (
    t: TestContext,
    bytes: number,
    next: (res: ServerResponse) => void,
): Promise<number> => {
    const server = createServer((req, res) => {
        res.setHeader(callHeaders.sendId, String(req.headers[callHeaders.sendId]));
        res.write("x".repeat(bytes));
        next(res);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
};

interface Received {
    readonly text: string;
    readonly end: "closed" | "reset";
}

/** Sends a request of HTTP/1.0, and resolves when its connection has ended; `onBegun` is called when a response has begun. */
const send = (port: number, onBegun: () => void = () => undefined): Promise<Received> =>
    new Promise(resolve => {
        const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        socket.write("GET /v1/call/desk/list HTTP/1.0\r\n\r\n");
        let text = "";
        const done = (end: Received["end"]): void => {
            socket.destroy();
            resolve({ text, end });
        };
        socket.on("data", chunk => (text += chunk.toString("latin1")));
        socket.once("data", onBegun);
        socket.on("error", () => done("reset"));
        socket.on("end", () => void hasEndedInOrder(socket).then(it => done(it ? "closed" : "reset")));
    });

// Guards against a response in chunks that the end of the entry process makes look whole to a caller of HTTP/1.0.
test("if the entry process is killed under a response in chunks, it doesn't look whole to a caller of HTTP/1.0", async t => {
    const serverPort = await startChunkServer(t, 100_000, () => undefined);
    const main = fileURLToPath(new URL("issuer-main.js", import.meta.url));
    const child = spawn(process.execPath, [main, String(serverPort)], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    t.after(() => child.kill("SIGKILL"));
    const [line] = (await once(createInterface({ input: child.stdout }), "line")) as [string];
    const { port } = JSON.parse(line) as { readonly port: number };
    const { text, end } = await send(port, () => void delay(100).then(() => child.kill("SIGKILL")));
    assert.match(text, /^HTTP\/1.1 200 /);
    assert.equal(end, "reset");
});

const bodyOf = (text: string): string => text.slice(text.indexOf("\r\n\r\n") + 4);

const startProxyFor = async (t: TestContext, port: number, exitReset?: ExitReset): Promise<TestProxy> => {
    const proxy = await startProxy({ ports: [port], ...(exitReset && { exitReset }) });
    t.after(() => proxy.server.stop(0));
    return proxy;
};

test("a response in chunks that its server ends is whole for a caller of HTTP/1.0", async t => {
    const proxy = await startProxyFor(t, await startChunkServer(t, 3_000_000, res => res.end()));
    const { text, end } = await send(proxy.port);
    assert.deepEqual([bodyOf(text).length, end], [3_000_000, "closed"]);
});

/** As where the system call fails. */
const noExitReset: ExitReset = { arm: () => false, disarm: () => undefined };

test("without resets, a caller of HTTP/1.0 gets a response in chunks with a length once it is whole", async t => {
    const proxy = await startProxyFor(t, await startChunkServer(t, 100_000, res => res.end()), noExitReset);
    const { text, end } = await send(proxy.port);
    assert.match(text, /\r\ncontent-length: 100000\r\n/i);
    assert.deepEqual([bodyOf(text).length, end], [100_000, "closed"]);
});

test("without resets, a caller of HTTP/1.0 gets nothing of a response in chunks that breaks off or is too long to be held", async t => {
    for (const [bytes, next] of [
        [100_000, (res: ServerResponse) => void delay(50).then(() => res.destroy())],
        [2_000_000, (res: ServerResponse) => res.end()],
    ] as const) {
        const proxy = await startProxyFor(t, await startChunkServer(t, bytes, next), noExitReset);
        assert.deepEqual(await send(proxy.port), { text: "", end: "reset" });
    }
});
