import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import type { CutPoint } from "@bramleymoor/testkit/backend";
import { ask, order, stage, startProxy, type Answer, type Proxy } from "./setup.js";

/** Whether an answer claims that its request did not run. */
const saysNotRun = (answer: Answer): boolean => answer.headers["bm-ran"] === "not run";

const kindOf = (answer: Answer): string => String(answer.headers["bm-error"]);

const cuts: readonly (readonly [CutPoint, number])[] = [
    ["before-reading", 0],
    ["while-reading", 0],
    ["after-reading", 1],
];

for (const [cut, runs] of cuts) {
    test(`a server that breaks off ${cut}: outcome unknown, at every attempt, and no second run`, async t => {
        const { proxy, backends } = await stage(t, [{ cut }, {}]);
        const ticket = proxy.ticket();
        const body = "x".repeat(50_000);
        const first = await order(proxy, "o", { ticket, body });
        const second = await order(proxy, "o", { ticket, body, headers: { "bm-attempt": "2" } });
        assert.deepEqual([kindOf(first), kindOf(second)], ["server-lost", "server-lost"]);
        assert.equal(first.headers["bm-ran"], "outcome unknown");
        assert.equal(backends[0]?.counts.runs["o"] ?? 0, runs);
        assert.equal(backends[1]?.counts.ran, 0);
    });
}

test("a server that breaks off while answering: the caller sees a broken body, and no second run", async t => {
    const { proxy, backends } = await stage(t, [{ cut: "while-answering" }, {}]);
    const ticket = proxy.ticket();
    const first = await order(proxy, "o", { ticket });
    assert.deepEqual([first.status, first.whole], [200, false]);
    const second = await order(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.equal(kindOf(second), "server-lost");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
    assert.equal(backends[1]?.counts.ran, 0);
});

interface RawServer {
    readonly port: number;
    /** Requests read whole. */
    readonly runs: () => number;
    readonly connections: () => number;
}

/** A server that resets after reading `readBytes`, or after writing `writeBytes` of its answer. */
const rawServer = async (t: TestContext, readBytes: number, writeBytes: number): Promise<RawServer> => {
    let runs = 0;
    let connections = 0;
    const sockets = new Set<Socket>();
    const server: Server = createServer(socket => {
        let got = "";
        connections++;
        sockets.add(socket);
        socket.on("error", () => undefined);
        const look = (): void => {
            runs += got.endsWith("order o") ? 1 : 0;
            if (got.length >= readBytes) {
                socket.resetAndDestroy();
            } else if (got.endsWith("order o")) {
                socket.write(rawAnswer.slice(0, writeBytes), () => socket.resetAndDestroy());
            }
        };
        socket.on("data", chunk => {
            got += chunk.toString();
            look();
        });
        if (readBytes === 0) {
            look();
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    return { port, runs: () => runs, connections: () => connections };
};

const rawAnswer = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone";

test("a reset at any byte of the request is never told as not run, and never run twice", async t => {
    for (const bytes of [1, 100, 200, 250, 300]) {
        const server = await rawServer(t, bytes, 0);
        const proxy = await startProxy({ ports: [server.port] });
        t.after(() => proxy.server.stop(0));
        const ticket = proxy.ticket();
        const first = await order(proxy, "o", { ticket });
        const second = await order(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
        assert.deepEqual([kindOf(first), kindOf(second)], ["server-lost", "server-lost"], `after ${bytes}`);
        assert.equal(server.connections(), 1);
    }
});

test("a connection that is reset before a byte was read: not run is said only of what did not run", async t => {
    const server = await rawServer(t, 0, 0);
    const proxy = await startProxy({ ports: [server.port] });
    t.after(() => proxy.server.stop(0));
    const first = await order(proxy, "o");
    assert.ok(["connect-failed", "server-lost"].includes(kindOf(first)));
    assert.equal(server.runs(), 0);
});

test("a reset at any byte of the answer: no whole answer, no not run, no second run", async t => {
    for (let bytes = 0; bytes < rawAnswer.length; bytes++) {
        const server = await rawServer(t, Infinity, bytes);
        const proxy = await startProxy({ ports: [server.port] });
        t.after(() => proxy.server.stop(0));
        const ticket = proxy.ticket();
        const first = await order(proxy, "o", { ticket }).catch(() => undefined);
        assert.ok(!first || first.headers["bm-error"] === "server-lost" || !first.whole, `after ${bytes}`);
        const second = await order(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
        assert.equal(second.headers["bm-ran"], "outcome unknown", `after ${bytes}`);
        assert.deepEqual([server.runs(), server.connections()], [1, 1]);
    }
});

/** A server that answers the first request of a connection and closes it on the first byte of the second. */
const closingServer = async (t: TestContext): Promise<RawServer> => {
    let connections = 0;
    let runs = 0;
    const server = createServer(socket => {
        let answered = false;
        connections++;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            if (answered) {
                socket.resetAndDestroy();
                return;
            }
            answered = true;
            runs++;
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    return { port, runs: () => runs, connections: () => connections };
};

test("an idle connection closed in the race: an order's outcome is unknown, a lookup is sent again", async t => {
    const server = await closingServer(t);
    const proxy = await startProxy({ ports: [server.port] });
    t.after(() => proxy.server.stop(0));
    assert.equal((await order(proxy, "o1")).status, 200);
    const raced = await order(proxy, "o2");
    assert.deepEqual([kindOf(raced), raced.headers["bm-ran"]], ["server-lost", "outcome unknown"]);
    assert.equal(server.runs(), 1);
    assert.equal((await ask(proxy.port)).status, 200);
    assert.equal((await ask(proxy.port)).status, 200);
});

test("a server that sheds or drains: not run, and only a higher attempt runs later", async t => {
    const { proxy, backends } = await stage(t, [{ draining: true }]);
    const backend = backends[0];
    assert.ok(backend);
    const ticket = proxy.ticket();
    const first = await order(proxy, "o", { ticket, headers: { "bm-attempt": "2" } });
    assert.deepEqual([kindOf(first), saysNotRun(first)], ["server-refused", true]);
    assert.ok(Number(first.headers["bm-retry-after-ms"]) > 0);
    backend.knobs.draining = false;
    const late = await order(proxy, "o", { ticket, headers: { "bm-attempt": "1" } });
    assert.deepEqual([kindOf(late), backend.counts.ran], ["server-refused", 0]);
    const again = await order(proxy, "o", { ticket, headers: { "bm-attempt": "3" } });
    assert.deepEqual([again.text, backend.counts.runs], ["ran o", { o: 1 }]);
});

test("a duplicate with another body, method or path is a conflict, and another caller's id is its own", async t => {
    const { proxy, backends } = await stage(t);
    const ticket = proxy.ticket();
    await order(proxy, "o", { ticket, body: "first" });
    const others = await Promise.all([
        order(proxy, "o", { ticket, body: "other" }),
        order(proxy, "o", { ticket, path: "/v1/call/desk/orders/2", body: "first" }),
        order(proxy, "o", { ticket, method: "PUT", body: "first" }),
        order(proxy, "o", { ticket, body: "x".repeat(100_000) }),
    ]);
    assert.deepEqual(others.map(kindOf), Array(4).fill("request-conflict"));
    assert.ok(others.every(answer => !answer.text.includes("ran o")));
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
    const stranger = await order(proxy, "o", { body: "first" });
    assert.equal(stranger.headers["bm-replayed"], undefined);
    assert.equal(backends[0]?.counts.ran, 2);
});

test("a kept answer comes again byte for byte, headers included", async t => {
    const { proxy, backends } = await stage(t, [{ answerText: "jibu: z\u00fc \u20ac\u0000" }]);
    const ticket = proxy.ticket();
    const [first, again] = [await order(proxy, "o", { ticket }), await order(proxy, "o", { ticket })];
    assert.equal(Buffer.from(again.text, "latin1").toString(), "jibu: z\u00fc \u20ac\u0000");
    assert.equal(again.text, first.text);
    assert.equal(again.headers["content-length"], first.headers["content-length"]);
    assert.equal(backends[0]?.counts.ran, 1);
});

test("a full table refuses before anything is sent; an expired ticket leaves the outcome unknown", async t => {
    const { proxy, backends } = await stage(t, [{}], { once: { maxEntries: 1 } });
    const ticket = proxy.ticket();
    await order(proxy, "o1", { ticket });
    const full = await order(proxy, "o2", { ticket });
    assert.deepEqual([kindOf(full), saysNotRun(full)], ["table-full", true]);
    const later = await order(proxy, "o2", { ticket, headers: { "bm-attempt": "2" } });
    assert.deepEqual([kindOf(later), saysNotRun(later)], ["table-full", true]);
    const fuller = await order(proxy, "o3", { ticket });
    assert.deepEqual([kindOf(fuller), fuller.headers["bm-ran"]], ["not-decided", "outcome unknown"]);
    proxy.skewMs = 70_000;
    const expired = await order(proxy, "o1", { ticket });
    assert.deepEqual([kindOf(expired), expired.headers["bm-ran"]], ["ticket-expired", "outcome unknown"]);
    assert.deepEqual(backends[0]?.counts.runs, { o1: 1 });
});

test("a retry is never told not run by a check that comes before the table", async t => {
    const { proxy, backends } = await stage(t);
    const ticket = proxy.ticket();
    const retry = (headers: Readonly<Record<string, string>>) =>
        order(proxy, "o", { ticket, headers: { "bm-attempt": "2", ...headers } });
    await order(proxy, "o", { ticket });
    assert.equal((await retry({ "bm-depth": "7" })).text, "ran o");
    assert.ok(!saysNotRun(await retry({ "bm-deadline-ms": "0" })));
    const service = proxy.service;
    assert.ok(service);
    proxy.service = { ...service, classes: service.classes.slice(1) };
    assert.equal((await retry({})).text, "ran o");
    proxy.service = undefined;
    assert.equal((await retry({})).text, "ran o");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

/** A second call server that knows the first one as issuer. */
const other = async (t: TestContext, first: Proxy, ports: readonly number[]): Promise<Proxy> => {
    const proxy = await startProxy({
        ports,
        incarnation: "inc-b",
        issuer: incarnation => (incarnation === "inc-a" ? first.address : "gone"),
    });
    t.after(() => proxy.server.stop(0));
    return proxy;
};

test("another entry VM passes an order on to its issuer, at the same time as the issuer runs it", async t => {
    const { proxy, backends } = await stage(t, [{ serviceMs: 20 }]);
    const second = await other(t, proxy, [backends[0]?.port ?? 0]);
    const ticket = proxy.ticket();
    const answers = await Promise.all([
        order(second, "o", { ticket }),
        order(proxy, "o", { ticket, headers: { "bm-attempt": "2" } }),
        order(second, "o", { ticket, headers: { "bm-attempt": "3" } }),
        order(second, "o", { ticket, body: "another" }),
    ]);
    assert.deepEqual(
        answers.slice(0, 3).map(answer => answer.text),
        ["ran o", "ran o", "ran o"],
    );
    assert.equal(kindOf(answers[3] as Answer), "request-conflict");
    assert.deepEqual(backends[0]?.counts.runs, { o: 1 });
});

test("an issuer that is gone, refuses connections, or was replaced: outcome unknown, and nothing runs", async t => {
    const { proxy, backends } = await stage(t);
    const ports = [backends[0]?.port ?? 0];
    const second = await other(t, proxy, ports);
    const gone = await order(second, "o", { ticket: proxy.ticket().replace("inc-a", "inc-z") });
    assert.deepEqual([kindOf(gone), gone.headers["bm-ran"]], ["issuer-gone", "outcome unknown"]);
    const ticket = proxy.ticket();
    const replaced = await order(proxy, "o", { ticket: second.ticket(), headers: { "bm-forwarded": "1" } });
    assert.deepEqual([kindOf(replaced), replaced.headers["bm-ran"]], ["issuer-gone", "outcome unknown"]);
    await proxy.server.stop(0);
    const refused = await order(second, "o", { ticket });
    assert.deepEqual([kindOf(refused), refused.headers["bm-ran"]], ["issuer-unreachable", "outcome unknown"]);
    assert.equal(backends[0]?.counts.ran, 0);
});
