import assert from "node:assert/strict";
import { test } from "node:test";
import { sendOrder, setUpRaw } from "./setup.js";

// Guards against "not run" for an order whose server says so in a head that is none.
test("a refusal with the status 000 counts as lost, not as a statement that the call hasn't run", async t => {
    const { proxy } = await setUpRaw(t, "", {
        spoil: text => `${text.replace(" 200 ", " 000 ")}bm-refused: full\r\nContent-Length: 0\r\n\r\n`,
    });
    const { status, headers } = await sendOrder(proxy, "o-1");
    assert.equal(status, 502);
    assert.deepEqual([headers["bm-error"], headers["bm-ran"]], ["server-lost", "outcome unknown"]);
});
