import assert from "node:assert/strict";
import { createServer, request, type IncomingMessage, type ServerResponse } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Relay } from "../src/relay.js";
import { TimerSet } from "../src/timers.js";
import { sendRaw, sendRequest, setUpRaw } from "./setup.js";

const clock = (): number => performance.now();
const fail = (): never => {
    throw new Error("thrown by a test");
};
const call = "GET /v1/call/desk/list HTTP/1.0\r\nHost: h\r\n\r\n";

// Guards against slots that are never given back after an error, until the service gets none any more.
test("an error while a response is relayed ends its call as internal, frees its slot and is logged", async t => {
    const response = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    const { proxy } = await setUpRaw(t, response, { exitReset: { arm: fail, disarm: () => undefined } });
    assert.match(await sendRaw(proxy.port, call), /^HTTP\/1\.1 500 /);
    assert.deepEqual(
        proxy.dispatcher.settled.map(it => it.result.kind),
        ["lost"],
    );
    assert.deepEqual(proxy.internalErrors, ["relaying a response: Error: thrown by a test"]);
    assert.equal((await sendRequest(proxy.port)).status, 200);
});

// Guards against the end of the process at an error in a listener.
test("an error at the end of a response that is held back ends its relay", async t => {
    const server = createServer((_req, res) => void res.end("hello"));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const from = await new Promise<IncomingMessage>(resolve =>
        request({ port: (server.address() as AddressInfo).port, agent: false }, resolve).end(),
    );
    let end: Promise<unknown> | undefined;
    const front = createServer((_req, res: ServerResponse) => {
        res.writeHead = fail;
        from.headers["transfer-encoding"] = "chunked";
        const limit = { timers: new TimerSet(clock, 10), clock, stallMs: 1_000 };
        end = new Relay(from, res, undefined, limit, {
            arm: () => false,
            disarm: () => undefined,
        }).run(200, []);
        end.catch(() => undefined);
    });
    await new Promise<void>(resolve => front.listen(0, "127.0.0.1", resolve));
    t.after(() => front.close());
    const socket = connect((front.address() as AddressInfo).port, "127.0.0.1", () => socket.write(call));
    socket.on("error", () => undefined);
    socket.setTimeout(2_000, () => socket.destroy());
    await new Promise(resolve => socket.on("close", resolve));
    await assert.rejects(Promise.race([end, delay(1_000)]), /thrown by a test/);
});
