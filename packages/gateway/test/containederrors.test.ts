import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
    requestText,
    responseText,
    sendRaw,
    startFrontend,
    startRawServer,
    testWire,
    type RawServer,
} from "./setup.js";

const statusOf = (text: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);

/** An entry VM in which what is done for responses without a length throws. */
const failing = {
    exitReset: {
        arm: (): boolean => {
            throw new Error("thrown by a test");
        },
        disarm: (): void => undefined,
    },
};

/** Starts a server that responds to "bad" without a length. */
const startServer = (t: TestContext, bytes: number, delayMs = 0): Promise<RawServer> =>
    startRawServer(t, "s1", ({ socket, id }) => {
        if (id !== "bad") {
            setTimeout(() => socket.write(responseText(id, "hello")), delayMs);
            return;
        }
        socket.write(`HTTP/1.1 200 OK\r\nt-id: bad\r\nt-signed: 1\r\n\r\n${"x".repeat(bytes)}`);
        setTimeout(() => socket.end(), 20);
    });

for (const bytes of [5, 100_000, 3_000_000]) {
    // Guards against the end of the process, and of all requests, at an error in the relay of one response.
    test(`an error while a response of ${bytes} bytes is relayed ends that request only`, async t => {
        const { port, records, internalErrors } = await startFrontend(
            t,
            [await startServer(t, bytes, 200)],
            {},
            failing,
        );
        const other = sendRaw(port, requestText("other"));
        const { text } = await sendRaw(port, requestText("bad"));
        assert.equal(statusOf(text), 500);
        assert.equal(statusOf((await other).text), 200);
        assert.match(records.find(it => it.requestId === "bad")?.detail ?? "", /thrown by a test/);
        assert.deepEqual(internalErrors, []);
        assert.equal(statusOf((await sendRaw(port, requestText("next"))).text), 200);
    });
}

test("an error while a response waits for its turn closes its connection, and is logged", async t => {
    const { port, internalErrors } = await startFrontend(t, [await startServer(t, 5, 200)], {}, failing);
    const { text, end } = await sendRaw(port, requestText("first") + requestText("bad"));
    assert.deepEqual([statusOf(text), end], [200, "closed"]);
    assert.deepEqual(internalErrors, ["relaying a response: Error: thrown by a test"]);
    assert.equal(statusOf((await sendRaw(port, requestText("next"))).text), 200);
});

test("an error while a probe's response is examined ends that probe only, and is logged", async t => {
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => socket.write(responseText(id, "hello")),
        {
            answerProbe: socket =>
                void socket.write("HTTP/1.1 200 OK\r\nt-probe: 1\r\nContent-Length: 0\r\n\r\n"),
        },
    );
    const wire = {
        ...testWire,
        statement: (...args: Parameters<typeof testWire.statement>) => {
            assert.equal(args[1]["t-probe"], undefined, "thrown by a test");
            return testWire.statement(...args);
        },
    };
    const { port, internalErrors } = await startFrontend(t, [server], {}, { wire });
    assert.equal(statusOf((await sendRaw(port, requestText("a"))).text), 200);
    assert.match(internalErrors[0] ?? "", /^examining a probe's response: .*thrown by a test/);
});
