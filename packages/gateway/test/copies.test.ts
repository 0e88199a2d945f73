import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { buffer } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
    helperAt,
    requestText,
    responseText,
    sendRaw,
    startFrontend,
    startRawServer,
    type RawServer,
} from "./setup.js";

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);

const refusal = (id: string): string =>
    `HTTP/1.1 503 Busy\r\nt-id: ${id}\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n`;

const failure = (id: string): string =>
    `HTTP/1.1 500 Failed\r\nt-id: ${id}\r\nt-signed: 1\r\nContent-Length: 0\r\n\r\n`;

/** Time from the copy of an earlier response to the response itself, in milliseconds. */
const runMs = 30;

/**
 * Starts a server that responds to the first request with an id by `first`, and runs the others. Where one of these comes on
 * the connection of the first, it repeats `first` before its own response.
 */
const startRepeatingServer = async (
    t: TestContext,
    name: string,
    first: (id: string) => string,
): Promise<RawServer> => {
    const firstSockets = new Map<string, Socket>();
    return await startRawServer(t, name, ({ socket, id }) => {
        const firstSocket = firstSockets.get(id);
        if (!firstSocket) {
            firstSockets.set(id, socket);
            socket.write(first(id));
            return;
        }
        if (socket === firstSocket) {
            socket.write(first(id));
        }
        setTimeout(() => socket.write(responseText(id, "ran")), runMs);
    });
};

/** A refusal that names no request. */
const unnamedRefusal = "HTTP/1.1 503 Busy\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n";

const closing = (id: string): string => requestText(id, { extra: "Connection: close\r\n" });

const order = (id: string): string =>
    requestText(id, { method: "POST", body: "x", extra: "Connection: close\r\n" });

// Guards against REFUSED and TWICE: the copy of a refusal bears the id of the request that is under way again.
test("a copy of a refusal isn't a refusal of the same request that its caller sends again", async t => {
    const server = await startRepeatingServer(t, "s1", refusal);
    const { port } = await startFrontend(
        t,
        [server],
        { kind: "non-idempotent", maxAttempts: 1 },
        { idleClock: () => 0 },
    );
    await sendRaw(port, requestText("warm-up"));
    for (const id of ["a", "b", "c"]) {
        const first = await sendRaw(port, order(id));
        assert.equal(status(first.text), 503, id);
        const again = await sendRaw(port, order(id));
        assert.match(again.text, /ran$/, `${id} ran, and its caller got ${status(again.text)}`);
    }
});

// Guards against MIXED: a failure that the server gave to an earlier send is passed on for one that it answered with success.
test("a copy of a failure isn't the response to the same request that its caller sends again", async t => {
    const server = await startRepeatingServer(t, "s1", failure);
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    for (const id of ["a", "b", "c"]) {
        const first = await sendRaw(port, requestText(id));
        assert.equal(status(first.text), 500, id);
        const again = await sendRaw(port, requestText(id));
        assert.match(again.text, /ran$/, id);
    }
});

// Guards against REFUSED and TWICE: an incarnation that another one has replaced is tried at the same address.
test("a copy of a refusal isn't a refusal of the retry at another incarnation with the same address", async t => {
    const old = await startRepeatingServer(t, "s1", refusal);
    const replacing: RawServer = { ...old, entry: { ...old.entry, id: "s2" } };
    const { port } = await startFrontend(
        t,
        [old, replacing],
        { kind: "non-idempotent", maxAttempts: 3 },
        { idleClock: () => 0 },
    );
    for (const id of ["a", "b", "c"]) {
        const { text } = await sendRaw(port, order(id));
        assert.match(text, /ran$/, id);
        assert.equal(old.requests.filter(it => it.id === id).length, 2, `${id} was sent more than twice`);
    }
});

test("a copy of a failure isn't a peer's response to the same request that its caller sends again", async t => {
    const peer = await startRepeatingServer(t, "peer", failure);
    const { port } = await startFrontend(t, [], { maxAttempts: 1 }, { helpers: [helperAt(peer)] });
    for (const id of ["a", "b", "c"]) {
        const first = await sendRaw(port, requestText(id));
        assert.equal(status(first.text), 500, id);
        const again = await sendRaw(port, requestText(id));
        assert.match(again.text, /ran$/, id);
    }
});

test("a peer's response that names another request isn't relayed", async t => {
    const peer = await startRawServer(t, "peer", ({ socket }) =>
        socket.write(responseText("other", "other's")),
    );
    const { port } = await startFrontend(t, [], { maxAttempts: 1 }, { helpers: [helperAt(peer)] });
    const { text } = await sendRaw(port, requestText("a"));
    assert.equal(status(text), 502);
});

// Guards against REFUSED: such a refusal was believed if it was the first without an id on its connection.
test("a refusal without an id on a connection that has carried another request isn't a promise", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id, indexOnConnection }) => {
        if (indexOnConnection > 0) {
            socket.write(unnamedRefusal);
        }
        setTimeout(() => socket.write(responseText(id, "ran")), runMs);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    await sendRaw(port, closing("first"));
    const { text } = await sendRaw(port, closing("next"));
    assert.doesNotMatch(text, /^HTTP\/1\.1 503/);
});

// Guards against REFUSED: bytes behind a response that waits for its turn at the caller are discarded, and its connection is reused.
test("a copy of a refusal without an id isn't one of the next request if its original came behind a complete response", async t => {
    // The caller's pipelined response waits beyond what is buffered of it, but has arrived in full.
    const long = "l".repeat(1024 * 1024 + 40_000);
    let longSocket: Socket | undefined;
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        if (id === "slow") {
            setTimeout(() => socket.write(responseText(id, "slow")), 600);
        } else if (id === "long") {
            longSocket = socket;
            socket.write(responseText(id, long));
            setTimeout(() => socket.write(unnamedRefusal), 300);
        } else {
            if (socket === longSocket) {
                socket.write(unnamedRefusal);
            }
            setTimeout(() => socket.write(responseText(id, "ran")), runMs);
        }
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    await sendRaw(port, requestText("slow") + requestText("long"));
    await delay(20);
    const { text } = await sendRaw(port, closing("next"));
    assert.match(text, /ran$/);
});

test("a request isn't lost on an idle connection that a copy has closed in the same turn", async t => {
    let newest: Socket | undefined;
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.setNoDelay(true);
        newest = id === "b" ? socket : newest;
        setTimeout(() => socket.write(responseText(id, "ran")), id === "b" ? 2 * runMs : runMs);
    });
    const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
    await Promise.all([sendRaw(port, closing("a")), sendRaw(port, closing("b"))]);
    const caller = connect(port, "127.0.0.1");
    await once(caller, "connect");
    await delay(20);
    newest?.write(responseText("b", "ran"));
    caller.write(closing("next"));
    const bytes = await buffer(caller);
    assert.match(bytes.toString(), /ran$/);
});

const cutCopies: Readonly<Record<string, string>> = {
    "its status line": "HTTP/1.1 503 ",
    "its reason phrase": "HTTP/1.1 503 Bu",
    "a header's value": "HTTP/1.1 503 Busy\r\nt-not-run: ",
};

for (const [where, cut] of Object.entries(cutCopies)) {
    // Guards against REFUSED and MIXED: the status of the copy, with the headers of the response behind it.
    test(`a copy that is cut within ${where} doesn't give its status to the response behind it`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id, indexOnConnection }) =>
            socket.write(`${indexOnConnection > 0 ? cut : ""}${responseText(id, "ran")}`),
        );
        const { port } = await startFrontend(t, [server], { maxAttempts: 1 });
        await sendRaw(port, closing("first"));
        const { text } = await sendRaw(port, closing("next"));
        assert.equal(status(text), 502);
    });
}
