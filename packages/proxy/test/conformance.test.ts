import assert from "node:assert/strict";
import { Agent, createServer, get, request, type RequestListener } from "node:http";
import { connect, createServer as createNetServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { repeatSendId } from "@bramleymoor/testkit/backend";
import {
    sendRequest,
    sendOrder,
    sendRaw,
    setUp,
    startProxy,
    waitUntil,
    type TestProxy,
    type TestProxyOptions,
} from "./setup.js";

/** Starts a call server in front of an HTTP server with the given request listener. */
const startProxyFor = async (
    t: TestContext,
    listener: RequestListener,
    options: Partial<TestProxyOptions> = {},
): Promise<TestProxy> => {
    const server = createServer((req, res) => {
        repeatSendId(req, res);
        listener(req, res);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const proxy = await startProxy({ ports: [(server.address() as AddressInfo).port], ...options });
    t.after(async () => {
        server.closeAllConnections();
        server.close();
        await proxy.server.stop(0);
    });
    return proxy;
};

/** Starts a call server in front of a server that responds to each connection's first data with raw text. */
const startProxyForRawServer = async (
    t: TestContext,
    text: string,
    end: "close" | "reset",
): Promise<TestProxy> => {
    const server = createNetServer((socket: Socket) => {
        socket.on("error", () => undefined);
        socket.once("data", () =>
            socket.write(text, () => (end === "close" ? socket.end() : socket.resetAndDestroy())),
        );
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const proxy = await startProxy({ ports: [(server.address() as AddressInfo).port] });
    t.after(async () => {
        server.close();
        await proxy.server.stop(0);
    });
    return proxy;
};

test("hop-by-hop headers aren't forwarded in either direction, and servers can't forge bm- headers", async t => {
    let seen: NodeJS.Dict<string | string[]> = {};
    const proxy = await startProxyFor(t, (req, res) => {
        seen = req.headers;
        res.writeHead(200, {
            Connection: "x-private",
            "X-Private": "1",
            "Keep-Alive": "timeout=9",
            "Proxy-Authenticate": "Basic",
            "bm-error": "overloaded",
            "bm-ran": "not run",
            "bm-replayed": "1",
            "Set-Cookie": ["a=1", "b=2"],
            "Retry-After": "3",
        });
        res.end("ok");
    });
    const headers = {
        Connection: "x-hop",
        "x-hop": "1",
        TE: "trailers",
        "Proxy-Authorization": "secret",
        "bm-ticket": "capability",
        "bm-tenant": "desk-1",
        "bm-depth": "2",
        "bm-deadline-ms": "4000",
        "bm-retry-budget": "5",
        "x-own": "kept",
    };
    const response = await sendRequest(proxy.port, { headers });
    for (const name of ["x-hop", "te", "proxy-authorization", "bm-ticket", "transfer-encoding"]) {
        assert.equal(seen[name], undefined, name);
    }
    assert.deepEqual([seen["x-own"], seen["bm-tenant"], seen["bm-depth"]], ["kept", "desk-1", "3"]);
    assert.equal(seen["bm-retry-budget"], "2");
    const remainingMs = Number(seen["bm-deadline-ms"]);
    assert.ok(remainingMs > 0 && remainingMs < 4000);
    for (const name of ["x-private", "proxy-authenticate", "bm-error", "bm-ran", "bm-replayed"]) {
        assert.equal(response.headers[name], undefined, name);
    }
    assert.deepEqual(
        [response.headers["set-cookie"], response.headers["retry-after"]],
        [["a=1", "b=2"], "3"],
    );
});

const postHead = "POST /v1/call/desk/list HTTP/1.1\r\nHost: x\r\n";

const malformedRequests: Readonly<Record<string, string>> = {
    "both Content-Length and Transfer-Encoding": `${postHead}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    "two Content-Length headers": `${postHead}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
    "a Content-Length that isn't a number": `${postHead}Content-Length: 4x\r\n\r\nabcd`,
    "a negative Content-Length": `${postHead}Content-Length: -1\r\n\r\n`,
    "an unknown transfer encoding": `${postHead}Transfer-Encoding: identity, chunked2\r\n\r\n`,
    "chunked isn't the last transfer encoding": `${postHead}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n`,
    "space before the colon": `${postHead}Content-Length : 4\r\n\r\nabcd`,
    "a folded header": `${postHead}X-A: 1\r\n  Content-Length: 4\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n`,
    "too many headers": `${postHead}${"X-A: 1\r\n".repeat(4000)}\r\n`,
    "an oversized header line": `${postHead}X-A: ${"a".repeat(100_000)}\r\n\r\n`,
    "an oversized request line": `GET /v1/call/desk/${"a".repeat(100_000)} HTTP/1.1\r\nHost: x\r\n\r\n`,
    "a NUL in a header": `${postHead}X-A: a\0b\r\n\r\n`,
    "a bare LF in the head": "GET /v1/call/desk/list HTTP/1.1\nHost: x\n\n",
    "not HTTP": "hello\r\n\r\n",
};

for (const [name, text] of Object.entries(malformedRequests)) {
    test(`refused without contacting a server: ${name}`, async t => {
        const { proxy, backends } = await setUp(t);
        const received = await sendRaw(proxy.port, text);
        assert.match(received, /^HTTP\/1\.1 400 /);
        assert.match(received, /"ran":"not run"/);
        assert.equal(backends[0]?.counts.connections, 0);
    });
}

test("invalid chunked encoding in a body closes both connections and prevents request smuggling", async t => {
    const { proxy, backends } = await setUp(t);
    const smuggled = "GET /v1/call/desk/list HTTP/1.1\r\nHost: x\r\n\r\n";
    const received = await sendRaw(
        proxy.port,
        `${postHead}Transfer-Encoding: chunked\r\n\r\n4\r\nabcdX\r\n${smuggled}`,
    );
    assert.doesNotMatch(received, / 200 /);
    await waitUntil(() => proxy.dispatcher.settled.length === proxy.dispatcher.slots.length);
    assert.equal(backends[0]?.counts.ran, 0);
});

test("a request head that arrives too slowly is refused", async t => {
    const { proxy } = await setUp(t, [{}], { limits: { headTimeoutMs: 100 } });
    assert.match(await sendRaw(proxy.port, "GET /v1/call/desk/list HTTP/1.1\r\nHost"), /took too long/);
});

test("upgrades and CONNECT tunnels are refused with an error response", async t => {
    const { proxy } = await setUp(t);
    const upgrade =
        "GET /v1/call/desk/list HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n";
    assert.match(
        await sendRaw(proxy.port, upgrade),
        /^HTTP\/1\.1 501 [^]*bm-error: upgrade-refused[^]*not run/,
    );
    assert.match(await sendRaw(proxy.port, "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"), /upgrade-refused/);
});

test("paths that servers may decode differently are refused", async t => {
    const { proxy, backends } = await setUp(t);
    for (const path of ["/list/../orders", "/%2e%2e/orders", "/a\\b", "/%zz", "/.%2E/orders"]) {
        const response = await sendRequest(proxy.port, { path: `/v1/call/desk${path}` });
        assert.equal(response.headers["bm-error"], "bad-request", path);
    }
    for (const path of ["/%6frders", "//orders"]) {
        const response = await sendRequest(proxy.port, { method: "POST", path: `/v1/call/desk${path}` });
        assert.equal(response.headers["bm-error"], "request-id-missing", path);
    }
    assert.equal(backends[0]?.counts.ran, 0);
});

test("invalid headers, unknown paths and services, and too deep call trees get their error kinds", async t => {
    const { proxy } = await setUp(t);
    const kind = async (path: string, headers: Readonly<Record<string, string>> = {}) =>
        (await sendRequest(proxy.port, { path, headers })).headers["bm-error"];
    assert.equal(await kind("/v1/call/desk/list", { "bm-deadline-ms": "soon" }), "bad-header");
    assert.equal(await kind("/v1/call/desk/list", { "bm-tenant": "a b" }), "bad-header");
    assert.equal(await kind("/v1/call/desk/list", { "bm-class": "order" }), "bad-header");
    assert.equal(await kind("/v1/call/desk/list", { "bm-depth": "6" }), "depth-exceeded");
    assert.equal(await kind("/v1/call/none/list"), "unknown-service");
    assert.equal(await kind("/else"), "unknown-path");
    const declared = await sendOrder(proxy, "o", { headers: { "bm-class": "rest" } });
    assert.equal(declared.headers["bm-error"], "bad-header");
});

test("responses to HEAD and with status 204 or 304 have no body and keep the connection usable", async t => {
    const proxy = await startProxyFor(t, (req, res) => {
        res.statusCode = Number(req.url?.slice(1)) || 200;
        res.setHeader("ETag", "x");
        res.end(res.statusCode === 200 ? "body" : undefined);
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    t.after(() => agent.destroy());
    for (const [method, path, text] of [
        ["HEAD", "/200", ""],
        ["GET", "/204", ""],
        ["GET", "/304", ""],
        ["GET", "/200", "body"],
    ] as const) {
        const response = await sendRequest(proxy.port, { method, path: `/v1/call/desk${path}`, agent });
        assert.deepEqual(
            [response.status, response.text, response.complete],
            [Number(path.slice(1)), text, true],
        );
        assert.equal(response.headers.etag, "x");
    }
});

test("an accepted call gets 100 Continue, and a refused one doesn't", async t => {
    const { proxy } = await setUp(t);
    const send = (path: string) =>
        new Promise<readonly [boolean, number]>((resolve, reject) => {
            let continued = false;
            const headers = { Expect: "100-continue", "Content-Length": "5" };
            const req = request({ port: proxy.port, method: "PUT", path, headers, agent: false });
            req.on("continue", () => {
                continued = true;
                req.end("hello");
            });
            req.on("response", res => resolve([continued, res.resume().statusCode ?? 0]));
            req.on("error", reject);
            req.flushHeaders();
        });
    assert.deepEqual(await send("/v1/call/desk/list"), [true, 200]);
    assert.deepEqual(await send("/v1/call/none/list"), [false, 404]);
});

test("trailers are forwarded in both directions", async t => {
    const proxy = await startProxyFor(t, (req, res) => {
        req.resume().on("end", () => {
            res.writeHead(200, { Trailer: "x-sum" });
            res.write("ok");
            res.addTrailers({ "x-sum": String(req.trailers["x-check"]) });
            res.end();
        });
    });
    const text = `${postHead}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\nX-Check: 7\r\n\r\n`;
    assert.match(await sendRaw(proxy.port, text), /\r\n0\r\nx-sum: 7\r\n\r\n$/i);
});

const truncatedResponses: Readonly<Record<string, string>> = {
    "with Content-Length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this",
    "between chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nonly this\r\n",
    "inside a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nonly this",
};

for (const [name, text] of Object.entries(truncatedResponses)) {
    for (const end of ["close", "reset"] as const) {
        test(`a response truncated ${name} by ${end} never looks complete`, async t => {
            const proxy = await startProxyForRawServer(t, text, end);
            const response = await sendRequest(proxy.port).catch(() => undefined);
            assert.ok(!response || !response.complete || response.headers["bm-error"] === "server-lost");
            const http10 = await sendRaw(proxy.port, "GET /v1/call/desk/list HTTP/1.0\r\n\r\n");
            assert.ok(!/\r\n0\r\n\r\n$/.test(http10));
            assert.ok(proxy.dispatcher.settled.every(({ result }) => result.kind === "lost"));
        });
    }
}

test("a response with neither length nor chunked encoding is refused, as truncation would go unnoticed", async t => {
    const proxy = await startProxyForRawServer(t, "HTTP/1.1 200 OK\r\n\r\nall of it?", "close");
    assert.equal((await sendRequest(proxy.port)).headers["bm-error"], "server-lost");
});

test("a response with both Content-Length and Transfer-Encoding is refused", async t => {
    const text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    const proxy = await startProxyForRawServer(t, text, "close");
    assert.equal((await sendRequest(proxy.port)).headers["bm-error"], "server-lost");
});

test("a caller that disconnects cancels its request, whether queued or sent", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 60_000 }]);
    const rawRequest = "GET /v1/call/desk/list HTTP/1.1\r\nHost: x\r\n\r\n";
    const sent = connect(proxy.port, "127.0.0.1").setEncoding("latin1");
    sent.write(rawRequest);
    await waitUntil(() => backends[0]?.counts.inFlight === 1);
    sent.destroy();
    await waitUntil(() => backends[0]?.counts.inFlight === 0);
    assert.deepEqual(proxy.dispatcher.settled[0]?.result, { kind: "cancelled" });
    proxy.dispatcher.holdsCalls = true;
    const queued = connect(proxy.port, "127.0.0.1");
    queued.write(rawRequest);
    await waitUntil(() => proxy.dispatcher.heldGrants.length === 1);
    queued.destroy();
    await waitUntil(() => proxy.records.length === 2);
    proxy.dispatcher.heldGrants.forEach(grant => grant());
    assert.equal(proxy.dispatcher.slots.length, 1);
});

test("when the deadline passes, a queued request is reported as not run, and a sent one is cancelled as unknown", async t => {
    const { proxy, backends } = await setUp(t, [{ serviceMs: 60_000 }]);
    const headers = { "bm-deadline-ms": "40" };
    const sent = await sendRequest(proxy.port, { headers });
    assert.deepEqual([sent.headers["bm-error"], sent.status], ["deadline-sent", 504]);
    assert.deepEqual(proxy.dispatcher.settled[0]?.result, { kind: "timeout" });
    await waitUntil(() => backends[0]?.counts.inFlight === 0);
    proxy.dispatcher.holdsCalls = true;
    const queued = await sendRequest(proxy.port, { headers });
    assert.deepEqual([queued.headers["bm-error"], queued.headers["bm-ran"]], ["deadline-queued", "not run"]);
});

test("late and reordered responses on reused connections reach the right callers", async t => {
    const proxy = await startProxyFor(t, (req, res) => {
        const id = String(req.headers["bm-request-id"]);
        setTimeout(() => res.end(id.repeat(1000)), (Number(id) * 7) % 13);
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 8 });
    t.after(() => agent.destroy());
    const ids = Array.from({ length: 200 }, (_, i) => String(1000 + i));
    const responses = await Promise.all(
        ids.map(id => sendRequest(proxy.port, { agent, headers: { "bm-request-id": id } })),
    );
    assert.deepEqual(
        responses.map(response => response.text),
        ids.map(id => id.repeat(1000)),
    );
});

test("pipelined calls get their responses in order", async t => {
    const proxy = await startProxyFor(t, (req, res) => {
        const id = String(req.headers["bm-request-id"]);
        setTimeout(() => res.end(`<${id}>`), id === "1" ? 20 : 0);
    });
    const call = (id: number, more: string) =>
        `GET /v1/call/desk/list HTTP/1.1\r\nHost: x\r\nbm-request-id: ${id}\r\n${more}\r\n`;
    const received = await sendRaw(proxy.port, call(1, "") + call(2, "") + call(3, "Connection: close\r\n"));
    assert.deepEqual(received.match(/<\d>/g), ["<1>", "<2>", "<3>"]);
});

test("a caller that doesn't read causes backpressure at the server, and then gets the complete response", async t => {
    const block = Buffer.alloc(65_536, "x");
    const blockCount = 1600;
    let written = 0;
    const proxy = await startProxyFor(t, (_req, res) => {
        res.writeHead(200, { "Content-Length": String(block.length * blockCount) });
        const writeMore = (): void => {
            while (written < blockCount) {
                written++;
                if (!res.write(block)) {
                    res.once("drain", writeMore);
                    return;
                }
            }
            res.end();
        };
        writeMore();
    });
    const received = await new Promise<number>((resolve, reject) => {
        get({ port: proxy.port, path: "/v1/call/desk/list", agent: false }, res => {
            let bytes = 0;
            setTimeout(() => {
                assert.ok(written < blockCount, `${written} blocks written before any was read`);
                res.on("data", (chunk: Buffer) => (bytes += chunk.length));
                res.on("end", () => resolve(bytes));
            }, 200);
        }).on("error", reject);
    });
    assert.equal(received, block.length * blockCount);
});

test("large bodies are streamed in both directions", async t => {
    const size = 20_000_000;
    const proxy = await startProxyFor(t, (req, res) => {
        res.writeHead(200, { "Content-Length": String(size) });
        req.pipe(res);
    });
    const received = await new Promise<number>((resolve, reject) => {
        const req = request({ port: proxy.port, method: "PUT", path: "/v1/call/desk/list", agent: false });
        req.on("response", res => {
            let bytes = 0;
            res.on("data", (chunk: Buffer) => (bytes += chunk.length));
            res.on("end", () => resolve(bytes));
        });
        req.on("error", reject);
        req.end(Buffer.alloc(size, "x"));
    });
    assert.equal(received, size);
    assert.equal(proxy.records[0]?.bytesOut, size);
});
