import assert from "node:assert/strict";
import {
    createServer,
    request,
    type IncomingMessage,
    type RequestOptions,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { sendOrder, setUp, startProxy, waitUntil, type TestProxy } from "./setup.js";

const classDeadlineMs = 5_000;
const oneHourMs = 3_600_000;
/** Stalls after the first chunk of its response. */
const stallingBackend = { answerBytes: 200_000, chunkPauseMs: oneHourMs };

/** Starts a call and resolves with its unread response. */
const startCall = (proxy: TestProxy, options: RequestOptions = {}): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        const defaults = { host: "127.0.0.1", port: proxy.port, path: "/v1/call/desk/list", agent: false };
        const req = request({ ...defaults, ...options }, resolve);
        req.on("error", reject);
        req.end();
    });

/** Reads until the response ends and resolves with whether it is complete; `onData` gets the byte count so far. */
const readToEnd = (res: IncomingMessage, onData: (bytes: number) => void): Promise<boolean> =>
    new Promise(resolve => {
        let bytes = 0;
        res.on("data", (chunk: Buffer) => onData((bytes += chunk.length)));
        res.on("error", () => undefined);
        res.on("close", () => resolve(res.complete));
    });

test("a response that stalls for the length of the call's deadline is aborted and its slot settled", async t => {
    const { proxy } = await setUp(t, [stallingBackend]);
    const complete = await readToEnd(await startCall(proxy), bytes => {
        if (bytes >= 65_536) {
            proxy.clockOffsetMs = classDeadlineMs + 1;
        }
    });
    assert.equal(complete, false);
    await waitUntil(() => proxy.dispatcher.settled.length > 0);
    assert.deepEqual(
        proxy.dispatcher.settled.map(({ result }) => result.kind),
        ["lost"],
    );
    await waitUntil(() => proxy.records.length > 0);
    assert.equal(proxy.records[0]?.outcome, "broken");
});

test("a forwarded call's response that stalls at the other entry VM is aborted", async t => {
    const remote = await setUp(t, [stallingBackend]);
    const local = await setUp(t, [{}], { passTo: () => [remote.proxy.address] });
    const complete = await readToEnd(await startCall(local.proxy), bytes => {
        if (bytes >= 65_536) {
            local.proxy.clockOffsetMs = classDeadlineMs + 1;
        }
    });
    assert.equal(complete, false);
    await waitUntil(() => remote.proxy.dispatcher.settled.length > 0);
});

test("a retry of an order whose response stalled gets server-lost and doesn't run", async t => {
    const { proxy, backends } = await setUp(t, [stallingBackend, {}]);
    const ticket = proxy.issueTicket();
    const headers = { "bm-ticket": ticket, "bm-request-id": "o" };
    const first = await startCall(proxy, { method: "POST", path: "/v1/call/desk/orders", headers });
    proxy.clockOffsetMs = classDeadlineMs + 1;
    assert.equal(await readToEnd(first, () => undefined), false);
    const second = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.equal(second.headers["bm-error"], "server-lost");
    assert.equal(backends[0]?.counts.runs["o"], 1);
    assert.equal(backends[1]?.counts.ran, 0);
});

test("a response that takes much longer than the deadline but doesn't stall is not aborted", async t => {
    let response: ServerResponse | undefined;
    const server = createServer((_, res) => {
        response = res;
        res.write("x");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const proxy = await startProxy({ ports: [(server.address() as AddressInfo).port] });
    t.after(async () => {
        server.close();
        await proxy.server.stop(0);
    });
    const complete = await readToEnd(await startCall(proxy), bytes => {
        proxy.clockOffsetMs += classDeadlineMs / 2;
        response?.[bytes < 10 ? "write" : "end"]("x");
    });
    assert.equal(complete, true);
    assert.equal(proxy.clockOffsetMs, (11 * classDeadlineMs) / 2);
});

test("a response isn't aborted if the caller stops reading for longer than the deadline", async t => {
    const { proxy } = await setUp(t, [{ answerBytes: 64 * 1_048_576 }]);
    const res = await startCall(proxy);
    await new Promise(resolve => setTimeout(resolve, 200));
    proxy.clockOffsetMs = classDeadlineMs + 1;
    await new Promise(resolve => setTimeout(resolve, 200));
    assert.equal(await readToEnd(res, () => undefined), true);
});
