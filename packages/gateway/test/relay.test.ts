import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import {
    helperAt,
    requestText,
    responseText,
    sendRaw,
    startFrontend,
    startRawServer,
    type RawServer,
    type RequestHandler,
} from "./setup.js";

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);
const body = (bytes: string): string => bytes.slice(bytes.indexOf("\r\n\r\n") + 4);
const long = "x".repeat(100_000);

test("a server's response is relayed unchanged", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    const { port } = await startFrontend(t, [server]);
    const result = await sendRaw(port, requestText("a"));
    assert.equal(status(result.text), 200);
    assert.equal(body(result.text), "hello");
    assert.match(result.text, /t-signed: 1/);
});

test("a response without a length whose connection is reset doesn't look complete", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long}`);
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    assert.equal(status((await sendRaw(port, requestText("a"))).text), 502);
});

test("a response without a length whose reused connection is reset doesn't look complete", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id, indexOnConnection }) => {
        if (indexOnConnection === 0) {
            socket.write(responseText(id, "first"));
            return;
        }
        socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long}`);
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    await sendRaw(port, requestText("a"));
    const result = await sendRaw(port, requestText("b"));
    assert.equal(server.requests[1]?.indexOnConnection, 1);
    assert.equal(status(result.text), 502);
});

test("a response without a length is relayed without one, as its end can't be told from a lost connection", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.end(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long}`);
    });
    const { port } = await startFrontend(t, [server]);
    const result = await sendRaw(port, requestText("a"));
    assert.equal(body(result.text), long);
    assert.equal(result.end, "closed");
    assert.doesNotMatch(result.text, /transfer-encoding|content-length/i);
});

// Guards against a response that can't be had from another server any more, or that reaches its caller only once it is whole.
test("a response without a length is held back for a while in which another server can replace it, and then streamed", async t => {
    const part = (text: string): string => `HTTP/1.1 200 OK\r\nt-id: a\r\nt-signed: 1\r\n\r\n${text}`;
    const first = await startRawServer(t, "s1", ({ socket }) => {
        socket.write(part("from the first"));
        setTimeout(() => socket.resetAndDestroy(), 5);
    });
    const second = await startRawServer(t, "s2", ({ socket }) => socket.write(part("from the second")));
    const { port } = await startFrontend(t, [first, second]);
    const startedAt = performance.now();
    const socket = connect(port, "127.0.0.1", () => socket.write(requestText("a")));
    t.after(() => socket.destroy());
    const [chunk] = (await once(socket, "data")) as [Buffer];
    assert.equal(body(chunk.toString("latin1")), "from the second");
    assert.deepEqual([first.requests.length, second.requests.length], [1, 1]);
    assert.ok(performance.now() - startedAt >= 100);
});

const unframedHead = (id: string): string => `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n`;

/**
 * Starts a server that ends under its response without a length to "a": in order, and without an answer to probes from then on.
 *
 * @param othersMs when it answers other requests
 */
const startEndingServer = async (t: TestContext, parts: number, othersMs = 0): Promise<RawServer> => {
    let hasEnded = false;
    return await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            if (id !== "a") {
                setTimeout(() => socket.write(responseText(id, `for ${id}`)), othersMs);
                return;
            }
            socket.write(`${unframedHead(id)}${long.repeat(parts)}`);
            setTimeout(() => {
                hasEnded = true;
                socket.end();
            }, 300);
        },
        {
            answerProbe: socket =>
                hasEnded ? socket.destroy() : socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        },
    );
};

/** An entry VM whose system call fails. */
const withoutExitReset = { exitReset: { arm: () => false, disarm: () => undefined } };

// Guards against a response that the end of this process makes look whole where it can't have the connection reset.
test("without resets, a response without a length is sent with one, and a longer one in chunks", async t => {
    const lengths = [5, long.length, 20 * long.length];
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.end(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${"x".repeat(Number(id))}`);
    });
    const { port } = await startFrontend(t, [server], {}, withoutExitReset);
    const texts: string[] = [];
    for (const length of lengths) {
        texts.push((await sendRaw(port, requestText(String(length)))).text);
    }
    const [short = "", longer = "", longest = ""] = texts;
    assert.match(short, /content-length: 5\r\n/i);
    assert.match(longer, /content-length: 100000\r\n/i);
    assert.ok(body(longer) === long);
    assert.match(longest, /transfer-encoding: chunked\r\n/i);
    assert.ok(longest.endsWith("\r\n0\r\n\r\n"));
    assert.equal(body(longest).replaceAll(/[^x]/g, "").length, 20 * long.length);
});

test("without resets, a long response without a length that breaks off doesn't look whole", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long.repeat(20)}`);
        setTimeout(() => socket.resetAndDestroy(), 300);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 }, withoutExitReset);
    const { text } = await sendRaw(port, requestText("a"));
    assert.match(text, /transfer-encoding: chunked\r\n/i);
    assert.ok(!text.endsWith("0\r\n\r\n"));
});

// Guards against a response that a server's crash has cut and that is given an end, as resets can't be had.
for (const parts of [1, 20]) {
    test(`without resets, a response without a length of ${parts * long.length} bytes isn't given an end if its server has ended`, async t => {
        const server = await startEndingServer(t, parts);
        const { port, records } = await startFrontend(t, [server], { maxAttempts: 1 }, withoutExitReset);
        const { text, end } = await sendRaw(port, requestText("a"), 2_000);
        if (parts === 1) {
            assert.equal(status(text), 502, text.slice(0, 200));
            assert.equal(records[0]?.status, 502);
        } else {
            assert.match(text, /transfer-encoding: chunked\r\n/i);
            assert.ok(!text.includes("\r\n0\r\n\r\n"), text.slice(-100));
            assert.notEqual(end, "open");
        }
    });
}

test("without resets, a response without a length that waits for its turn isn't given an end if its server has ended", async t => {
    const server = await startEndingServer(t, 1, 700);
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 }, withoutExitReset);
    const { text, end } = await sendRaw(port, requestText("b") + requestText("a"), 2_000);
    assert.ok(text.endsWith("for b"), text.slice(0, 600));
    assert.notEqual(end, "open");
});

// Neither a length that isn't known yet nor chunks can tell the end to a caller of HTTP/1.0.
test("without resets, a caller of HTTP/1.0 gets a response without a length with one, and an error for one too long for that", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.end(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${"x".repeat(Number(id))}`);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 }, withoutExitReset);
    const send = async (id: string): Promise<string> =>
        (await sendRaw(port, requestText(id).replace("HTTP/1.1", "HTTP/1.0"), 1_000)).text;
    assert.match(await send("5"), /content-length: 5\r\n.*\r\n\r\nxxxxx$/is);
    assert.equal(status(await send("2000000")), 502);
});

test("a response without a length that is too long to be buffered is streamed, and the caller's connection is reset if it is", async t => {
    const bodyBytes = 15 * long.length;
    const server = await startRawServer(t, "s1", ({ socket, id }) =>
        socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long.repeat(15)}`),
    );
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    /** Has the server end its response only once the caller has all of it: from then on only the end is on its way. */
    const send = (id: string, end: (socket: Socket) => void): Promise<readonly [number, string]> =>
        new Promise((resolve, reject) => {
            const socket = connect(port, "127.0.0.1", () => socket.write(requestText(id)));
            let text = "";
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
                if (text.startsWith("HTTP/1.1 200 ") && body(text).length === bodyBytes) {
                    const [request] = server.requests.slice(-1);
                    assert.ok(request);
                    end(request.socket);
                }
            });
            socket.on("error", () => resolve([body(text).length, "reset"]));
            socket.on("close", () => resolve([body(text).length, "closed"]));
            socket.setTimeout(10_000, () => reject(new Error(`${text.length} bytes, then nothing`)));
        });
    assert.deepEqual(await send("whole", it => it.end()), [bodyBytes, "closed"]);
    assert.deepEqual(await send("cut", it => it.resetAndDestroy()), [bodyBytes, "reset"]);
});

for (const bytes of [5, 60_000]) {
    // Guards against the end that Node reports for a reset, if the bytes before it are still unread.
    test(`a response of ${bytes} bytes without a length whose connection is reset directly behind them doesn't look complete`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) => {
            socket.write(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long.slice(0, bytes)}`);
            socket.resetAndDestroy();
        });
        const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
        assert.equal(status((await sendRaw(port, requestText("a"))).text), 502);
    });
}

test("a response without a length whose server has gone when its slow caller reads its end is whole", async t => {
    const bodyBytes = 80 * long.length;
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const text = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n\r\n${long.repeat(80)}`;
        socket.end(text, () => socket.destroy());
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    const socket = connect(port, "127.0.0.1", () => socket.write(requestText("a")));
    let received = "";
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        socket.pause();
        setTimeout(() => socket.resume(), 3);
    });
    const [hadError] = (await once(socket, "close")) as [boolean];
    assert.deepEqual([body(received).length, hadError], [bodyBytes, false]);
});

for (const [name, response, method] of [
    ["without a length", `HTTP/1.1 200 OK\r\nt-id: a\r\nt-signed: 1\r\n\r\nhello`, "GET"],
    ["without a length or body, to HEAD,", `HTTP/1.1 200 OK\r\nt-id: a\r\nt-signed: 1\r\n\r\n`, "HEAD"],
    ["of status 204", `HTTP/1.1 204 No Content\r\nt-id: a\r\nt-signed: 1\r\n\r\n`, "GET"],
    ["of status 304", `HTTP/1.1 304 Not Modified\r\nt-id: a\r\nt-signed: 1\r\n\r\n`, "GET"],
] as const) {
    // Guards against requests that have run and get no response, as one before them on their connection closes it.
    test(`requests that follow one whose response is ${name} on its connection are answered`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) => {
            if (id === "a") {
                setTimeout(() => socket.end(response), 100);
            } else {
                socket.write(responseText(id, `for ${id}`));
            }
        });
        const { port } = await startFrontend(t, [server]);
        const requests = [requestText("a", { method }), requestText("b"), requestText("c")];
        const result = await sendRaw(port, requests.join(""), 500);
        assert.ok(result.text.includes("for b"), result.text);
        assert.ok(result.text.endsWith("for c"), result.text);
        assert.equal(result.end, "open");
    });
}

// Guards against a response that a server's crash has cut and that looks whole, as 4508e5d brought.
for (const parts of [1, 20]) {
    test(`before other requests, a response without a length of ${parts * long.length} bytes isn't given an end if its server has ended`, async t => {
        const server = await startEndingServer(t, parts);
        const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
        const { text, end } = await sendRaw(port, requestText("a") + requestText("b"), 2_000);
        assert.doesNotMatch(text, /content-length/i);
        assert.ok(!text.includes("\r\n0\r\n\r\n"), text.slice(-100));
        assert.notEqual(end, "open");
    });
}

// Guards against a response that is ready and is replaced by a timeout, as the proof that would keep its connection is late.
test("a response without a length doesn't wait past its deadline for a server to show that it lives", async t => {
    let isSlow = false;
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            if (id === "a") {
                isSlow = true;
                setTimeout(() => socket.end(`${unframedHead(id)}hello`), 50);
            }
        },
        {
            answerProbe: socket => {
                if (!isSlow) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            },
        },
    );
    const { port } = await startFrontend(t, [server], { timeoutMs: 300, maxAttempts: 1 });
    const { text } = await sendRaw(port, requestText("a") + requestText("b"), 1_000);
    assert.match(text, /^HTTP\/1.1 200 [^]*hello$/);
});

// Guards against requests that have run and get no response, as the proof that would keep their connection is late.
test("requests behind a response without a length are answered, also if its server takes a while to show that it lives", async t => {
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => {
            if (id === "a") {
                setTimeout(() => socket.end(`${unframedHead(id)}hello`), 50);
            } else {
                socket.write(responseText(id, `for ${id}`));
            }
        },
        {
            answerProbe: socket =>
                void setTimeout(() => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), 300),
        },
    );
    const { port } = await startFrontend(t, [server]);
    const { text, end } = await sendRaw(port, requestText("a") + requestText("b"), 1_000);
    assert.ok(text.endsWith("for b"), text);
    assert.equal(end, "open");
});

// Guards against requests that have run and get no response, as the one before them is too long to be buffered.
test("requests behind a response without a length that is too long to be buffered are answered", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        if (id === "a") {
            socket.end(`${unframedHead(id)}${long.repeat(20)}`);
        } else {
            socket.write(responseText(id, `for ${id}`));
        }
    });
    const { port } = await startFrontend(t, [server]);
    const requests = ["a", "b", "c"].map(id => requestText(id)).join("");
    const { text, end } = await sendRaw(port, requests, 1_000);
    assert.equal(text.split("x").length - 1, 20 * long.length);
    assert.ok(text.includes("for b") && text.endsWith("for c"), text.slice(-300));
    assert.equal(end, "open");
});

// Guards against a response to HEAD that closes its connection, or that is given the length of its missing body.
test("a response to HEAD without a length is relayed without one and keeps its connection", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) =>
        socket.write(id === "a" ? unframedHead(id) : responseText(id, `for ${id}`)),
    );
    const { port } = await startFrontend(t, [server]);
    const { text, end } = await sendRaw(port, requestText("a", { method: "HEAD" }) + requestText("b"), 500);
    assert.doesNotMatch(text.slice(0, text.indexOf("\r\n\r\n")), /content-length|connection: close/i);
    assert.ok(text.endsWith("for b"), text);
    assert.equal(end, "open");
});

// Guards against a peer's end that looks like the end of the response that it was relaying.
for (const bytes of [100, 2_000_000]) {
    test(`a response of ${bytes} bytes without a length doesn't look complete if the peer that relays it is reset`, async t => {
        const peer = await startRawServer(t, "peer", ({ socket, id }) => {
            socket.write(`${unframedHead(id)}${"x".repeat(bytes)}`);
            setTimeout(() => socket.resetAndDestroy(), 300);
        });
        const { port } = await startFrontend(t, [], { maxAttempts: 1 }, { helpers: [helperAt(peer)] });
        const { text, end } = await sendRaw(port, requestText("a"), 1_000);
        assert.deepEqual([status(text), end], [200, "reset"]);
    });
}

// Guards against requests that run although the response before them closes their connection.
test("a request that arrives while a response without a length is streamed reaches no server", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        if (id === "a") {
            socket.write(`${unframedHead(id)}the beginning`);
            setTimeout(() => socket.end(", the end"), 400);
        } else {
            socket.write(responseText(id, `for ${id}`));
        }
    });
    const { port } = await startFrontend(t, [server]);
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true }, () =>
        socket.write(requestText("a")),
    );
    t.after(() => socket.destroy());
    let text = "";
    socket.on("data", chunk => (text += chunk.toString("latin1")));
    await once(socket, "data");
    socket.write(requestText("b"));
    await once(socket, "end");
    // The caller leaves its side open for a while.
    await new Promise(resolve => setTimeout(resolve, 200));
    assert.ok(text.endsWith("the beginning, the end"));
    assert.deepEqual(
        server.requests.map(it => it.id),
        ["a"],
    );
});

// Guards against the same where the response before them is whole, but waits for its turn.
test("a request that arrives while a response without a length waits for its turn is answered", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        if (id === "b") {
            socket.end(`${unframedHead(id)}hello`);
        } else {
            setTimeout(() => socket.write(responseText(id, `for ${id}`)), id === "a" ? 300 : 0);
        }
    });
    const { port, records } = await startFrontend(t, [server]);
    const socket = connect(port, "127.0.0.1", () => socket.write(requestText("a") + requestText("b")));
    t.after(() => socket.destroy());
    let text = "";
    socket.on("data", chunk => (text += chunk.toString("latin1")));
    await new Promise(resolve => setTimeout(resolve, 150));
    socket.write(requestText("c"));
    await new Promise(resolve => setTimeout(resolve, 400));
    assert.ok(text.endsWith("for c"), text);
    assert.deepEqual(records.map(it => `${it.requestId} ${it.status}`).sort(), ["a 200", "b 200", "c 200"]);
});

// Guards against memory that grows with responses which are whole and wait for their turn.
test("responses without a length that wait for their turn count as buffered", async t => {
    const respond: RequestHandler = ({ socket, id }) => {
        if (id.startsWith("long")) {
            socket.end(`${unframedHead(id)}${long.repeat(9)}`);
        } else {
            setTimeout(() => socket.write(responseText(id, `for ${id}`)), 500);
        }
    };
    const servers = await Promise.all(["s1", "s2"].map(id => startRawServer(t, id, respond)));
    const { port } = await startFrontend(t, servers);
    const ids = ["first", ...[1, 2, 3, 4, 5, 6].map(it => `long${it}`), "last"];
    const socket = connect(port, "127.0.0.1", () => socket.write(ids.map(id => requestText(id)).join("")));
    t.after(() => socket.destroy());
    let text = "";
    socket.on("data", chunk => (text += chunk.toString("latin1")));
    while (!text.endsWith("for last")) {
        await once(socket, "data");
    }
    assert.equal(text.split("x").length - 1, 6 * 9 * long.length);
    // Four of them fill the buffers of the test's entry VM, so that the others are streamed.
    const inChunks = text.split(/\r\ntransfer-encoding: chunked\r\n/i).length - 1;
    assert.ok(inChunks >= 2, `${inChunks} of 6 in chunks`);
});

test("a response without a length that no request follows costs no probe", async t => {
    let probes = 0;
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) =>
            id === "a" ? socket.write(responseText(id, "first")) : socket.end(`${unframedHead(id)}hello`),
        {
            answerProbe: socket => {
                probes++;
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            },
        },
    );
    const { port } = await startFrontend(t, [server]);
    await sendRaw(port, requestText("a"));
    const probesBefore = probes;
    const { text, end } = await sendRaw(port, requestText("b") + requestText("c"), 1_000);
    assert.ok(text.endsWith("hello"));
    assert.equal(end, "closed");
    assert.ok(probes - probesBefore <= 3, `${probes - probesBefore} probes`);
});

test("a response that breaks off midway closes the caller's connection", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nContent-Length: 200000\r\n\r\n`;
        socket.write(`${head}${long}`);
        setTimeout(() => socket.end(), 50);
    });
    const { port } = await startFrontend(t, [server], { kind: "download" });
    const result = await sendRaw(port, requestText("a"));
    assert.notEqual(result.end, "open");
    assert.ok(body(result.text).length < 200_000);
});

test("a chunked response that breaks off doesn't look complete", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
        socket.write(`${head}5\r\nhello\r\n`);
        setTimeout(() => socket.end(), 50);
    });
    const { port } = await startFrontend(t, [server], { kind: "download" });
    const result = await sendRaw(port, requestText("a"));
    assert.ok(!result.text.endsWith("0\r\n\r\n"));
});

test("a response with the id of another request is discarded", async t => {
    const server = await startRawServer(t, "s1", ({ socket }) =>
        socket.write(responseText("other", "not yours")),
    );
    const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
    const result = await sendRaw(port, requestText("a", { method: "POST", body: "b" }));
    assert.equal(status(result.text), 502);
    assert.ok(!result.text.includes("not yours"));
});

test("an extra response right after a complete one is discarded", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(responseText(id, `for ${id}`) + responseText(id, "extra"));
    });
    const { port } = await startFrontend(t, [server]);
    for (const id of ["a", "b", "c"]) {
        const result = await sendRaw(port, requestText(id));
        assert.equal(body(result.text), `for ${id}`);
    }
});

test("an extra response that arrives with the next request is discarded", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id, indexOnConnection }) => {
        const late = indexOnConnection === 1 ? responseText("a", "late") : "";
        socket.write(late + responseText(id, `for ${id}`));
    });
    const { port } = await startFrontend(t, [server]);
    for (const id of ["a", "b", "c"]) {
        const result = await sendRaw(port, requestText(id));
        assert.equal(body(result.text), `for ${id}`);
    }
});

test("responses to pipelined requests are sent in order", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        setTimeout(() => socket.write(responseText(id, `for ${id}`)), id === "a" ? 100 : 0);
    });
    const { port } = await startFrontend(t, [server]);
    const result = await sendRaw(port, requestText("a") + requestText("b"));
    assert.ok(result.text.indexOf("for a") < result.text.indexOf("for b"));
    assert.ok(result.text.includes("for b"));
});

test("a connection that is reused many times accumulates no listeners", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    const { port } = await startFrontend(t, [server]);
    const warnings: Error[] = [];
    const warned = (warning: Error): void => void warnings.push(warning);
    process.on("warning", warned);
    t.after(() => process.off("warning", warned));
    for (let i = 0; i < 30; i++) {
        await sendRaw(port, requestText(`a${i}`));
    }
    assert.equal(server.requests.at(-1)?.indexOnConnection, 29);
    assert.deepEqual(warnings, []);
});

// Guards against a response that breaks off and looks whole to a caller of HTTP/1.0, for whom it ends with its connection.
test("a caller of HTTP/1.0 gets a response in chunks without them, and a reset if it breaks off", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
        socket.write(`${head}${long.length.toString(16)}\r\n${long}\r\n`);
        setTimeout(() => (id === "whole" ? socket.write("0\r\n\r\n") : socket.end()), 50);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    const send = (id: string): Promise<{ readonly text: string; readonly end: string }> =>
        new Promise(resolve => {
            const request = requestText(id).replace("HTTP/1.1", "HTTP/1.0");
            const socket = connect(port, "127.0.0.1", () => socket.write(request));
            let text = "";
            socket.on("data", chunk => (text += chunk.toString("latin1")));
            socket.on("error", () => resolve({ text, end: "reset" }));
            socket.on("close", () => resolve({ text, end: "closed" }));
        });
    const whole = await send("whole");
    assert.equal(whole.end, "closed");
    assert.ok(body(whole.text) === long);
    assert.equal((await send("cut")).end, "reset");
});
