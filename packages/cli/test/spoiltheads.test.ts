import assert from "node:assert/strict";
import { test } from "node:test";
import { spoiltHeads } from "@bramleymoor/testkit/spoiltheads";
import { startTextServer } from "@bramleymoor/testkit/textserver";
import { exitCodes } from "../src/exit.js";
import { key, run, writeTempFile } from "./builders.js";

const body = JSON.stringify({ id: "e", incarnation: "i", state: "serving", members: [], services: [] });
const text = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

for (const [what, spoil] of Object.entries({ "a sound head": (it: string) => it, ...spoiltHeads })) {
    // Guards against a status that nobody has sent.
    test(`an entry VM's response with ${what} is shown only if it is one`, async t => {
        const address = await startTextServer(t, () => spoil(text));
        const result = await run(["status", "--entry", address, "--key-file", writeTempFile(key)]);
        if (what === "a sound head") {
            assert.equal(result.code, 0, result.err);
        } else {
            assert.equal(result.code, exitCodes["entry-unreachable"], result.out);
            assert.ok(result.err.includes(address), result.err);
            assert.doesNotMatch(result.out, /serving/);
        }
    });
}
