import assert from "node:assert/strict";
import { test } from "node:test";
import { answer, ask, exchange, rawServer, startFront } from "./setup.js";

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);
const body = (bytes: string): string => bytes.slice(bytes.indexOf("\r\n\r\n") + 4);
const long = "x".repeat(100_000);

test("passes a server's answer on unchanged", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "hello")));
    const { port } = await startFront(t, [server]);
    const got = await exchange(port, ask("a"));
    assert.equal(status(got.bytes), 200);
    assert.equal(body(got.bytes), "hello");
    assert.match(got.bytes, /t-signed: 1/);
});

test("an answer without a length that is reset doesn't look complete", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long}`);
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const { port } = await startFront(t, [server], { maxAttempts: 1 });
    const got = await exchange(port, ask("a"));
    assert.equal(got.end, "reset");
});

test("an answer without a length on a used connection that is reset doesn't look complete", async t => {
    const server = await rawServer(t, "s1", ({ socket, id, nth }) => {
        if (nth === 0) {
            socket.write(answer(id, "first"));
            return;
        }
        socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long}`);
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const { port } = await startFront(t, [server], { maxAttempts: 1 });
    await exchange(port, ask("a"), 50);
    const got = await exchange(port, ask("b"));
    assert.equal(server.arrivals[1]?.nth, 1);
    assert.equal(got.end, "reset");
});

test("an answer without a length is passed on without one, as its end can't be told from a break", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        socket.end(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long}`);
    });
    const { port } = await startFront(t, [server]);
    const got = await exchange(port, ask("a"));
    assert.equal(body(got.bytes), long);
    assert.equal(got.end, "closed");
    assert.doesNotMatch(got.bytes, /transfer-encoding|content-length/i);
});

test("an answer that breaks off midway breaks the caller's connection", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nContent-Length: 200000\r\n\r\n`;
        socket.write(`${head}${long}`);
        setTimeout(() => socket.end(), 50);
    });
    const { port } = await startFront(t, [server], { kind: "download" });
    const got = await exchange(port, ask("a"));
    assert.notEqual(got.end, "open");
    assert.ok(body(got.bytes).length < 200_000);
});

test("a chunked answer that breaks off doesn't look complete", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
        socket.write(`${head}5\r\nhello\r\n`);
        setTimeout(() => socket.end(), 50);
    });
    const { port } = await startFront(t, [server], { kind: "download" });
    const got = await exchange(port, ask("a"));
    assert.ok(!got.bytes.endsWith("0\r\n\r\n"));
});

test("an answer to another request is given to nobody", async t => {
    const server = await rawServer(t, "s1", ({ socket }) => socket.write(answer("other", "not yours")));
    const { port } = await startFront(t, [server], { kind: "non-idempotent" });
    const got = await exchange(port, ask("a", { method: "POST", body: "b" }));
    assert.equal(status(got.bytes), 502);
    assert.ok(!got.bytes.includes("not yours"));
});

test("an extra answer behind a whole one reaches nobody", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        socket.write(answer(id, `for ${id}`) + answer(id, "extra"));
    });
    const { port } = await startFront(t, [server]);
    for (const id of ["a", "b", "c"]) {
        const got = await exchange(port, ask(id), 80);
        assert.equal(body(got.bytes), `for ${id}`);
    }
});

test("an extra answer that comes late reaches nobody", async t => {
    const server = await rawServer(t, "s1", ({ socket, id, nth }) => {
        const late = nth === 1 ? answer("a", "late") : "";
        socket.write(late + answer(id, `for ${id}`));
    });
    const { port } = await startFront(t, [server]);
    for (const id of ["a", "b", "c"]) {
        const got = await exchange(port, ask(id), 80);
        assert.equal(body(got.bytes), `for ${id}`);
    }
});

test("pipelined requests are answered in order", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => {
        setTimeout(() => socket.write(answer(id, `for ${id}`)), id === "a" ? 100 : 0);
    });
    const { port } = await startFront(t, [server]);
    const got = await exchange(port, ask("a") + ask("b"));
    assert.ok(got.bytes.indexOf("for a") < got.bytes.indexOf("for b"));
    assert.ok(got.bytes.includes("for b"));
});

test("a connection that is used again and again gathers no listeners", async t => {
    const server = await rawServer(t, "s1", ({ socket, id }) => socket.write(answer(id, "hello")));
    const { port } = await startFront(t, [server]);
    const warnings: Error[] = [];
    const warned = (warning: Error): void => void warnings.push(warning);
    process.on("warning", warned);
    t.after(() => process.off("warning", warned));
    for (let i = 0; i < 30; i++) {
        await exchange(port, ask(`a${i}`), 20);
    }
    assert.equal(server.arrivals.at(-1)?.nth, 29);
    assert.deepEqual(warnings, []);
});
