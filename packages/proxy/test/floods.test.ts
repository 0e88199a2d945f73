import assert from "node:assert/strict";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { setUp, startProxy, type TestProxy } from "./setup.js";

/** Longest turn of the event loop that is allowed; the sender of the flood is in the same process. */
const maxTurnMs = 150;
const floodMs = 700;

const flood = (socket: Socket, begin: string, again: string): void => {
    socket.on("error", () => undefined);
    socket.write(begin);
    if (again === "") {
        return;
    }
    const block = Buffer.from(again.repeat(Math.ceil(65_536 / again.length)));
    const write = (): void => {
        while (!socket.destroyed) {
            if (!socket.write(block)) {
                socket.once("drain", () => setImmediate(write));
                return;
            }
        }
    };
    write();
};

/** Starts a backend server that answers with a flood, and a proxy before it. */
const startFlooded = async (t: TestContext, begin: string, again: string): Promise<TestProxy> => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.once("data", () => flood(socket, begin, again));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        sockets.forEach(it => it.destroy());
    });
    const proxy = await startProxy({ ports: [(server.address() as AddressInfo).port] });
    t.after(() => proxy.server.stop(0));
    return proxy;
};

/** Opens connections that send a text, or a flood behind it; returns what each has received so far. */
const call = (t: TestContext, port: number, text: string, again = ""): readonly { text: string }[] =>
    Array.from({ length: 4 }, () => {
        const received = { text: "" };
        const socket = connect(port, "127.0.0.1", () => flood(socket, text, again));
        socket.on("data", chunk => {
            received.text = (received.text + chunk.toString("latin1")).slice(0, 1_000);
        });
        t.after(() => socket.destroy());
        return received;
    });

const longestTurn = async (): Promise<number> => {
    let longest = 0;
    for (const end = performance.now() + floodMs; performance.now() < end;) {
        const startedAt = performance.now();
        await new Promise(resolve => setImmediate(resolve));
        longest = Math.max(longest, performance.now() - startedAt);
    }
    return longest;
};

const get = "GET /v1/call/desk/x HTTP/1.1\r\nHost: x\r\nbm-deadline-ms: 5000\r\n\r\n";
const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a server whose bytes keep the event loop from all other callers.
test("a server that answers with chunks of one byte without end leaves the event loop its turns", async t => {
    const proxy = await startFlooded(t, chunked, "1\r\nx\r\n");
    call(t, proxy.port, get);
    await delay(50);
    const longest = await longestTurn();
    assert.ok(longest < maxTurnMs, `a turn took ${longest} ms`);
});

test("a server that answers with interim responses without end is lost", async t => {
    const proxy = await startFlooded(t, "", "HTTP/1.1 103 Early Hints\r\n\r\n");
    const received = call(t, proxy.port, get);
    const longest = await longestTurn();
    received.forEach(it => assert.match(it.text, /^HTTP\/1\.1 502 /));
    assert.ok(longest < maxTurnMs, `a turn took ${longest} ms`);
});

test("a caller that sends chunks of one byte without end leaves the event loop its turns", async t => {
    const { proxy } = await setUp(t, [{}]);
    const post = get.replace("GET", "POST").replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
    call(t, proxy.port, post, "1\r\nx\r\n");
    await delay(50);
    const longest = await longestTurn();
    assert.ok(longest < maxTurnMs, `a turn took ${longest} ms`);
});
