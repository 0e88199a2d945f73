import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { helperAt, requestText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);

/** Sends an order to an entry VM without links to the servers, whose only peer responds with `response`; returns the status. */
const statusBehind = async (t: TestContext, response: string): Promise<number> => {
    const peer = await startRawServer(t, "peer", ({ socket }) => socket.write(response));
    const { port } = await startFrontend(t, [], { kind: "non-idempotent" }, { helpers: [helperAt(peer)] });
    const result = await sendRaw(port, requestText("a", { method: "POST", body: "x" }));
    assert.equal(peer.requests.length, 1);
    return status(result.text);
};

for (const claimed of [408, 421, 429, 503]) {
    // Guards against a promise that nobody made: a peer of an earlier version passes a server's own failure on.
    test(`a server's own ${claimed} that a peer passes on isn't passed on as a promise that an order hasn't run`, async t => {
        const response = `HTTP/1.1 ${claimed} No\r\nt-id: a\r\nt-signed: 1\r\nContent-Length: 0\r\n\r\n`;
        assert.equal(await statusBehind(t, response), 502);
    });
}

// Guards against a promise that rests on a status alone, whoever sent it.
test("a peer's 503 without the statement that the order hasn't run promises nothing", async t => {
    const response = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    assert.equal(await statusBehind(t, response), 502);
});

test("a peer's 503 with the statement that the order hasn't run is passed on as that", async t => {
    const response = "HTTP/1.1 503 Busy\r\nbm-ran: not run\r\nContent-Length: 0\r\n\r\n";
    assert.equal(await statusBehind(t, response), 503);
});

test("an entry VM's own refusal states that the request hasn't run, also to peers", async t => {
    const { port } = await startFrontend(t, []);
    const { text } = await sendRaw(port, requestText("a", { method: "POST", body: "x" }));
    assert.match(text, /^HTTP\/1\.1 503 [^]*\r\nbm-ran: not run\r\n/);
});
