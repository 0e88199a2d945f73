import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { spoiltHeads } from "@bramleymoor/testkit/spoiltheads";
import {
    helperAt,
    requestText,
    responseText,
    sendRaw,
    startFrontend,
    startRawServer,
    type RawServer,
} from "./setup.js";

const statusOf = (text: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
const soundProbe = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/** Callers by method and version. */
const callers = ["GET 1.1", "POST 1.1", "HEAD 1.1", "GET 1.0"];

/** Starts a server that responds to requests whose id begins with "bad" with a head that `spoil` spoils. */
const startServer = (
    t: TestContext,
    spoil: (text: string) => string,
    write: (socket: Socket, text: string) => void = (socket, text) => void socket.write(text, "latin1"),
): Promise<RawServer> =>
    startRawServer(t, "s1", ({ socket, id, head }) => {
        const text = responseText(id, "hello");
        const sent = head.startsWith("HEAD") ? text.slice(0, -"hello".length) : text;
        write(socket, id.startsWith("bad") ? spoil(sent) : sent);
    });

const requestOf = (caller: string, id: string): string => {
    const [method, version] = caller.split(" ");
    const body = method === "POST" ? "b" : "";
    const text = requestText(id, { method: method!, body, extra: "Connection: close\r\n" });
    return text.replace("HTTP/1.1", `HTTP/${version}`);
};

/** Returns what callers got of a response that a server or a peer sends with a spoilt head, and of the next one. */
const responsesBehind = async (port: number): Promise<readonly string[]> => {
    const seen: string[] = [];
    for (const caller of callers) {
        const spoilt = await sendRaw(port, requestOf(caller, `bad ${caller}`.replaceAll(" ", "-")), 1_000);
        const next = await sendRaw(port, requestOf(caller, `next-${caller}`.replaceAll(" ", "-")));
        seen.push(`${caller}: ${statusOf(spoilt.text)}, then ${statusOf(next.text)}`);
    }
    return seen;
};

const expected = callers.map(it => `${it}: 502, then 200`);

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    // Guards against a spoilt response that reaches a caller, whole or with the rest of its head as the body.
    test(`a server's response with ${what} counts as lost, and the next request is served`, async t => {
        const { port } = await startFrontend(t, [await startServer(t, spoil)], { maxAttempts: 1 });
        assert.deepEqual(await responsesBehind(port), expected);
    });
}

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    test(`a peer's response with ${what} counts as lost, and the next request is served`, async t => {
        const helpers = [helperAt(await startServer(t, spoil))];
        const { port } = await startFrontend(t, [], { maxAttempts: 1 }, { helpers });
        assert.deepEqual(await responsesBehind(port), expected);
    });
}

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    // Guards against a server that counts as leaving, or as having no room, by what a spoilt head says.
    test(`a probe's response with ${what} says nothing, and the server is served by`, async t => {
        const leaving = soundProbe.replace("\r\n", "\r\nt-leaving: 1\r\nt-limit: 0\r\nt-not-now: 5000\r\n");
        const server = await startRawServer(
            t,
            "s1",
            ({ socket, id }) => socket.write(responseText(id, "hello")),
            { answerProbe: socket => void socket.write(spoil(leaving), "latin1") },
        );
        const { port } = await startFrontend(t, [server]);
        for (const id of ["a", "b"]) {
            assert.equal(statusOf((await sendRaw(port, requestText(id))).text), 200);
        }
    });
}

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    test(`a response with ${what} that arrives byte by byte counts as lost`, async t => {
        const server = await startServer(t, spoil, (socket, text) => {
            socket.setNoDelay(true);
            const bytes = [...text];
            const writeNext = (): void => {
                const byte = bytes.shift();
                if (byte !== undefined && socket.writable) {
                    socket.write(byte, "latin1");
                    setImmediate(writeNext);
                }
            };
            writeNext();
        });
        const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
        const { text } = await sendRaw(port, requestOf("GET 1.1", "bad"), 1_000);
        assert.equal(statusOf(text), 502);
        assert.equal(statusOf((await sendRaw(port, requestOf("GET 1.1", "next"))).text), 200);
    });
}
