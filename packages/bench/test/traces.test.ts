import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { test } from "node:test";
import { readConfigTrace, replayConfigTrace } from "../src/fuzz-config-trace.js";

const directory = new URL("../../traces/", import.meta.url);
const names = readdirSync(directory).filter(name => /^config-.*\.json$/.test(name));

test("at least eight configuration traces are recorded", () => {
    assert.ok(names.length >= 8);
});

for (const name of names) {
    test(`trace ${name} ends with the recorded outcome`, async () => {
        const trace = await readConfigTrace(new URL(name, directory));
        assert.deepEqual(await replayConfigTrace(trace), trace.outcome);
    });
}
