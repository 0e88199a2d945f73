import assert from "node:assert/strict";
import { test } from "node:test";
import { parseConfig } from "@bramleymoor/model/parser";
import { ProbeBudget, probeDefaults } from "@bramleymoor/probing/budget";
import { SharedKey } from "../src/sharedkey.js";
import { parseSettings, SettingsError } from "../src/settings.js";

const good = [
    "[entry]",
    "id = entry-1",
    "[ports]",
    "callers = 127.0.0.1:0",
    "operators = 127.0.0.1:0",
    "peers = 127.0.0.1:0",
    "[peers]",
    "key = 0123456789abcdef",
];

const failure = (lines: readonly string[]): string => {
    try {
        parseSettings(lines.join("\n"), "node.ini");
    } catch (err) {
        assert.ok(err instanceof SettingsError);
        return err.message;
    }
    return assert.fail("the settings were accepted");
};

test("the smallest settings get defaults", () => {
    const settings = parseSettings(good.join("\n"), "node.ini");
    assert.deepEqual(settings.ports.callers, { host: "127.0.0.1", port: 0 });
    assert.equal(settings.callers["ttl-ms"], 5_000);
    assert.equal(settings.entry.domain, "default");
    assert.equal(settings.sharedKey, "0123456789abcdef");
});

test("an unknown key is refused with file, line and a suggestion", () => {
    const text = failure([...good, "[callers]", "tll-ms = 5"]);
    assert.match(text, /^node\.ini:10: .*tll-ms.*Did you mean "ttl-ms"\?/m);
});

test("seeds are addresses with commas between", () => {
    const text = [...good, "seeds = 127.0.0.1:1, 127.0.0.2:2"].join("\n");
    assert.deepEqual(parseSettings(text, "node.ini").peers.seeds, ["127.0.0.1:1", "127.0.0.2:2"]);
    assert.deepEqual(parseSettings(good.join("\n"), "node.ini").peers.seeds, []);
    assert.match(failure([...good, "seeds = 127.0.0.1:1, host:2"]), /^node\.ini:9: .*commas between/m);
});

test("every error is told at once", () => {
    const text = failure([
        "[entry]",
        "id = bad name",
        "[ports]",
        "callers = here:1",
        "peers = 1.2.3.4:99999",
        "[plat]",
    ]);
    for (const part of ["node.ini:2:", "node.ini:4:", "node.ini:5:", "node.ini:6:", "without operators"]) {
        assert.ok(text.includes(part), `${part} in ${text}`);
    }
});

test("an entry VM without an ordinal has one that never probes", () => {
    const probing = (lines: readonly string[]) => {
        const { entry, peers } = parseSettings(lines.join("\n"), "node.ini");
        return { ...probeDefaults, ordinal: entry.ordinal, ordinalCount: peers["most-vms"] };
    };
    const service = parseConfig("[service a]\nserver = 192.0.2.1:80 slots=100\nprobe-budget = 50%\n");
    assert.ok(service.ok);
    const [spec] = service.spec.services.values();
    assert.ok(spec);
    for (const mostVms of [1, 32, 1_024]) {
        const omitted = probing([...good, `most-vms = ${mostVms}`]);
        assert.equal(omitted.ordinal, mostVms);
        assert.equal(new ProbeBudget(omitted, spec, 0).quota, 0);
    }
    const first = probing([...good.slice(0, 2), "ordinal = 0", ...good.slice(2)]);
    assert.equal(first.ordinal, 0);
    assert.ok(new ProbeBudget(first, spec, 0).quota > 0);
});

test("an ordinal that is not below most-vms is refused at its line", () => {
    const withOrdinal = (ordinal: number, mostVms: number) =>
        [...good.slice(0, 2), `ordinal = ${ordinal}`, ...good.slice(2), `most-vms = ${mostVms}`] as const;
    const wanted = /^node\.ini:3: .*ordinal = 19.*a whole number below most-vms, which is 19/m;
    assert.match(failure(withOrdinal(19, 19)), wanted);
    assert.match(failure(withOrdinal(20, 19)), /^node\.ini:3: .*ordinal = 20/m);
    assert.equal(parseSettings(withOrdinal(18, 19).join("\n"), "node.ini").entry.ordinal, 18);
});

test("a key and a key file exclude each other, and one is needed", () => {
    assert.match(failure([...good, "key-file = nowhere"]), /exactly one of key and key-file/);
    assert.match(failure(good.slice(0, 6)), /exactly one of key and key-file/);
});

test("a key that is too short is not repeated in the message", () => {
    const text = failure([...good.slice(0, 7), "key = hush"]);
    assert.match(text, /at least 16 characters/);
    assert.ok(!text.includes("hush"), text);
});

test("a shared key accepts itself alone", () => {
    const key = new SharedKey("0123456789abcdef");
    assert.ok(key.accepts(key.authorization));
    for (const shown of [undefined, "", "Bearer ", "Bearer 0123456789abcdeg", "0123456789abcdef"]) {
        assert.equal(key.accepts(shown), false);
    }
    assert.throws(() => new SharedKey("short"), RangeError);
});
