import assert from "node:assert/strict";
import { test } from "node:test";
import { startFakeBackend } from "@bramleymoor/testkit/backend";
import { sendRequest, sendOrder, setUp, startProxy, type TestSetup } from "./setup.js";

test("a call returns its backend server's response and settles its slot", async t => {
    const { proxy, backends } = await setUp(t);
    const response = await sendRequest(proxy.port, { headers: { "bm-request-id": "r1" } });
    assert.equal(response.status, 200);
    assert.equal(response.text, "ran r1");
    assert.equal(response.headers["bm-load"], undefined);
    assert.deepEqual(backends[0]?.counts.runs, { r1: 1 });
    assert.deepEqual(
        proxy.dispatcher.settled.map(({ result }) => result),
        [{ kind: "answered", status: 200 }],
    );
    assert.deepEqual(proxy.dispatcher.reports, [backends[0]?.address]);
    assert.equal(proxy.records[0]?.outcome, "answered");
});

test("an address query returns a ticket", async t => {
    const { proxy } = await setUp(t);
    const response = await sendRequest(proxy.port, { path: "/v1/addresses/desk" });
    const parsed = JSON.parse(response.text) as { addresses: string[]; ticket: string };
    assert.deepEqual(parsed.addresses, [proxy.address]);
    assert.equal(proxy.ticketIssuer.verify(parsed.ticket, 0).incarnation, "inc-a");
});

test("a call for a service that other entry VMs dispatch is forwarded once", async t => {
    const remote = await setUp(t, [{}], { passTo: () => [local.proxy.address] });
    const local: TestSetup = await setUp(t, [{}], { passTo: () => [remote.proxy.address] });
    const response = await sendRequest(local.proxy.port, { headers: { "bm-request-id": "r1" } });
    assert.equal(response.text, "ran r1");
    assert.deepEqual(remote.backends[0]?.counts.runs, { r1: 1 });
    assert.deepEqual(local.backends[0]?.counts.runs, {});
    assert.equal(local.proxy.records[0]?.outcome, "forwarded");
});

test("a call is forwarded to the next entry VM if the first is unreachable", async t => {
    const remote = await setUp(t);
    const closed = await startFakeBackend();
    await closed.close();
    const passTo = [closed.address, remote.proxy.address];
    const local = await setUp(t, [{}], { passTo: () => passTo });
    const put = { method: "PUT", body: "x", headers: { "bm-request-id": "r1" } };
    assert.equal((await sendRequest(local.proxy.port, put)).text, "ran r1");
    passTo.pop();
    const none = await sendRequest(local.proxy.port, put);
    assert.deepEqual([none.headers["bm-error"], none.headers["bm-ran"]], ["no-server", "not run"]);
});

test("the issuer of an order's ticket runs it even if another entry VM dispatches the service", async t => {
    const other = await setUp(t);
    const issuer = await setUp(t, [{}], { passTo: () => [other.proxy.address] });
    const response = await sendOrder(issuer.proxy, "o1");
    assert.equal(response.text, "ran o1");
    assert.deepEqual(issuer.backends[0]?.counts.runs, { o1: 1 });
    assert.deepEqual(other.backends[0]?.counts.runs, {});
});

test("a repeated order runs once and every copy gets the response", async t => {
    const { proxy, backends } = await setUp(t);
    const ticket = proxy.issueTicket();
    const responses = await Promise.all([1, 2, 3].map(() => sendOrder(proxy, "o1", { ticket })));
    responses.push(await sendOrder(proxy, "o1", { ticket }));
    assert.deepEqual(
        responses.map(response => response.text),
        Array.from(responses, () => "ran o1"),
    );
    assert.deepEqual(backends[0]?.counts.runs, { o1: 1 });
    assert.equal(responses.filter(response => response.headers["bm-replayed"] === "1").length, 3);
});

test("an idempotent call is retried if its server refuses it, is unreachable or drops the connection", async t => {
    const closed = await startFakeBackend();
    await closed.close();
    const { proxy, backends } = await setUp(t, [{ draining: true }, { cut: "after-reading" }, {}]);
    const first = await sendRequest(proxy.port, {
        method: "PUT",
        body: "x",
        headers: { "bm-request-id": "r" },
    });
    assert.equal(first.status, 200);
    assert.equal(backends[2]?.counts.ran, 1);
    assert.deepEqual(
        proxy.dispatcher.settled.map(({ result }) => result.kind),
        ["refused", "lost", "answered"],
    );
    const gone = await startProxy({ ports: [closed.port] });
    t.after(() => gone.server.stop(0));
    const refused = await sendRequest(gone.port);
    assert.equal(refused.headers["bm-error"], "connect-failed");
    assert.equal(refused.headers["bm-ran"], "not run");
    assert.equal(gone.dispatcher.settled.length, 3);
});

test("retries respect the call's retry budget, and only idempotent calls are retried after a 503 response", async t => {
    const { proxy, backends } = await setUp(t, [{ failFast: true, failStatus: 503 }, {}]);
    const put = (budget: string) =>
        sendRequest(proxy.port, { method: "PUT", body: "x", headers: { "bm-retry-budget": budget } });
    assert.equal((await put("0")).status, 503);
    assert.equal((await put("1")).status, 200);
    assert.equal((await sendOrder(proxy, "o")).status, 503);
    assert.deepEqual([proxy.dispatcher.slots.length, backends[1]?.counts.ran], [4, 1]);
    assert.equal(proxy.records[1]?.retries, 1);
});

test("the first response of a hedged call is used and the other request is cancelled", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 60_000 }, {}]);
    proxy.dispatcher.grantsHedges = true;
    const response = await sendRequest(proxy.port, { method: "PUT", body: "small" });
    assert.equal(response.status, 200);
    assert.deepEqual(proxy.dispatcher.settled.map(({ slot, result }) => [slot.hedge, result.kind]).sort(), [
        [false, "cancelled"],
        [true, "answered"],
    ]);
    assert.equal(backends[1]?.counts.ran, 1);
});
