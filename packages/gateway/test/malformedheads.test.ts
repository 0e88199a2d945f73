import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const status = (text: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);

/** Most of a head, so that most of its spoiled bytes are in a name that nothing reads. */
const longName = "x-trace-".repeat(12);

const malformed: Readonly<Record<string, (id: string, body: string) => string>> = {
    "the status 000": (id, body) => responseText(id, body).replace("200", "000"),
    "a header name with a space": (id, body) => responseText(id, body, "x trace: 1\r\n"),
    "a header without a name": (id, body) => responseText(id, body, ": 1\r\n"),
};

for (const [name, text] of Object.entries(malformed)) {
    for (const body of ["hello", "x".repeat(100_000)]) {
        const size = body.length > 5 ? "long" : "short";

        // Guards against the end of the process at one response that Node's parser accepts and its writer refuses.
        test(`a ${size} response with ${name} counts as lost, and the next request is served`, async t => {
            const server = await startRawServer(t, "s1", ({ socket, id }) =>
                socket.write(id === "bad" ? text(id, body) : responseText(id, body)),
            );
            const { port } = await startFrontend(t, [server], { kind: "non-idempotent" });
            const post = { method: "POST", body: "b" };
            assert.equal(status((await sendRaw(port, requestText("bad", post))).text), 502);
            assert.equal(status((await sendRaw(port, requestText("good", post))).text), 200);
        });
    }
}

for (const name of ["__proto__", "constructor"]) {
    // Guards against the end of the process at a header name that all objects have as a property.
    test(`a response with the header ${name} is relayed, and a probe's response is read`, async t => {
        const server = await startRawServer(
            t,
            "s1",
            ({ socket, id }) => socket.write(responseText(id, "hello", `${name}: 1\r\n`)),
            {
                answerProbe: socket =>
                    void socket.write(`HTTP/1.1 200 OK\r\n${name}: 1\r\nContent-Length: 0\r\n\r\n`),
            },
        );
        const { port } = await startFrontend(t, [server]);
        const result = await sendRaw(port, requestText("a"));
        assert.equal(status(result.text), 200);
        assert.match(result.text, new RegExp(`\r\n${name}: 1\r\n`));
    });
}

// Guards against any byte of a server's or a probe's head that ends the process or keeps a request unanswered.
test("whatever byte of response heads is spoiled, each request is answered and the next ones are served", async t => {
    let spoil: ((text: string) => string) | undefined = undefined;
    const write = (text: string): string => spoil?.(text) ?? text;
    const server = await startRawServer(
        t,
        "s1",
        ({ socket, id }) => socket.write(write(responseText(id, "hello", `${longName}: 1\r\n`)), "latin1"),
        {
            answerProbe: socket =>
                void socket.write(
                    write(`HTTP/1.1 200 OK\r\n${longName}: 1\r\nContent-Length: 0\r\n\r\n`),
                    "latin1",
                ),
        },
    );
    const { port } = await startFrontend(t, [server], { timeoutMs: 300, targetLatencyMs: 300 });
    const arbitraryByte = fc.oneof(fc.constantFrom(...Buffer.from(" \t:,0\r\n")), fc.nat(255));
    const arbitraryPlace = fc.nat(999);
    const arbitrarySpoils = fc.array(fc.record({ at: arbitraryPlace, byte: arbitraryByte }), {
        minLength: 1,
        maxLength: 2,
    });
    let lastId = 0;
    await fc.assert(
        fc.asyncProperty(arbitrarySpoils, async spoils => {
            spoil = text => {
                const bytes = Buffer.from(text, "latin1");
                const headLength = text.indexOf("\r\n\r\n");
                spoils.forEach(({ at, byte }) => (bytes[Math.floor((at / 1_000) * headLength)] = byte));
                return bytes.toString("latin1");
            };
            const spoiled = await sendRaw(port, requestText(`s${++lastId}`), 2_000);
            spoil = undefined;
            assert.ok(spoiled.end !== "open" || spoiled.text.length > 0);
            const sound = await sendRaw(port, requestText(`s${++lastId}`));
            assert.equal(status(sound.text), 200, sound.text);
        }),
        { numRuns: 300, seed: 1 },
    );
});

test("a server's response that a proxy at an address of three digits has passed on is relayed", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(responseText(id, "ok", "Via: HTTP/1.1 192.168.1.5:8080\r\n"));
    });
    const { port } = await startFrontend(t, [server]);
    assert.equal(status((await sendRaw(port, requestText("a"))).text), 200);
});
