import assert from "node:assert/strict";
import { test } from "node:test";
import { startBackend } from "@bramleymoor/testkit/backend";
import { sendRequest, sendOrder, setUp, startProxy, type TestSetup } from "./setup.js";

test("a call gets its backend server's answer, and its slot is settled", async t => {
    const { proxy, backends } = await setUp(t);
    const answer = await sendRequest(proxy.port, { headers: { "bm-request-id": "r1" } });
    assert.equal(answer.status, 200);
    assert.equal(answer.text, "ran r1");
    assert.equal(answer.headers["bm-load"], undefined);
    assert.deepEqual(backends[0]?.counts.runs, { r1: 1 });
    assert.deepEqual(
        proxy.dispatcher.settled.map(({ result }) => result),
        [{ kind: "answered", status: 200 }],
    );
    assert.deepEqual(proxy.dispatcher.reports, [backends[0]?.address]);
    assert.equal(proxy.records[0]?.outcome, "answered");
});

test("addresses are answered with a ticket", async t => {
    const { proxy } = await setUp(t);
    const answer = await sendRequest(proxy.port, { path: "/v1/addresses/desk" });
    const parsed = JSON.parse(answer.text) as { addresses: string[]; ticket: string };
    assert.deepEqual(parsed.addresses, [proxy.address]);
    assert.equal(proxy.ticketIssuer.verify(parsed.ticket, 0).incarnation, "inc-a");
});

test("a call for a service dispatched elsewhere is passed on once", async t => {
    const there = await setUp(t, [{}], { passTo: () => [here.proxy.address] });
    const here: TestSetup = await setUp(t, [{}], { passTo: () => [there.proxy.address] });
    const answer = await sendRequest(here.proxy.port, { headers: { "bm-request-id": "r1" } });
    assert.equal(answer.text, "ran r1");
    assert.deepEqual(there.backends[0]?.counts.runs, { r1: 1 });
    assert.deepEqual(here.backends[0]?.counts.runs, {});
    assert.equal(here.proxy.records[0]?.outcome, "passed");
});

test("a call is passed on to the next entry VM while the first can't be reached", async t => {
    const there = await setUp(t);
    const closed = await startBackend();
    await closed.close();
    const passTo = [closed.address, there.proxy.address];
    const here = await setUp(t, [{}], { passTo: () => passTo });
    const put = { method: "PUT", body: "x", headers: { "bm-request-id": "r1" } };
    assert.equal((await sendRequest(here.proxy.port, put)).text, "ran r1");
    passTo.pop();
    const none = await sendRequest(here.proxy.port, put);
    assert.deepEqual([none.headers["bm-error"], none.headers["bm-ran"]], ["no-server", "not run"]);
});

test("the issuer of an order's ticket runs it, whoever dispatches the service", async t => {
    const other = await setUp(t);
    const issuer = await setUp(t, [{}], { passTo: () => [other.proxy.address] });
    const answer = await sendOrder(issuer.proxy, "o1");
    assert.equal(answer.text, "ran o1");
    assert.deepEqual(issuer.backends[0]?.counts.runs, { o1: 1 });
    assert.deepEqual(other.backends[0]?.counts.runs, {});
});

test("an order runs once however often it is repeated, and each gets the answer", async t => {
    const { proxy, backends } = await setUp(t);
    const ticket = proxy.issueTicket();
    const answers = await Promise.all([1, 2, 3].map(() => sendOrder(proxy, "o1", { ticket })));
    answers.push(await sendOrder(proxy, "o1", { ticket }));
    assert.deepEqual(
        answers.map(answer => answer.text),
        Array.from(answers, () => "ran o1"),
    );
    assert.deepEqual(backends[0]?.counts.runs, { o1: 1 });
    assert.equal(answers.filter(answer => answer.headers["bm-replayed"] === "1").length, 3);
});

test("an idempotent call is sent again when its server refuses, can't be reached, or is lost", async t => {
    const closed = await startBackend();
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

test("retries stay within the call's own budget, and an answered 503 is tried again if idempotent", async t => {
    const { proxy, backends } = await setUp(t, [{ failFast: true, failStatus: 503 }, {}]);
    const put = (budget: string) =>
        sendRequest(proxy.port, { method: "PUT", body: "x", headers: { "bm-retry-budget": budget } });
    assert.equal((await put("0")).status, 503);
    assert.equal((await put("1")).status, 200);
    assert.equal((await sendOrder(proxy, "o")).status, 503);
    assert.deepEqual([proxy.dispatcher.slots.length, backends[1]?.counts.ran], [4, 1]);
    assert.equal(proxy.records[1]?.retries, 1);
});

test("the first of two copies wins; the other is cancelled", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 60_000 }, {}]);
    proxy.dispatcher.grantsHedges = true;
    const answer = await sendRequest(proxy.port, { method: "PUT", body: "small" });
    assert.equal(answer.status, 200);
    assert.deepEqual(proxy.dispatcher.settled.map(({ slot, result }) => [slot.hedge, result.kind]).sort(), [
        [false, "cancelled"],
        [true, "answered"],
    ]);
    assert.equal(backends[1]?.counts.ran, 1);
});
