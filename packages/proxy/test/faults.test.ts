import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import type { ResetPoint } from "@bramleymoor/testkit/backend";
import { sendRequest, sendOrder, setUp, startProxy, type TestResponse, type TestProxy } from "./setup.js";

/** Returns whether a response claims that the request did not run. */
const claimsNotRun = (response: TestResponse): boolean => response.headers["bm-ran"] === "not run";

const errorKindOf = (response: TestResponse): string => String(response.headers["bm-error"]);

const resetPoints: readonly (readonly [ResetPoint, number])[] = [
    ["before-reading", 0],
    ["while-reading", 0],
    ["after-reading", 1],
];

for (const [cut, runs] of resetPoints) {
    test(`if a server closes the connection ${cut}, every attempt reports outcome unknown and none runs again`, async t => {
        const { proxy, backends } = await setUp(t, [{ cut }, {}]);
        const ticket = proxy.issueTicket();
        const body = "x".repeat(50_000);
        const first = await sendOrder(proxy, "o", { ticket, body });
        const second = await sendOrder(proxy, "o", { ticket, body, headers: { "bm-attempt": "2" } });
        assert.deepEqual([errorKindOf(first), errorKindOf(second)], ["server-lost", "server-lost"]);
        assert.equal(first.headers["bm-ran"], "outcome unknown");
        assert.equal(backends[0]?.counts.runs["o"] ?? 0, runs);
        assert.equal(backends[1]?.counts.ran, 0);
    });
}

test("if a server closes the connection while responding, the caller gets a truncated body and a retry doesn't run", async t => {
    const { proxy, backends } = await setUp(t, [{ cut: "while-answering" }, {}]);
    const ticket = proxy.issueTicket();
    const first = await sendOrder(proxy, "o", { ticket });
    assert.deepEqual([first.status, first.complete], [200, false]);
    const second = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.equal(errorKindOf(second), "server-lost");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
    assert.equal(backends[1]?.counts.ran, 0);
});

interface RawServer {
    readonly port: number;
    /** Number of requests read completely. */
    readonly requestsRead: () => number;
    readonly connections: () => number;
}

/** Starts a server that resets connections after reading `readBytes`, or after writing `writeBytes` of its response. */
const startResettingServer = async (
    t: TestContext,
    readBytes: number,
    writeBytes: number,
): Promise<RawServer> => {
    let runs = 0;
    let connections = 0;
    const sockets = new Set<Socket>();
    const server: Server = createServer(socket => {
        let received = "";
        connections++;
        sockets.add(socket);
        socket.on("error", () => undefined);
        const check = (): void => {
            runs += received.endsWith("order o") ? 1 : 0;
            if (received.length >= readBytes) {
                socket.resetAndDestroy();
            } else if (received.endsWith("order o")) {
                socket.write(rawResponse.slice(0, writeBytes), () => socket.resetAndDestroy());
            }
        };
        socket.on("data", chunk => {
            received += chunk.toString();
            check();
        });
        if (readBytes === 0) {
            check();
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    return { port, requestsRead: () => runs, connections: () => connections };
};

const rawResponse = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone";

test("a request whose connection is reset at any byte is never reported as not run and never runs twice", async t => {
    for (const bytes of [1, 100, 200, 250, 300]) {
        const server = await startResettingServer(t, bytes, 0);
        const proxy = await startProxy({ ports: [server.port] });
        t.after(() => proxy.server.stop(0));
        const ticket = proxy.issueTicket();
        const first = await sendOrder(proxy, "o", { ticket });
        const second = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
        assert.deepEqual(
            [errorKindOf(first), errorKindOf(second)],
            ["server-lost", "server-lost"],
            `after ${bytes}`,
        );
        assert.equal(server.connections(), 1);
    }
});

test("if a connection is reset before a byte is read, only a request that didn't run is reported as not run", async t => {
    const server = await startResettingServer(t, 0, 0);
    const proxy = await startProxy({ ports: [server.port] });
    t.after(() => proxy.server.stop(0));
    const first = await sendOrder(proxy, "o");
    assert.ok(["connect-failed", "server-lost"].includes(errorKindOf(first)));
    assert.equal(server.requestsRead(), 0);
});

test("if the connection is reset at any byte of the response, no attempt looks complete or not run, and none runs again", async t => {
    for (let bytes = 0; bytes < rawResponse.length; bytes++) {
        const server = await startResettingServer(t, Infinity, bytes);
        const proxy = await startProxy({ ports: [server.port] });
        t.after(() => proxy.server.stop(0));
        const ticket = proxy.issueTicket();
        const first = await sendOrder(proxy, "o", { ticket }).catch(() => undefined);
        assert.ok(!first || first.headers["bm-error"] === "server-lost" || !first.complete, `after ${bytes}`);
        const second = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
        assert.equal(second.headers["bm-ran"], "outcome unknown", `after ${bytes}`);
        assert.deepEqual([server.requestsRead(), server.connections()], [1, 1]);
    }
});

/** Starts a server that resets each connection at the first byte of its second request. */
const startClosingServer = async (t: TestContext): Promise<RawServer> => {
    let connections = 0;
    let runs = 0;
    const server = createServer(socket => {
        let responded = false;
        connections++;
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            if (responded) {
                socket.resetAndDestroy();
                return;
            }
            responded = true;
            runs++;
            const sendId = /bm-send-id: \S+\r\n/.exec(chunk.toString("latin1"))?.[0] ?? "";
            socket.write(`HTTP/1.1 200 OK\r\n${sendId}Content-Length: 2\r\n\r\nok`);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    return { port, requestsRead: () => runs, connections: () => connections };
};

test("if an idle connection closes as it is reused, an order reports outcome unknown and a lookup is retried", async t => {
    const server = await startClosingServer(t);
    const proxy = await startProxy({ ports: [server.port] });
    t.after(() => proxy.server.stop(0));
    assert.equal((await sendOrder(proxy, "o1")).status, 200);
    const raced = await sendOrder(proxy, "o2");
    assert.deepEqual([errorKindOf(raced), raced.headers["bm-ran"]], ["server-lost", "outcome unknown"]);
    assert.equal(server.requestsRead(), 1);
    assert.equal((await sendRequest(proxy.port)).status, 200);
    assert.equal((await sendRequest(proxy.port)).status, 200);
});

test("a request refused by a draining server is reported as not run, and only a higher attempt runs later", async t => {
    const { proxy, backends } = await setUp(t, [{ draining: true }]);
    const backend = backends[0];
    assert.ok(backend);
    const ticket = proxy.issueTicket();
    const first = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.deepEqual([errorKindOf(first), claimsNotRun(first)], ["server-refused", true]);
    assert.ok(Number(first.headers["bm-retry-after-ms"]) > 0);
    backend.behavior.draining = false;
    const late = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "1" } });
    assert.deepEqual([errorKindOf(late), backend.counts.ran], ["server-refused", 0]);
    const retry = await sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "3" } });
    assert.deepEqual([retry.text, backend.counts.runs], ["ran o", { o: 1 }]);
});

test("a duplicate with another body, method or path is a conflict; another caller may use the same request id", async t => {
    const { proxy, backends } = await setUp(t);
    const ticket = proxy.issueTicket();
    await sendOrder(proxy, "o", { ticket, body: "first" });
    const others = await Promise.all([
        sendOrder(proxy, "o", { ticket, body: "other" }),
        sendOrder(proxy, "o", { ticket, path: "/v1/call/desk/orders/2", body: "first" }),
        sendOrder(proxy, "o", { ticket, method: "PUT", body: "first" }),
        sendOrder(proxy, "o", { ticket, body: "x".repeat(100_000) }),
    ]);
    assert.deepEqual(others.map(errorKindOf), Array(4).fill("request-conflict"));
    assert.ok(others.every(response => !response.text.includes("ran o")));
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
    const otherCaller = await sendOrder(proxy, "o", { body: "first" });
    assert.equal(otherCaller.headers["bm-replayed"], undefined);
    assert.equal(backends[0]?.counts.ran, 2);
});

test("a stored response is replayed byte for byte, including headers", async t => {
    const { proxy, backends } = await setUp(t, [{ answerText: "jibu: z\u00fc \u20ac\u0000" }]);
    const ticket = proxy.issueTicket();
    const [first, replayed] = [
        await sendOrder(proxy, "o", { ticket }),
        await sendOrder(proxy, "o", { ticket }),
    ];
    assert.equal(Buffer.from(replayed.text, "latin1").toString(), "jibu: z\u00fc \u20ac\u0000");
    assert.equal(replayed.text, first.text);
    assert.equal(replayed.headers["content-length"], first.headers["content-length"]);
    assert.equal(backends[0]?.counts.ran, 1);
});

test("a full table refuses requests before they are sent, and an expired ticket reports outcome unknown", async t => {
    const { proxy, backends } = await setUp(t, [{}], { onceLimits: { maxEntries: 1 } });
    const ticket = proxy.issueTicket();
    await sendOrder(proxy, "o1", { ticket });
    const full = await sendOrder(proxy, "o2", { ticket });
    assert.deepEqual([errorKindOf(full), claimsNotRun(full)], ["table-full", true]);
    const later = await sendOrder(proxy, "o2", { ticket, headers: { "bm-attempt": "2" } });
    assert.deepEqual([errorKindOf(later), claimsNotRun(later)], ["table-full", true]);
    const fuller = await sendOrder(proxy, "o3", { ticket });
    assert.deepEqual([errorKindOf(fuller), fuller.headers["bm-ran"]], ["not-decided", "outcome unknown"]);
    proxy.clockOffsetMs = 70_000;
    const expired = await sendOrder(proxy, "o1", { ticket });
    assert.deepEqual(
        [errorKindOf(expired), expired.headers["bm-ran"]],
        ["ticket-expired", "outcome unknown"],
    );
    assert.deepEqual(backends[0]?.counts.runs, { o1: 1 });
});

test("a check that precedes the table never reports a retry as not run", async t => {
    const { proxy, backends } = await setUp(t);
    const ticket = proxy.issueTicket();
    const retry = (headers: Readonly<Record<string, string>>) =>
        sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2", ...headers } });
    await sendOrder(proxy, "o", { ticket });
    assert.equal((await retry({ "bm-depth": "7" })).text, "ran o");
    assert.ok(!claimsNotRun(await retry({ "bm-deadline-ms": "0" })));
    const service = proxy.service;
    assert.ok(service);
    proxy.service = { ...service, classes: service.classes.slice(1) };
    assert.equal((await retry({})).text, "ran o");
    assert.equal((await retry({ "bm-class": "order" })).text, "ran o");
    proxy.service = undefined;
    assert.equal((await retry({})).text, "ran o");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

/** Starts a second call server that knows the first one as an issuer. */
const startSecondProxy = async (
    t: TestContext,
    first: TestProxy,
    ports: readonly number[],
): Promise<TestProxy> => {
    const proxy = await startProxy({
        ports,
        incarnation: "inc-b",
        findIssuer: incarnation => (incarnation === "inc-a" ? first.address : "gone"),
    });
    t.after(() => proxy.server.stop(0));
    return proxy;
};

test("another entry VM forwards copies of an order to its issuer while the issuer runs it", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 20 }]);
    const second = await startSecondProxy(t, proxy, [backends[0]?.port ?? 0]);
    const ticket = proxy.issueTicket();
    const responses = await Promise.all([
        sendOrder(second, "o", { ticket }),
        sendOrder(proxy, "o", { ticket, headers: { "bm-attempt": "2" } }),
        sendOrder(second, "o", { ticket, headers: { "bm-attempt": "3" } }),
        sendOrder(second, "o", { ticket, body: "another" }),
    ]);
    assert.deepEqual(
        responses.slice(0, 3).map(response => response.text),
        ["ran o", "ran o", "ran o"],
    );
    assert.equal(errorKindOf(responses[3] as TestResponse), "request-conflict");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

test("if the issuer is gone, unreachable or replaced, orders report outcome unknown and nothing runs", async t => {
    const { proxy, backends } = await setUp(t);
    const ports = [backends[0]?.port ?? 0];
    const second = await startSecondProxy(t, proxy, ports);
    const gone = await sendOrder(second, "o", { ticket: proxy.issueTicket().replace("inc-a", "inc-z") });
    assert.deepEqual([errorKindOf(gone), gone.headers["bm-ran"]], ["issuer-gone", "outcome unknown"]);
    const ticket = proxy.issueTicket();
    const replaced = await sendOrder(proxy, "o", {
        ticket: second.issueTicket(),
        headers: { "bm-forwarded": "1" },
    });
    assert.deepEqual([errorKindOf(replaced), replaced.headers["bm-ran"]], ["issuer-gone", "outcome unknown"]);
    await proxy.server.stop(0);
    const refused = await sendOrder(second, "o", { ticket });
    assert.deepEqual(
        [errorKindOf(refused), refused.headers["bm-ran"]],
        ["issuer-unreachable", "outcome unknown"],
    );
    assert.equal(backends[0]?.counts.ran, 0);
});
