import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
    responseText,
    requestText,
    sendRaw,
    startRawServer,
    startFrontend,
    type RawServer,
    type RequestHandler,
    type TestFrontend,
} from "./setup.js";

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);

const refuse: RequestHandler = ({ socket, id }) =>
    socket.write(`HTTP/1.1 503 Busy\r\nt-id: ${id}\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n`);

const closeConnection: RequestHandler = ({ socket }) => socket.destroy();

/** Starts a frontend that sends non-idempotent requests on pooled connections, however long these have been idle. */
const startReusingFrontend = (t: TestContext, server: RawServer): Promise<TestFrontend> =>
    startFrontend(t, [server], { kind: "non-idempotent", maxAttempts: 3 }, { idleClock: () => 0 });

const postText = (id: string): string =>
    requestText(id, { method: "POST", body: "x", extra: "Connection: close\r\n" });

const countRequests = (servers: readonly RawServer[], id: string): number =>
    servers.reduce((sum, it) => sum + it.requests.filter(request => request.id === id).length, 0);

test("a request is sent to at most as many servers as its route allows", async t => {
    const servers = await Promise.all(["s1", "s2", "s3", "s4"].map(id => startRawServer(t, id, refuse)));
    const { port } = await startFrontend(t, servers, { maxAttempts: 2 });
    const result = await sendRaw(port, requestText("a"));
    assert.equal(status(result.text), 503);
    assert.match(result.text, /retry-after: /i);
    assert.equal(countRequests(servers, "a"), 2);
});

test("repeated sends to the same server count as attempts", async t => {
    const server = await startRawServer(t, "s1", refuse);
    const { port, records } = await startFrontend(t, [server], { maxAttempts: 2 });
    const result = await sendRaw(port, requestText("a"));
    assert.equal(status(result.text), 503);
    assert.equal(server.requests.length, 2);
    assert.deepEqual(records[0]?.servers, ["s1", "s1"]);
});

test("a non-idempotent request is retried only if the server says that it didn't run", async t => {
    const servers = await Promise.all([
        startRawServer(t, "s1", closeConnection),
        startRawServer(t, "s2", closeConnection),
    ]);
    const { port } = await startFrontend(t, servers, { kind: "non-idempotent", maxAttempts: 2 });
    const lost = await sendRaw(port, requestText("lost", { method: "POST", body: "x" }));
    assert.equal(status(lost.text), 502, "a status that doesn't guarantee that the request did not run");
    assert.match(lost.text, /look whether it took effect before sending it as a new request/);
    assert.equal(countRequests(servers, "lost"), 1);
    const refusing = await Promise.all([startRawServer(t, "s1", refuse), startRawServer(t, "s2", refuse)]);
    const other = await startFrontend(t, refusing, { kind: "non-idempotent", maxAttempts: 2 });
    await sendRaw(other.port, requestText("refused", { method: "POST", body: "x" }));
    assert.equal(countRequests(refusing, "refused"), 2);
});

test("a late copy of a refusal of another request isn't a refusal of the one in progress", async t => {
    const server = await startRawServer(t, "s1", request => {
        const { socket, id, indexOnConnection } = request;
        if (id === "first") {
            refuse(request);
            return;
        }
        if (indexOnConnection > 0) {
            refuse({ ...request, id: "first" });
        }
        setTimeout(() => socket.write(responseText(id, "ran")), 30);
    });
    const { port } = await startReusingFrontend(t, server);
    const first = await sendRaw(port, postText("first"));
    const second = await sendRaw(port, postText("second"));
    assert.equal(status(first.text), 503);
    assert.equal(countRequests([server], "second"), 1);
    assert.ok((server.requests.at(-1)?.indexOnConnection ?? 0) > 0, "the connection was reused");
    assert.notEqual(status(second.text), 503);
});

test("a copy of a probe's refusal isn't a refusal of the request that follows on the connection", async t => {
    const refusal = "HTTP/1.1 503 Busy\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n";
    const probed = new Set<Socket>();
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            if (probed.has(socket)) {
                socket.write(refusal);
            }
            setTimeout(() => socket.write(responseText(id, "ran")), 30);
        },
        {
            answerProbe: socket => {
                probed.add(socket);
                socket.write(refusal);
            },
        },
    );
    const { port } = await startReusingFrontend(t, server);
    for (const id of ["a", "b", "c"]) {
        const result = await sendRaw(port, postText(id));
        assert.equal(countRequests([server], id), 1, `${id} ran more than once`);
        assert.notEqual(status(result.text), 503, `${id} ran, and was said not to have`);
    }
    assert.ok(probed.size > 0, "probes were refused");
    assert.ok(!server.requests.some(it => probed.has(it.socket)), "their connections are not reused");
});

test("a copy of a request's own refusal isn't a refusal of its repeat", async t => {
    let runs = 0;
    const server = await startRawServer(t, "s1", request => {
        const { socket, id } = request;
        const isRepeat = countRequests([server], id) > 1;
        if (!isRepeat) {
            refuse(request);
            return;
        }
        runs++;
        if (request.indexOnConnection > 0) {
            refuse(request);
        }
        setTimeout(() => socket.write(responseText(id, "ran")), 30);
    });
    const { port } = await startReusingFrontend(t, server);
    for (const id of ["a", "b", "c"]) {
        const result = await sendRaw(port, postText(id));
        assert.match(result.text, /ran$/, id);
    }
    assert.equal(runs, 3);
});

test("a late copy of a refusal that arrives with the next request is neither relayed nor counted as its result", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const refusal = `HTTP/1.1 503 Busy\r\nt-id: ${id}\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n`;
        socket.write(responseText(id, `for ${id}`));
        setTimeout(() => socket.write(refusal), 5);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 3 });
    for (const id of ["a", "b", "c"]) {
        const result = await sendRaw(port, requestText(id));
        assert.match(result.text, new RegExp(`for ${id}$`));
    }
});

test("retries stay within a share of the requests plus the slack", async t => {
    const servers = await Promise.all([startRawServer(t, "s1", refuse), startRawServer(t, "s2", refuse)]);
    const { port } = await startFrontend(t, servers, { maxAttempts: 2 });
    const count = 120;
    for (let i = 0; i < count; i++) {
        await sendRaw(port, requestText(`q${i}`, { extra: "Connection: close\r\n" }));
    }
    const retries = servers.reduce((sum, it) => sum + it.requests.length, 0) - count;
    assert.ok(retries > 0 && retries <= 0.2 * count + 20, `${retries} retries of ${count} requests`);
});

test("a request to a server that doesn't respond fails after the route's timeout", async t => {
    const silent = await startRawServer(t, "s1", () => undefined);
    const { port, records } = await startFrontend(t, [silent], { timeoutMs: 300, maxAttempts: 1 });
    const startedAt = performance.now();
    const result = await sendRaw(port, requestText("a"));
    const elapsedMs = performance.now() - startedAt;
    assert.equal(status(result.text), 504);
    assert.ok(elapsedMs < 300 + 500, `${elapsedMs} ms`);
    assert.equal(records[0]?.outcome, "deadline-sent");
    const socket = silent.requests[0]?.socket;
    assert.ok(socket);
    if (!socket.destroyed) {
        await once(socket, "close", { signal: AbortSignal.timeout(1_000) });
    }
});

test("an idempotent request to a server that has fallen silent is sent to another one before its time is up", async t => {
    const silent = await startRawServer(t, "s1", () => undefined);
    const good = await startRawServer(t, "s2", ({ socket, id }) => socket.write(responseText(id, "ok")));
    const { port } = await startFrontend(t, [silent, good], { timeoutMs: 2_000, maxAttempts: 2 });
    const results = await Promise.all(["a", "b", "c", "d"].map(id => sendRaw(port, requestText(id))));
    assert.ok(silent.requests.length > 0, "the silent server got requests");
    assert.deepEqual(
        results.map(it => status(it.text)),
        [200, 200, 200, 200],
    );
});

test("the rest of a long body that a server responded to early is not read as another request", async t => {
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => socket.write(responseText(id, "early")),
        {
            handlesHeads: true,
        },
    );
    const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
    const body = "GET /smuggled HTTP/1.1\r\nt-id: evil\r\n\r\n".repeat(20_000);
    const socket = connect(port, "127.0.0.1");
    const whole = requestText("long", { method: "POST", body });
    socket.write(whole.slice(0, 400_000));
    const [early] = (await once(socket, "data")) as [Buffer];
    assert.match(early.toString(), /early$/);
    socket.write(whole.slice(400_000));
    for (const id of ["next", "later"]) {
        const result = await sendRaw(port, requestText(id, { method: "POST", body: "short" }));
        assert.equal(status(result.text), 200);
    }
    socket.destroy();
    assert.deepEqual(
        server.requests.map(it => it.id),
        ["long", "next", "later"],
    );
    const [first, ...others] = server.requests.map(it => it.socket);
    assert.ok(!others.includes(first as Socket), "the connection with unsent bytes is not reused");
});

test("a request that may have run never gets a status that guarantees that it did not run", async t => {
    const lost = await startRawServer(t, "s1", closeConnection);
    const busy = await startRawServer(t, "s2", refuse);
    const { port } = await startFrontend(t, [lost, busy], { maxAttempts: 2 });
    const statuses: number[] = [];
    for (let i = 0; i < 6; i++) {
        const result = await sendRaw(port, requestText(`q${i}`, { extra: "Connection: close\r\n" }));
        const sentToLost = lost.requests.some(it => it.id === `q${i}`);
        statuses.push(status(result.text));
        assert.equal(status(result.text), sentToLost ? 502 : 503, `q${i}`);
    }
    assert.ok(statuses.includes(502), "some requests were lost");
});

test("a request that was not sent before its deadline gets a status that guarantees that it did not run", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "ok")));
    const { port } = await startFrontend(t, [server], { timeoutMs: 200 });
    const head = requestText("a", { method: "POST", extra: "Content-Length: 10\r\n" });
    const result = await sendRaw(port, head);
    assert.equal(status(result.text), 503);
    assert.deepEqual(server.requests, []);
});

const smugglingHeaders: Readonly<Record<string, string>> = {
    "two lengths": "Content-Length: 3\r\nContent-Length: 40\r\n",
    "a length and chunks": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "an encoding that isn't chunked": "Transfer-Encoding: chunked, identity\r\n",
    "a folded line": "X-Folded: a\r\n Transfer-Encoding: chunked\r\n",
    "a space before the colon": "Transfer-Encoding : chunked\r\n",
};

for (const [what, headers] of Object.entries(smugglingHeaders)) {
    test(`a request with ${what} can't smuggle a second request`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) =>
            socket.write(responseText(id, "ok")),
        );
        const { port } = await startFrontend(t, [server]);
        const hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h.example\r\nt-id: hidden\r\n\r\n";
        const head = `POST /x HTTP/1.1\r\nHost: h.example\r\nt-id: outer\r\nt-deadline: 500\r\n${headers}\r\n`;
        await sendRaw(port, `${head}${hidden}`);
        assert.deepEqual(
            server.requests.map(it => it.id).filter(id => id !== "outer"),
            [],
        );
        assert.ok(server.requests.every(it => !it.body.includes("hidden")));
    });
}

test("an idempotent request succeeds although the server drops a reused connection", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id, indexOnConnection }) => {
        if (indexOnConnection > 0) {
            socket.resetAndDestroy();
        } else {
            socket.write(responseText(id, "ok"));
        }
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 2 });
    await sendRaw(port, requestText("a", { extra: "Connection: close\r\n" }));
    const result = await sendRaw(port, requestText("b", { extra: "Connection: close\r\n" }));
    assert.equal(status(result.text), 200);
});

test("a non-idempotent request never uses a connection that has been idle for long", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id, indexOnConnection }) => {
        if (indexOnConnection > 0) {
            socket.resetAndDestroy();
        } else {
            socket.write(responseText(id, "ok"));
        }
    });
    const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
    const post = (id: string): string =>
        requestText(id, { method: "POST", body: "x", extra: "Connection: close\r\n" });
    await sendRaw(port, post("a"));
    await delay(600);
    const result = await sendRaw(port, post("b"));
    assert.equal(status(result.text), 200);
    assert.deepEqual(
        server.requests.map(({ id, indexOnConnection }) => [id, indexOnConnection]),
        [
            ["a", 0],
            ["b", 0],
        ],
    );
});

test("an extra response that arrives in place of a probe's response is neither a load report nor relayed to a later request", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(responseText(id, "mine"));
        setTimeout(() => socket.write(responseText("ghost", "not yours")), 5);
    });
    const { port } = await startFrontend(t, [server]);
    for (const id of ["a", "b", "c"]) {
        const result = await sendRaw(port, requestText(id, { extra: "Connection: close\r\n" }));
        assert.match(result.text, /mine$/);
    }
});

test("a non-idempotent request uses a connection that has just carried a response", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "ok")));
    const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
    for (const id of ["a", "b", "c"]) {
        await sendRaw(
            port,
            requestText(id, { method: "POST", body: "x", extra: "Connection: close\r\n" }),
            30,
        );
    }
    assert.equal(new Set(server.requests.map(it => it.socket)).size, 1);
});

for (const status of [408, 421, 429, 503]) {
    // Guards against a promise that a request hasn't run, made by a failure of a server that doesn't state it.
    test(`a non-idempotent request that its server fails with ${status} isn't reported as not run`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) =>
            socket.write(responseText(id, "failed").replace("200 OK", `${status} Failed`)),
        );
        const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
        const result = await sendRaw(port, requestText("a", { method: "POST", body: "b" }));
        assert.match(result.text, /^HTTP\/1\.1 502 /);
        assert.doesNotMatch(result.text, /t-signed/);
        assert.equal(server.requests.length, 1);
    });
}
