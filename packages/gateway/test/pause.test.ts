import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { KeepAliveAgent } from "../src/agent.js";
import { HttpProbeClient } from "../src/probeclient.js";
import { requestText, responseText, sendRaw, startFrontend, startRawServer, testWire } from "./setup.js";

const clock = (): number => performance.now();

const pause = (ms: number): void => {
    for (const end = clock() + ms; clock() < end;) {
        // The event loop doesn't run.
    }
};

test("a probe that is answered while the entry process is paused doesn't count as unanswered", async t => {
    const server = await startRawServer(t, "s1", () => undefined, {
        answerProbe: socket => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            pause(500);
        },
    });
    const agent = new KeepAliveAgent({ idleMs: 5_000, marginMs: 500, clock, pacer: new ReadPacer(clock) });
    t.after(() => agent.destroy());
    const client = new HttpProbeClient(testWire, { pooled: agent, unpooled: agent }, () => undefined);
    assert.ok(
        await client.probe(server.entry, "/health", { onNewConnection: false, onResend: () => undefined }),
    );
});

test("a response that arrives while the entry process is paused past the deadline is relayed", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => {
        socket.write(responseText(id, "ok"));
        pause(400);
    });
    const { port } = await startFrontend(t, [server], { timeoutMs: 200 });
    const { text } = await sendRaw(port, requestText("a", { extra: "Connection: close\r\n" }));
    assert.match(text, /^HTTP\/1.1 200 /);
});
