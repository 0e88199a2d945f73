import assert from "node:assert/strict";
import { test } from "node:test";
import { spoiltHeads } from "@bramleymoor/testkit/spoiltheads";
import { sendOrder, sendRaw, setUpRaw } from "./setup.js";

// Guards against "not run" for an order whose server says so in a head that is none.
test("a refusal with the status 000 counts as lost, not as a statement that the call hasn't run", async t => {
    const { proxy } = await setUpRaw(t, "", {
        spoil: text => `${text.replace(" 200 ", " 000 ")}bm-refused: full\r\nContent-Length: 0\r\n\r\n`,
    });
    const { status, headers } = await sendOrder(proxy, "o-1");
    assert.equal(status, 502);
    assert.deepEqual([headers["bm-error"], headers["bm-ran"]], ["server-lost", "outcome unknown"]);
});

/** Returns the text of a call. */
const callText = (method: string, path: string, version: string, extra = ""): string =>
    `${method} /v1/call/desk/${path} HTTP/${version}\r\nHost: h\r\nConnection: close\r\n${extra}\r\n`;

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    // Guards against a spoilt response that reaches a caller, whole or with the rest of its head as the body.
    test(`a response to a call with ${what} counts as lost`, async t => {
        const spoilFramed = (text: string): string => spoil(`${text}Content-Length: 5\r\n\r\nhello`);
        const { proxy } = await setUpRaw(t, "", { spoil: spoilFramed });
        const calls = [
            callText("GET", "list", "1.1"),
            callText("HEAD", "list", "1.1"),
            callText("GET", "list", "1.0"),
            callText("POST", "list", "1.1", "Content-Length: 0\r\n"),
        ];
        for (const text of calls) {
            assert.match(await sendRaw(proxy.port, text), /^HTTP\/1\.1 502 /, text);
        }
        assert.equal((await sendOrder(proxy, "o-1")).headers["bm-ran"], "outcome unknown");
        const { settled, slots } = proxy.dispatcher;
        assert.deepEqual(
            settled.map(it => it.result.kind),
            slots.map(() => "lost"),
        );
    });
}
