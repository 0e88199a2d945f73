import assert from "node:assert/strict";
import { Agent, get, type IncomingMessage } from "node:http";
import { test } from "node:test";
import { sendRequest, sendOrder, setUp, waitUntil } from "./setup.js";

const startDownload = (port: number, agent: Agent | false = false): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        get({ port, path: "/v1/call/desk/list", agent }, resolve).on("error", reject);
    });

const readLength = async (res: IncomingMessage): Promise<number> => {
    let bytes = 0;
    for await (const chunk of res as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    return bytes;
};

test("graceful shutdown lets a long download to a slow reader complete", async t => {
    const bytes = 30_000_000;
    const { proxy } = await setUp(t, [{ answerBytes: bytes }]);
    const slow = await startDownload(proxy.port);
    slow.pause();
    let stopped = false;
    const stop = proxy.server.stop(0).then(() => (stopped = true));
    let answered = 0;
    const sendUntilRefused = async (): Promise<void> => {
        for (;;) {
            await sendRequest(proxy.port);
            answered++;
        }
    };
    await assert.rejects(sendUntilRefused(), { code: "ECONNREFUSED" });
    assert.ok(answered <= 3, `${answered} requests answered after the stop`);
    assert.equal(stopped, false);
    assert.equal(await readLength(slow), bytes);
    await stop;
});

test("during the drain period, callers with cached addresses are served with Connection: close", async t => {
    const { proxy } = await setUp(t);
    const agent = new Agent({ keepAlive: true });
    t.after(() => agent.destroy());
    const first = await sendRequest(proxy.port, { agent });
    assert.equal(first.headers.connection, "keep-alive");
    const stop = proxy.server.stop(200);
    for (const response of [await sendRequest(proxy.port, { agent }), await sendRequest(proxy.port)]) {
        assert.deepEqual([response.status, response.headers.connection], [200, "close"]);
    }
    await stop;
    await assert.rejects(sendRequest(proxy.port, { agent }));
});

test("a keep-alive connection is closed after its last response and doesn't delay shutdown", async t => {
    const { proxy } = await setUp(t, [{ answerBytes: 5_000_000 }], { limits: { callerIdleMs: 3_600_000 } });
    const agent = new Agent({ keepAlive: true });
    t.after(() => agent.destroy());
    const running = await startDownload(proxy.port, agent);
    running.pause();
    const stop = proxy.server.stop(0);
    assert.equal(await readLength(running), 5_000_000);
    await stop;
});

test("shutdown waits for an order in progress and for its duplicate", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 50 }]);
    const ticket = proxy.issueTicket();
    const orders = [sendOrder(proxy, "o", { ticket }), sendOrder(proxy, "o", { ticket })];
    await waitUntil(() => proxy.server.inFlight === 2);
    await proxy.server.stop(0);
    assert.deepEqual(
        (await Promise.all(orders)).map(response => response.text),
        ["ran o", "ran o"],
    );
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

test("a draining server runs no more calls, and its requests in progress complete", async t => {
    const bytes = 5_000_000;
    const { proxy, backends } = await setUp(t, [{ answerBytes: bytes }, {}]);
    const running = await startDownload(proxy.port);
    const first = backends[0];
    assert.ok(first);
    first.behavior.draining = true;
    assert.equal((await sendRequest(proxy.port)).status, 200);
    assert.deepEqual(proxy.dispatcher.settled.map(({ result }) => result)[0], {
        kind: "refused",
        draining: true,
    });
    assert.equal(await readLength(running), bytes);
    assert.equal(first.counts.ranWhileDraining, 0);
});

test("shutdown doesn't truncate responses of any size that are written but not yet read", async t => {
    const sizes = Array.from({ length: 60 }, (_, i) => 2_000_000 + i * 65_536);
    const setups = await Promise.all(sizes.map(bytes => setUp(t, [{ answerBytes: bytes }])));
    const responses = await Promise.all(setups.map(({ proxy }) => startDownload(proxy.port)));
    responses.forEach(response => response.pause());
    await new Promise(resolve => setTimeout(resolve, 300));
    const stops = setups.map(({ proxy }) => proxy.server.stop(0));
    await new Promise(resolve => setTimeout(resolve, 300));
    const lengths = responses.map(response => readLength(response).catch(() => -1));
    assert.deepEqual(await Promise.all(lengths), sizes);
    await Promise.all(stops);
});
