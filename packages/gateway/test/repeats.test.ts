import assert from "node:assert/strict";
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
    const seen: string[] = [];
    const server = await rawServer(t, "s1", ({ socket, id, head }) => {
        seen.push(head.split("\r\n")[0] ?? "");
        socket.write(answer(id, "early"));
    });
    const early: Script = ({ socket, id }) => socket.write(answer(id, "ok"));
    const second = await rawServer(t, "s2", early);
    const { port } = await startFront(t, [server, second], { kind: "non-idempotent" });
    const body = "GET /smuggled HTTP/1.1\r\nt-id: evil\r\n\r\n".repeat(20_000);
    await exchange(port, ask("long", { method: "POST", body }));
    await exchange(port, ask("next", { method: "POST", body: "short" }));
    const ids = [...server.arrivals, ...second.arrivals].map(it => it.id);
    assert.ok(!ids.includes("evil"), ids.slice(0, 5).join(" "));
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
