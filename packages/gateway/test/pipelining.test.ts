import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const count = 40;
const maxPending = 32;

const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const ids = Array.from({ length: count }, (_, i) => `r${i}`);
const bodyOf = (id: string, bytes: number): string => `${id};`.repeat(bytes).slice(0, bytes);

test("large responses behind a pending one arrive whole and in order", async t => {
    const sizes = new Map([
        ["b", 40_000],
        ["c", 300_000],
        ["d", 10],
        ["e", 300_000],
    ]);
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const text = responseText(id, bodyOf(id, sizes.get(id) ?? 5));
        setTimeout(() => socket.write(text), id === "a" ? 300 : 0);
    });
    const { port } = await startFrontend(t, [server]);
    const texts = ["a", ...sizes.keys()];
    const result = await sendRaw(port, texts.map(id => requestText(id)).join(""));
    const bodies = result.text.split(/HTTP\/1\.1 200 OK\r\n/).slice(1);
    assert.deepEqual(
        bodies.map(it => it.slice(it.indexOf("\r\n\r\n") + 4)),
        texts.map(id => bodyOf(id, sizes.get(id) ?? 5)),
    );
});

test("chunked responses behind a pending one arrive whole and in order", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
        const chunk = `c350\r\n${bodyOf(id, 50_000)}\r\n`;
        setTimeout(() => socket.write(`${head}${chunk}${chunk}0\r\n\r\n`), id === "x" ? 300 : 0);
    });
    const { port } = await startFrontend(t, [server]);
    const result = await sendRaw(port, ["x", "y", "z"].map(id => requestText(id)).join(""));
    const responses = result.text.split("t-id: ").slice(1);
    assert.deepEqual(
        responses.map(it => it.slice(0, 1)),
        ["x", "y", "z"],
    );
    responses.forEach(it => {
        const body = it.slice(it.indexOf("\r\n\r\n") + 4);
        assert.equal(body.split(it.slice(0, 1)).length - 1, 50_000);
        assert.ok(body.includes("\r\n0\r\n\r\n"));
    });
});

test("pending requests of one connection beyond the limit are refused, and all others answered in order", async t => {
    let respond = (): void => undefined;
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const write = (): void => void socket.write(responseText(id, bodyOf(id, 20_000)));
        if (id === "r0") {
            respond = write;
        } else {
            write();
        }
    });
    const { port } = await startFrontend(t, [server], { timeoutMs: 10_000 });
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", chunk => (text += chunk.toString("latin1")));
    for (const id of ids) {
        socket.write(requestText(id).replace("t-deadline: 2000", "t-deadline: 10000"));
        await delay(20);
    }
    assert.equal(text, "");
    respond();
    await once(socket, "close");
    const responses = text.split("HTTP/1.1 ").slice(1);
    assert.deepEqual(
        responses.map(it => Number(it.slice(0, 3))),
        [...Array.from({ length: maxPending }, () => 200), 503],
    );
    responses.slice(0, maxPending).forEach((it, i) => assert.ok(it.endsWith(bodyOf(`r${i}`, 20_000))));
    assert.equal(server.requests.length, maxPending);
});

test("a response without a length that is reset before its turn is replaced by an error", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        if (id === "a") {
            setTimeout(() => socket.write(responseText(id, "hello")), 300);
        } else {
            socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\ntruncated`);
            setTimeout(() => socket.resetAndDestroy(), 50);
        }
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    const result = await sendRaw(port, requestText("a") + requestText("b"), 2_000);
    const [first = "", second = ""] = result.text.split(/(?=HTTP\/1\.1 502)/);
    assert.ok(first.endsWith("hello"));
    assert.match(second, /^HTTP\/1\.1 502 /);
    assert.doesNotMatch(second, /truncated|t-signed/);
    assert.equal(result.end, "open");
});
