import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, createServer, request, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { discardResponse } from "../src/discard.js";

/** Discards one response of a server; returns its connection. */
const discardFrom = async (t: TestContext, respond: (res: ServerResponse) => void): Promise<Socket> => {
    const server = createServer((_, res) => respond(res)).listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = new Agent({ keepAlive: true });
    t.after(() => {
        agent.destroy();
        server.closeAllConnections();
        server.close();
    });
    const req = request({ port: (server.address() as AddressInfo).port, host: "127.0.0.1", agent }).end();
    req.on("error", () => undefined);
    const [res] = (await once(req, "response")) as [IncomingMessage];
    const { socket } = res;
    discardResponse(res);
    await once(res, "close");
    return socket;
};

test("the connection of a discarded response that ends is kept", async t => {
    const socket = await discardFrom(t, res => res.end("x".repeat(10_000)));
    assert.equal(socket.destroyed, false);
});

test("the connection of a discarded response that is too long is closed", async t => {
    const socket = await discardFrom(t, res => {
        const timer = setInterval(() => res.write("x".repeat(20_000)), 1);
        res.on("close", () => clearInterval(timer));
    });
    assert.ok(socket.destroyed);
});

test("the connection of a discarded response that stalls is closed", async t => {
    const socket = await discardFrom(t, res => res.write("x"));
    assert.ok(socket.destroyed);
});
