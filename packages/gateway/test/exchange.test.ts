import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { KeepAliveAgent } from "../src/agent.js";
import { Exchange, SendError } from "../src/exchange.js";
import { responseText, startRawServer } from "./setup.js";

const clock = (): number => performance.now();
const maxConnectMs = 250;

const pause = (ms: number): void => {
    for (const end = clock() + ms; clock() < end;) {
        // The event loop doesn't run.
    }
};

test("a connection that is established after a pause of the process carries no request with an outdated deadline", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "ok")));
    const agent = new KeepAliveAgent({ idleMs: 0, marginMs: 0, clock, pacer: new ReadPacer(clock) });
    t.after(() => agent.destroy());
    const exchange = new Exchange({
        address: server.entry.address,
        agent,
        requestId: "a",
        method: "GET",
        target: "/x",
        headers: ["Host", "h.example", "t-id", "a", "t-deadline", "300"],
        latestConnectAt: clock() + maxConnectMs,
        clock,
        examine: () => undefined,
        writeBody: req => req.end(),
    });
    pause(2 * maxConnectMs);
    const err: unknown = await exchange.head.then(
        () => undefined,
        (it: unknown) => it,
    );
    assert.ok(err instanceof SendError);
    assert.equal(err.result.kind, "unreachable");
    assert.equal(server.requests.length, 0);
});
