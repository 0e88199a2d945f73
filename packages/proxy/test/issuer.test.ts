import assert from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { connect } from "node:net";
import { createInterface } from "node:readline";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import type { FakeBackend } from "@bramleymoor/testkit/backend";
import { sendOrder, setUp, waitUntil, type TestResponse, type TestProxy } from "./setup.js";

interface IssuerProcess {
    readonly process: ChildProcess;
    readonly ticket: string;
}

interface IssuerSetup {
    /** Call server of another entry VM, which forwards orders to the issuer. */
    readonly proxy: TestProxy;
    readonly backend: FakeBackend;
    readonly issuer: IssuerProcess;
}

const setUpIssuer = async (t: TestContext, serviceMs: number): Promise<IssuerSetup> => {
    let address = "gone";
    const { proxy, backends } = await setUp(t, [{ serviceMs }], {
        findIssuer: incarnation => (incarnation === "inc-child" ? address : "gone"),
    });
    const backend = backends[0];
    assert.ok(backend);
    const main = fileURLToPath(new URL("issuer-main.js", import.meta.url));
    const child = spawn(process.execPath, [main, String(backend.port)], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    t.after(() => child.kill("SIGKILL"));
    const line = await new Promise<string>(resolve =>
        createInterface({ input: child.stdout }).once("line", resolve),
    );
    const { port, ticket } = JSON.parse(line) as { readonly port: number; readonly ticket: string };
    address = `127.0.0.1:${port}`;
    return { proxy, backend, issuer: { process: child, ticket } };
};

const ranHeader = (response: TestResponse): string => String(response.headers["bm-ran"]);

test("if the issuer is killed while a request runs, every attempt reports outcome unknown and it has run once", async t => {
    const { proxy, backend, issuer } = await setUpIssuer(t, 60_000);
    const first = sendOrder(proxy, "o", { ticket: issuer.ticket });
    await waitUntil(() => backend.counts.ran === 1);
    issuer.process.kill("SIGKILL");
    assert.equal(ranHeader(await first), "outcome unknown");
    const retry = await sendOrder(proxy, "o", { ticket: issuer.ticket, headers: { "bm-attempt": "2" } });
    assert.equal(ranHeader(retry), "outcome unknown");
    assert.deepEqual(backend.counts.runs, { o: 1 });
});

test("if the issuer is paused past the caller's deadline and resumed, the request runs at most once", async t => {
    const { proxy, backend, issuer } = await setUpIssuer(t, 0);
    const sendAttempt = (attempt: number, deadlineMs: number) =>
        sendOrder(proxy, "o", {
            ticket: issuer.ticket,
            headers: { "bm-attempt": String(attempt), "bm-deadline-ms": String(deadlineMs) },
        });
    issuer.process.kill("SIGSTOP");
    const late = await Promise.all([sendAttempt(1, 50), sendAttempt(2, 60)]);
    assert.deepEqual(late.map(ranHeader), ["outcome unknown", "outcome unknown"]);
    assert.equal(backend.counts.ran, 0);
    const waiting = sendAttempt(3, 60_000);
    issuer.process.kill("SIGCONT");
    const response = await waiting;
    // On resuming, the issuer starts the first attempt with its remaining deadline, which may pass on a slow machine.
    if (response.status !== 200) {
        assert.equal(ranHeader(response), "outcome unknown");
    }
    await waitUntil(() => backend.counts.inFlight === 0);
    assert.deepEqual(backend.counts.runs, { o: 1 });
});

test("a caller that disconnects after sending a request gets its response on a retry", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 30 }]);
    const ticket = proxy.issueTicket();
    const body = "order o";
    const head = `POST /v1/call/desk/orders HTTP/1.1\r\nHost: x\r\nbm-ticket: ${ticket}\r\nbm-request-id: o\r\n`;
    const socket = connect(proxy.port, "127.0.0.1");
    socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    await waitUntil(() => backends[0]?.counts.ran === 1);
    socket.destroy();
    const retry = await sendOrder(proxy, "o", { ticket, body, headers: { "bm-attempt": "2" } });
    assert.equal(retry.text, "ran o");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

test("if a caller disconnects while its order is queued, the order doesn't run and a retry starts anew", async t => {
    const { proxy, backends } = await setUp(t);
    const ticket = proxy.issueTicket();
    proxy.dispatcher.holdsCalls = true;
    const head = `POST /v1/call/desk/orders HTTP/1.1\r\nHost: x\r\nbm-ticket: ${ticket}\r\nbm-request-id: o\r\n`;
    const socket = connect(proxy.port, "127.0.0.1");
    socket.write(`${head}Content-Length: 7\r\n\r\norder o`);
    await waitUntil(() => proxy.dispatcher.heldGrants.length === 1);
    socket.destroy();
    await waitUntil(() => proxy.records.length === 1);
    assert.equal(proxy.records[0]?.outcome, "cancelled");
    proxy.dispatcher.heldGrants.forEach(grant => grant());
    proxy.dispatcher.holdsCalls = false;
    const copy = await sendOrder(proxy, "o", { ticket });
    assert.deepEqual([copy.headers["bm-error"], backends[0]?.counts.ran], ["caller-gone", 0]);
    const retry = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.equal(retry.text, "ran o");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

test("if a caller disconnects while uploading an order, the request to the server is aborted", async t => {
    const { proxy, backends } = await setUp(t);
    const ticket = proxy.issueTicket();
    const head = `POST /v1/call/desk/orders HTTP/1.1\r\nHost: x\r\nbm-ticket: ${ticket}\r\nbm-request-id: o\r\n`;
    const socket = connect(proxy.port, "127.0.0.1");
    socket.write(`${head}Content-Length: 1000000\r\n\r\n${"x".repeat(500_000)}`);
    await waitUntil(() => backends[0]?.counts.inFlight === 1);
    socket.destroy();
    await waitUntil(() => proxy.dispatcher.settled.length === 1);
    assert.equal(proxy.dispatcher.settled[0]?.result.kind, "cancelled");
    const retry = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.equal(ranHeader(retry), "outcome unknown");
    assert.equal(backends[0]?.counts.ran, 0);
});
