import assert from "node:assert/strict";
import { createServer, connect, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { sendRequest, setUp, startProxy } from "./setup.js";

/** Starts a server that writes a text as its response to each request. */
const startServer = async (t: TestContext, response: () => string): Promise<number> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write(response()));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        sockets.forEach(it => it.destroy());
        server.close();
    });
    return (server.address() as AddressInfo).port;
};

/** Sends text on a connection of its own, and returns what has arrived when it ends or the first response is there. */
const sendText = (port: number, text: string): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        let received = "";
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            socket.end();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });

for (const head of [
    "HTTP/1.1 000 OK\r\n",
    "HTTP/1.1 200 OK\r\nx trace: 1\r\n",
    "HTTP/1.1 200 OK\r\n: 1\r\n",
]) {
    // Guards against slots that are never given back after a response that can't be written.
    test(`a call whose server responds with ${JSON.stringify(head)} ends as server-lost and frees its slot`, async t => {
        const port = await startServer(t, () => `${head}Content-Length: 5\r\n\r\nhello`);
        const proxy = await startProxy({ ports: [port] });
        t.after(() => proxy.server.stop(0));
        const response = await sendRequest(proxy.port);
        assert.equal(response.headers["bm-error"], "server-lost");
        assert.deepEqual(
            proxy.dispatcher.settled.map(it => it.result.kind),
            proxy.dispatcher.slots.map(() => "lost"),
        );
    });
}

// Guards against the end of the process at a trailer that can't be written.
test("a trailer whose name isn't a token is left out", async t => {
    const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    const port = await startServer(t, () => `${chunked}x trace: 1\r\nx-sum: 2\r\n\r\n`);
    const proxy = await startProxy({ ports: [port] });
    t.after(() => proxy.server.stop(0));
    const response = await sendRequest(proxy.port);
    assert.deepEqual([response.text, response.trailers], ["hello", { "x-sum": "2" }]);
});

for (const head of [
    "GET /v1/call/desk/a\tb HTTP/1.1\r\n",
    "GET /v1/call/desk/a HTTP/1.1\r\nx trace: 1\r\n",
]) {
    // Guards against the end of the process, and lost slots, at a request that can't be written.
    test(`a call that begins with ${JSON.stringify(head)} gets 400 and no slot`, async t => {
        const { proxy } = await setUp(t);
        const text = await sendText(proxy.port, `${head}Host: h\r\n\r\n`);
        assert.match(text, /^HTTP\/1\.1 400 /);
        assert.deepEqual(proxy.dispatcher.slots, []);
    });
}
