import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import { blockEventLoop, startPatientCallers } from "@bramleymoor/testkit/hastycallers";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

test("requests on connections that wait to be accepted when a planned stop closes the listener are answered", async t => {
    const server = await startRawServer(t, "s1", ({ socket, id }) => socket.write(responseText(id, "hello")));
    const { port, frontend } = await startFrontend(t, [server], { timeoutMs: 5_000, targetLatencyMs: 4_000 });
    await sendRaw(port, requestText("warm"));
    const texts = Array.from({ length: 40 }, (_, i) => requestText(`r-${i}`));
    const callers = startPatientCallers(port, texts);
    await once(callers, "online");
    blockEventLoop(400);
    frontend.beginDrain();
    const drained = frontend.drain();
    const [answered] = (await once(callers, "message")) as [number];
    await drained;
    await callers.terminate();
    assert.equal(answered, texts.length);
});
