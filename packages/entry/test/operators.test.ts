import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { OperatorsServer, type OperatorsApi } from "../src/operators.js";
import { SharedKey } from "../src/sharedkey.js";

const unexpected = (): never => {
    throw new Error("not called in this test");
};

test("a malformed escape in the name of a service to explain gets 400 and says what is wrong", async t => {
    const api: OperatorsApi = {
        status: unexpected,
        explain: () => undefined,
        metrics: unexpected,
        histograms: unexpected,
    };
    const key = new SharedKey("k".repeat(SharedKey.minLength));
    const server = new OperatorsServer(api, key, new ReadPacer(() => performance.now()));
    const port = await server.listen(0, "127.0.0.1");
    t.after(() => server.close());
    for (const [name, status] of [
        ["%", 400],
        ["%zz", 400],
        ["%c3%28", 400],
        ["stops%20lookup", 404],
        ["", 404],
        ["x".repeat(4_000), 404],
    ] as const) {
        const res = await fetch(`http://127.0.0.1:${port}/explain/${name}`, {
            headers: { authorization: key.authorization },
        });
        const { error } = (await res.json()) as { readonly error: string };
        assert.equal(res.status, status, name);
        assert.match(error, status === 400 ? /malformed escape/ : /has no service/);
    }
});
