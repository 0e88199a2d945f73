import assert from "node:assert/strict";
import { test } from "node:test";
import { measureStart } from "../src/storestart.js";

const entryVms = 200;
/** Calls of one primary reader in a second: a long poll of 0.5 s for the configuration, the servers each 0.6 s. */
const readerCallsPerSecond = 4;

test("entry VMs that start at once make fewer calls to the store than if each read both topics once", async () => {
    const rows = await measureStart(entryVms, 1);
    const calls = rows.reduce((sum, it) => sum + it.calls, 0);
    const seconds = rows.at(-1)?.until ?? 0;
    assert.ok(calls <= 2 * entryVms + readerCallsPerSecond * seconds, `${calls} calls in ${seconds} s`);
    assert.ok(
        rows.every(it => it.outdated === 0),
        "all data is younger than the bound",
    );
});
