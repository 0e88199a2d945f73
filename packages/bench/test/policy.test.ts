import assert from "node:assert/strict";
import { test } from "node:test";
import { measureChoosers, policyCommand } from "../src/policy.js";

test("the policy table has no figure that is not measured", () => {
    const settings = {
        deployment: "ratiba",
        load: 0.85,
        seeds: [1],
        dispatchers: 2,
        firstDispatcherShare: 0.5,
    };
    const rows = measureChoosers({ ...settings, faults: true, durationMs: 2_000 }, [
        "late-binding",
        "random",
    ]);
    const [first] = rows;
    assert.ok(first);
    const names = Object.keys(first) as (keyof typeof first)[];
    assert.deepEqual(
        names.filter(name => rows.every(row => row[name] === 0)),
        [],
    );
});

test("an unknown choice of --faults is an error that lists the choices", async () => {
    let written = "";
    const command = policyCommand()
        .exitOverride()
        .configureOutput({ writeErr: text => (written += text) });
    await assert.rejects(
        command.parseAsync(["--faults", "sometimes", "--only", "none"], { from: "user" }),
        /sometimes/,
    );
    assert.match(written, /on, off, both/);
});
