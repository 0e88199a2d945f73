import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { CallError } from "@bramleymoor/protocol/errors";
import { startFakeBackend, type BackendBehavior } from "@bramleymoor/testkit/backend";
import { sendRequest, setUp, waitUntil } from "./setup.js";

const behaviors: Readonly<Record<string, Partial<BackendBehavior>>> = {
    refuses: { draining: true },
    "is lost unread": { cut: "before-reading" },
    "is lost": { cut: "after-reading" },
    "fails without running": { failFast: true, failStatus: 503 },
};

test("a lookup is reported as not run only if every server that it was sent to refused it", async t => {
    const series = fc.array(fc.constantFrom(...Object.keys(behaviors)), { minLength: 1, maxLength: 4 });
    for (const names of fc.sample(series, { numRuns: 40, seed: 19 })) {
        const { proxy, backends } = await setUp(
            t,
            names.map(name => behaviors[name] ?? {}),
        );
        const response = await sendRequest(proxy.port, { headers: { "bm-retry-budget": "8" } });
        const reached = names.filter((_, i) => backends[i]?.counts.connections !== 0);
        const refused = reached.every(name => name === "refuses");
        if (response.headers["bm-error"] !== undefined) {
            assert.equal(response.headers["bm-ran"] === "not run", refused, String(names));
        }
    }
});

test("a lookup that may have run and is then refused by the dispatcher is reported as outcome unknown", async t => {
    const { proxy } = await setUp(t, [{ cut: "after-reading" }]);
    const settle = proxy.dispatcher.settle.bind(proxy.dispatcher);
    proxy.dispatcher.settle = (slot, result) => {
        proxy.dispatcher.refusal = new CallError("overloaded", "", 50);
        settle(slot, result);
    };
    const { headers } = await sendRequest(proxy.port, { headers: { "bm-retry-budget": "4" } });
    assert.deepEqual([headers["bm-error"], headers["bm-ran"]], ["server-lost", "outcome unknown"]);
    assert.equal(headers["bm-retry-after-ms"], "50");
});

test("a lookup that may have run and whose deadline passes while it is queued again is reported as outcome unknown", async t => {
    const { proxy } = await setUp(t, [{ cut: "after-reading" }]);
    const settle = proxy.dispatcher.settle.bind(proxy.dispatcher);
    proxy.dispatcher.settle = (slot, result) => {
        proxy.dispatcher.holdsCalls = true;
        settle(slot, result);
    };
    const { headers } = await sendRequest(proxy.port, {
        headers: { "bm-retry-budget": "4", "bm-deadline-ms": "300" },
    });
    assert.deepEqual([headers["bm-error"], headers["bm-ran"]], ["deadline-sent", "outcome unknown"]);
});

test("if one copy of a lookup is lost and then the other is refused, it is reported as outcome unknown", async t => {
    const held: ServerResponse[] = [];
    const refusing = createServer((_req, res) => held.push(res));
    await new Promise<void>(resolve => refusing.listen(0, "127.0.0.1", resolve));
    const lost = await startFakeBackend({ cut: "after-reading" });
    const { proxy } = await setUp(t, [], {
        ports: [lost.port, (refusing.address() as AddressInfo).port],
    });
    t.after(async () => {
        await lost.close();
        refusing.closeAllConnections();
        refusing.close();
    });
    proxy.dispatcher.grantsHedges = true;
    const response = sendRequest(proxy.port, { headers: { "bm-retry-budget": "0" } });
    await waitUntil(() => proxy.dispatcher.settled.length === 1 && held.length === 1);
    held[0]?.writeHead(503, { "bm-refused": "drain", "content-length": "0" }).end();
    assert.equal((await response).headers["bm-ran"], "outcome unknown");
    assert.equal(lost.counts.ran, 1);
});

test("a lookup that an entry VM lost and the next one refuses is reported as outcome unknown", async t => {
    const lost = await startFakeBackend({ cut: "after-reading" });
    t.after(() => lost.close());
    const refusing = await setUp(t);
    refusing.proxy.dispatcher.refusal = new CallError("overloaded", "", 50);
    const { proxy } = await setUp(t, [], { passTo: () => [lost.address, refusing.proxy.address] });
    const { headers } = await sendRequest(proxy.port);
    assert.deepEqual([headers["bm-error"], headers["bm-ran"]], ["server-lost", "outcome unknown"]);
    assert.equal(headers["bm-retry-after-ms"], "50");
    assert.equal(lost.counts.ran, 1);
});
