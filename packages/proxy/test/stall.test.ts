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
const foreverMs = 3_600_000;
/** Stalls after its first part. */
const stallingBackend = { answerBytes: 200_000, chunkPauseMs: foreverMs };

/** Starts a call and gives its answer, of which nothing has been read. */
const startCall = (proxy: TestProxy, how: RequestOptions = {}): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        const at = { host: "127.0.0.1", port: proxy.port, path: "/v1/call/desk/list", agent: false };
        const req = request({ ...at, ...how }, resolve);
        req.on("error", reject);
        req.end();
    });

/** Reads to the end or the break; `onData` gets the bytes so far. */
const readToEnd = (res: IncomingMessage, onData: (bytes: number) => void): Promise<boolean> =>
    new Promise(resolve => {
        let bytes = 0;
        res.on("data", (chunk: Buffer) => onData((bytes += chunk.length)));
        res.on("error", () => undefined);
        res.on("close", () => resolve(res.complete));
    });

test("an answer that stalls for the call's deadline is broken off, and its slot is settled", async t => {
    const { proxy } = await setUp(t, [stallingBackend]);
    const whole = await readToEnd(await startCall(proxy), bytes => {
        if (bytes >= 65_536) {
            proxy.clockOffsetMs = classDeadlineMs + 1;
        }
    });
    assert.equal(whole, false);
    await waitUntil(() => proxy.dispatcher.settled.length > 0);
    assert.deepEqual(
        proxy.dispatcher.settled.map(({ result }) => result.kind),
        ["lost"],
    );
    await waitUntil(() => proxy.records.length > 0);
    assert.equal(proxy.records[0]?.outcome, "cut");
});

test("an answer that is passed on and stalls at the other entry VM is broken off", async t => {
    const there = await setUp(t, [stallingBackend]);
    const here = await setUp(t, [{}], { passTo: () => [there.proxy.address] });
    const whole = await readToEnd(await startCall(here.proxy), bytes => {
        if (bytes >= 65_536) {
            here.proxy.clockOffsetMs = classDeadlineMs + 1;
        }
    });
    assert.equal(whole, false);
    await waitUntil(() => there.proxy.dispatcher.settled.length > 0);
});

test("an order whose answer stalls is server-lost to its repeat, and isn't run again", async t => {
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

test("an answer that takes far longer than the deadline but keeps coming is not cut", async t => {
    let answering: ServerResponse | undefined;
    const server = createServer((_, res) => {
        answering = res;
        res.write("x");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const proxy = await startProxy({ ports: [(server.address() as AddressInfo).port] });
    t.after(async () => {
        server.close();
        await proxy.server.stop(0);
    });
    const whole = await readToEnd(await startCall(proxy), bytes => {
        proxy.clockOffsetMs += classDeadlineMs / 2;
        answering?.[bytes < 10 ? "write" : "end"]("x");
    });
    assert.equal(whole, true);
    assert.equal(proxy.clockOffsetMs, (11 * classDeadlineMs) / 2);
});

test("a caller that stops reading for longer than the deadline isn't cut", async t => {
    const { proxy } = await setUp(t, [{ answerBytes: 64 * 1_048_576 }]);
    const res = await startCall(proxy);
    await new Promise(resolve => setTimeout(resolve, 200));
    proxy.clockOffsetMs = classDeadlineMs + 1;
    await new Promise(resolve => setTimeout(resolve, 200));
    assert.equal(await readToEnd(res, () => undefined), true);
});
