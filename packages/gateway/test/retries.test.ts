import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { answer, ask, exchange, rawServer, startFront, type RawServer, type Script } from "./setup.js";

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);

const notRun: Script = ({ socket, id }) =>
    socket.write(`HTTP/1.1 503 Busy\r\nt-id: ${id}\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n`);

const breakOff: Script = ({ socket }) => socket.destroy();

const arrivalsOf = (servers: readonly RawServer[], id: string): number =>
    servers.reduce((sum, it) => sum + it.arrivals.filter(arrival => arrival.id === id).length, 0);

test("a request goes to no more servers than its route allows", async t => {
    const servers = await Promise.all(["s1", "s2", "s3", "s4"].map(id => rawServer(t, id, notRun)));
    const { port } = await startFront(t, servers, { maxAttempts: 2 });
    const got = await exchange(port, ask("a"));
    assert.equal(status(got.bytes), 503);
    assert.match(got.bytes, /retry-after: /i);
    assert.equal(arrivalsOf(servers, "a"), 2);
});

test("sends to the same server are attempts too", async t => {
    const server = await rawServer(t, "s1", notRun);
    const { port, records } = await startFront(t, [server], { maxAttempts: 2 });
    const got = await exchange(port, ask("a"));
    assert.equal(status(got.bytes), 503);
    assert.equal(server.arrivals.length, 2);
    assert.deepEqual(records[0]?.servers, ["s1", "s1"]);
});

test("a request that isn't idempotent is sent again only if the server says that it didn't run", async t => {
    const servers = await Promise.all([rawServer(t, "s1", breakOff), rawServer(t, "s2", breakOff)]);
    const { port } = await startFront(t, servers, { kind: "non-idempotent", maxAttempts: 2 });
    const lost = await exchange(port, ask("lost", { method: "POST", body: "x" }));
    assert.equal(status(lost.bytes), 502, "which promises nothing");
    assert.match(lost.bytes, /look whether it took effect before sending it as a new request/);
    assert.equal(arrivalsOf(servers, "lost"), 1);
    const refusing = await Promise.all([rawServer(t, "s1", notRun), rawServer(t, "s2", notRun)]);
    const other = await startFront(t, refusing, { kind: "non-idempotent", maxAttempts: 2 });
    await exchange(other.port, ask("refused", { method: "POST", body: "x" }));
    assert.equal(arrivalsOf(refusing, "refused"), 2);
});

test("repeats stay within a share of the requests and the slack", async t => {
    const servers = await Promise.all([rawServer(t, "s1", notRun), rawServer(t, "s2", notRun)]);
    const { port } = await startFront(t, servers, { maxAttempts: 2 });
    const count = 120;
    for (let i = 0; i < count; i++) {
        await exchange(port, ask(`q${i}`, { extra: "Connection: close\r\n" }), 100);
    }
    const again = servers.reduce((sum, it) => sum + it.arrivals.length, 0) - count;
    assert.ok(again > 0 && again <= 0.2 * count + 20, `${again} repeats of ${count} requests`);
});

test("a server that keeps silent costs its request no more than the route's timeout", async t => {
    const silent = await rawServer(t, "s1", () => undefined);
    const { port, records } = await startFront(t, [silent], { timeoutMs: 300, maxAttempts: 1 });
    const from = performance.now();
    const got = await exchange(port, ask("a"), 1_000);
    const took = performance.now() - from - 1_000;
    assert.equal(status(got.bytes), 504);
    assert.ok(took < 300 + 500, `${took} ms`);
    assert.equal(records[0]?.outcome, "deadline-sent");
    assert.equal(silent.arrivals[0]?.socket.destroyed, true, "the server sees that nobody waits any more");
});

test("the bytes of a long body that a server answered early go to nobody else", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "early")), {
        answersHeads: true,
    });
    const { port } = await startFront(t, [server], { kind: "non-idempotent" });
    const body = "GET /smuggled HTTP/1.1\r\nt-id: evil\r\n\r\n".repeat(20_000);
    const socket = connect(port, "127.0.0.1");
    const whole = ask("long", { method: "POST", body });
    socket.write(whole.slice(0, 400_000));
    const [early] = (await once(socket, "data")) as [Buffer];
    assert.match(early.toString(), /early$/);
    socket.write(whole.slice(400_000));
    for (const id of ["next", "later"]) {
        const got = await exchange(port, ask(id, { method: "POST", body: "short" }), 100);
        assert.equal(status(got.bytes), 200);
    }
    socket.destroy();
    assert.deepEqual(
        server.arrivals.map(it => it.id),
        ["long", "next", "later"],
    );
    const [first, ...others] = server.arrivals.map(it => it.socket);
    assert.ok(!others.includes(first as Socket), "the connection with bytes still due takes nothing else");
});

test("a request that may have run is never refused as not run", async t => {
    const lost = await rawServer(t, "s1", breakOff);
    const busy = await rawServer(t, "s2", notRun);
    const { port } = await startFront(t, [lost, busy], { maxAttempts: 2 });
    const statuses: number[] = [];
    for (let i = 0; i < 6; i++) {
        const got = await exchange(port, ask(`q${i}`, { extra: "Connection: close\r\n" }), 500);
        const sentToLost = lost.arrivals.some(it => it.id === `q${i}`);
        statuses.push(status(got.bytes));
        assert.equal(status(got.bytes), sentToLost ? 502 : 503, `q${i}`);
    }
    assert.ok(statuses.includes(502), "the case has come up");
});

test("a request of which nothing was sent in its time has not run, and is told so", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "ok")));
    const { port } = await startFront(t, [server], { timeoutMs: 200 });
    const head = ask("a", { method: "POST", extra: "Content-Length: 10\r\n" });
    const got = await exchange(port, head, 500);
    assert.equal(status(got.bytes), 503);
    assert.deepEqual(server.arrivals, []);
});

const smuggling: Readonly<Record<string, string>> = {
    "two lengths": "Content-Length: 3\r\nContent-Length: 40\r\n",
    "a length and chunks": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "an encoding that isn't chunked": "Transfer-Encoding: chunked, identity\r\n",
    "a folded line": "X-Folded: a\r\n Transfer-Encoding: chunked\r\n",
    "a space before the colon": "Transfer-Encoding : chunked\r\n",
};

for (const [what, headers] of Object.entries(smuggling)) {
    test(`a request with ${what} hides no second one`, async t => {
        const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "ok")));
        const { port } = await startFront(t, [server]);
        const hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h.example\r\nt-id: hidden\r\n\r\n";
        const head = `POST /x HTTP/1.1\r\nHost: h.example\r\nt-id: outer\r\nt-deadline: 500\r\n${headers}\r\n`;
        await exchange(port, `${head}${hidden}`);
        assert.deepEqual(
            server.arrivals.map(it => it.id).filter(id => id !== "outer"),
            [],
        );
        assert.ok(server.arrivals.every(it => !it.body.includes("hidden")));
    });
}

test("a server that forgets an idle connection costs a repeatable request nothing", async t => {
    const server = await rawServer(t, "s1", ({ socket, id, nth }) => {
        if (nth > 0) {
            socket.resetAndDestroy();
        } else {
            socket.write(answer(id, "ok"));
        }
    });
    const { port } = await startFront(t, [server], { maxAttempts: 2 });
    await exchange(port, ask("a", { extra: "Connection: close\r\n" }), 50);
    const got = await exchange(port, ask("b", { extra: "Connection: close\r\n" }));
    assert.equal(status(got.bytes), 200);
});

test("a request that isn't idempotent goes out on no connection that has rested for long", async t => {
    const server = await rawServer(t, "s1", ({ socket, id, nth }) => {
        if (nth > 0) {
            socket.resetAndDestroy();
        } else {
            socket.write(answer(id, "ok"));
        }
    });
    const { port } = await startFront(t, [server], { kind: "non-idempotent" });
    const post = (id: string): string =>
        ask(id, { method: "POST", body: "x", extra: "Connection: close\r\n" });
    await exchange(port, post("a"), 50);
    await delay(600);
    const got = await exchange(port, post("b"));
    assert.equal(status(got.bytes), 200);
    assert.deepEqual(
        server.arrivals.map(({ id, nth }) => [id, nth]),
        [
            ["a", 0],
            ["b", 0],
        ],
    );
});

test("an extra answer that meets a load question is no report, and no later request gets it", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        socket.write(answer(id, "mine"));
        setTimeout(() => socket.write(answer("ghost", "not yours")), 5);
    });
    const { port } = await startFront(t, [server]);
    for (const id of ["a", "b", "c"]) {
        const got = await exchange(port, ask(id, { extra: "Connection: close\r\n" }), 60);
        assert.match(got.bytes, /mine$/);
    }
});

test("a connection that has just brought an answer serves a request that isn't idempotent", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "ok")));
    const { port } = await startFront(t, [server], { kind: "non-idempotent" });
    for (const id of ["a", "b", "c"]) {
        await exchange(port, ask(id, { method: "POST", body: "x", extra: "Connection: close\r\n" }), 30);
    }
    assert.equal(new Set(server.arrivals.map(it => it.socket)).size, 1);
});
