import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { test } from "node:test";
import { readConfigTrace, replayConfigTrace } from "../src/fuzz-config-trace.js";

const directory = new URL("../../traces/", import.meta.url);
const names = readdirSync(directory).filter(name => /^config-.*\.json$/.test(name));

test("there are traces of configuration", () => {
    assert.ok(names.length >= 8);
});

for (const name of names) {
    test(`trace ${name} ends as stated`, async () => {
        const trace = await readConfigTrace(new URL(name, directory));
        assert.deepEqual(await replayConfigTrace(trace), trace.outcome);
    });
}
