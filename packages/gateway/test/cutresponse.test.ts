import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
    ownProcessMs,
    requestText,
    responseText,
    sendRaw,
    startFrontend,
    startRawServer,
    type RawServer,
    type RequestHandler,
} from "./setup.js";

const timeoutMs = 300;
const limits = { timeoutMs, targetLatencyMs: timeoutMs };
const longBytes = 90_000;

/** Responds to a request with its id, over and over; to "silent" ones not at all. */
const respondLong =
    (isChunked: boolean): RequestHandler =>
    ({ socket, id }) => {
        if (id.startsWith("silent")) {
            return;
        }
        const body = id.repeat(Math.ceil(longBytes / id.length)).slice(0, longBytes);
        const head = `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
        socket.write(
            isChunked ? `${head}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : responseText(id, body),
        );
    };

/** Starts servers with 16 slots in all. */
const startServers = (t: TestContext, handler: RequestHandler): Promise<readonly RawServer[]> =>
    Promise.all(["s1", "s2", "s3", "s4"].map(id => startRawServer(t, id, handler)));

interface Response {
    readonly status: number;
    readonly body: string;
}

/** Splits what arrived on a connection into responses, by their framing; one that isn't whole is left out. */
const parseResponses = (text: string): readonly Response[] => {
    const responses: Response[] = [];
    for (let at = 0; at < text.length;) {
        const bodyAt = text.indexOf("\r\n\r\n", at) + 4;
        const head = text.slice(at, bodyAt);
        const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
        const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
        const end = length === undefined ? text.indexOf("\r\n0\r\n\r\n", bodyAt) : bodyAt + Number(length);
        if (bodyAt < 4 || end < 0 || end > text.length) {
            break;
        }
        const raw = text.slice(bodyAt, end);
        responses.push({
            status,
            body: length === undefined ? raw.replaceAll(/(^|\r\n)[\da-f]+\r\n/g, "") : raw,
        });
        at = length === undefined ? end + 7 : end;
    }
    return responses;
};

for (const isChunked of [false, true]) {
    const framing = isChunked ? "in chunks" : "with a length";

    // Guards against a long response that is aborted while it waits for its turn, and then ends as if it were whole.
    test(`long responses ${framing} behind one past its timeout are whole or replaced by errors`, async t => {
        const servers = await startServers(t, respondLong(isChunked));
        const { port } = await startFrontend(t, servers, limits, { clock: ownProcessMs });
        await Promise.all(
            Array.from({ length: 4 }, async (_, i) => {
                const ids = [`silent${i}`, `second${i}`, `third${i}`];
                const { text } = await sendRaw(port, ids.map(id => requestText(id)).join(""), 2_000);
                const responses = parseResponses(text);
                assert.equal(responses.length, ids.length, text.slice(0, 200));
                responses.forEach(({ status, body }, at) => {
                    const id = ids[at] ?? "";
                    assert.ok([200, 504].includes(status), `status ${status}`);
                    assert.ok(
                        status !== 200 ||
                            (body.length === longBytes && body.replaceAll(id, "").length < id.length),
                    );
                });
            }),
        );
    });
}

for (const isLate of [false, true]) {
    const when = isLate ? "while it is being relayed" : "before it";

    // Guards against requests that run behind a response that breaks off, whose connection has to be closed without an answer to them.
    test(`requests sent ${when} behind a long response that its server breaks off are answered, or reach no server`, async t => {
        const servers = await startServers(t, ({ socket, id }) => {
            if (id === "cut") {
                const text = responseText(id, "x".repeat(longBytes)).slice(0, -1_000);
                setTimeout(() => socket.write(text), 50);
                setTimeout(() => socket.end(), 250);
            } else {
                socket.write(responseText(id, `for ${id}`));
            }
        });
        const { port } = await startFrontend(t, servers, { maxAttempts: 1 });
        const socket = connect(port, "127.0.0.1");
        let text = "";
        socket.on("data", chunk => (text += chunk.toString("latin1")));
        socket.on("error", () => undefined);
        socket.write(requestText("cut"));
        await delay(isLate ? 150 : 0);
        socket.write(requestText("b") + requestText("c"));
        await delay(800);
        socket.destroy();
        const ran = servers.flatMap(it => it.requests.map(({ id }) => id)).filter(id => id !== "cut");
        assert.deepEqual(
            ran.filter(id => !text.includes(`for ${id}`)),
            [],
        );
        assert.ok(isLate || ran.length === 2);
    });
}

// Guards against a long response that isn't whole, or out of order, as it is too long to be buffered beside others.
test("a response that is too long to be buffered beside others on its connection is streamed", async t => {
    const bytes = 6_000_000;
    const servers = await startServers(t, ({ socket, id }) =>
        socket.write(responseText(id, id.repeat(id === "b" ? bytes : 10))),
    );
    const { port } = await startFrontend(t, servers);
    const { text } = await sendRaw(port, ["a", "b", "c"].map(id => requestText(id)).join(""), 2_000);
    assert.deepEqual(
        parseResponses(text).map(({ status, body }) => [status, body[0], body.length]),
        [
            [200, "a", 10],
            [200, "b", bytes],
            [200, "c", 10],
        ],
    );
});
