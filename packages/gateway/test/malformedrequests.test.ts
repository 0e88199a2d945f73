import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
    ownProcessMs,
    requestText,
    responseText,
    sendRaw,
    startFrontend,
    startRawServer,
    testWire,
} from "./setup.js";

const status = (text: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);

const malformed: Readonly<Record<string, string>> = {
    "a tab in its path": requestText("bad", { path: "/a\tb" }),
    "a form feed in its path": requestText("bad", { path: "/a\fb" }),
    "a header name with a space": requestText("bad", { extra: "x trace: 1\r\n" }),
};

for (const [name, text] of Object.entries(malformed)) {
    // Guards against requests that are admitted but can't be written, whose slots were never given back.
    test(`requests with ${name} get 400 and hold no slot`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) =>
            socket.write(responseText(id, "hello")),
        );
        const { port } = await startFrontend(t, [server]);
        for (let i = 0; i < 2 * server.entry.slots; i++) {
            assert.equal(status((await sendRaw(port, text)).text), 400);
        }
        assert.equal(status((await sendRaw(port, requestText("good"))).text), 200);
        assert.equal(server.requests.length, 1);
    });
}

// Guards against slots that are lost with whatever is thrown before a request is sent.
test("a request that fails unexpectedly between the grant of its slot and its send gives the slot back", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    let failures = 2 * server.entry.slots;
    const wire: typeof testWire = {
        ...testWire,
        requestHeaders: (deadlineMs, serverId) => {
            assert.ok(failures-- <= 0, "a failure of the test");
            return testWire.requestHeaders(deadlineMs, serverId);
        },
    };
    const { port } = await startFrontend(t, [server], {}, { wire });
    while (failures > 0) {
        assert.equal(status((await sendRaw(port, requestText("failed"))).text), 500);
    }
    assert.equal(status((await sendRaw(port, requestText("good"))).text), 200);
});

// Guards against any byte of a request's head that keeps the requests of other callers from being served.
test("whatever byte of requests' heads is spoiled, other callers are served", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    const { port } = await startFrontend(
        t,
        [server],
        { timeoutMs: 300, targetLatencyMs: 300 },
        { clock: ownProcessMs },
    );
    const arbitraryByte = fc.oneof(fc.constantFrom(...Buffer.from(" \t\f:,0\r\n")), fc.nat(255));
    const arbitrarySpoils = fc.array(fc.record({ at: fc.nat(999), byte: arbitraryByte }), {
        minLength: 1,
        maxLength: 2,
    });
    let lastId = 0;
    await fc.assert(
        fc.asyncProperty(arbitrarySpoils, async spoils => {
            const bytes = Buffer.from(
                requestText(`s${++lastId}`, { path: "/a/path/of/some/length" }),
                "latin1",
            );
            spoils.forEach(({ at, byte }) => (bytes[Math.floor((at / 1_000) * (bytes.length - 4))] = byte));
            // The second request completes a head whose end was spoiled.
            await sendRaw(port, bytes.toString("latin1") + requestText(`s${++lastId}`), 400);
            const sound = await sendRaw(port, requestText(`s${++lastId}`));
            assert.equal(status(sound.text), 200, sound.text);
        }),
        { numRuns: 200, seed: 1 },
    );
});
