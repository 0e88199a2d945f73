import assert from "node:assert/strict";
import { test } from "node:test";
import { parseConfig } from "@bramleymoor/model/parser";
import { ProbeBudget, probeDefaults } from "@bramleymoor/probing/budget";
import { SharedKey } from "../src/sharedkey.js";
import { parseSettings, SettingsError } from "../src/settings.js";

const validLines = [
    "[entry]",
    "id = entry-1",
    "[ports]",
    "callers = 127.0.0.1:0",
    "operators = 127.0.0.1:0",
    "peers = 127.0.0.1:0",
    "[peers]",
    "key = 0123456789abcdef",
];

const errorsOf = (lines: readonly string[]): string => {
    try {
        parseSettings(lines.join("\n"), "node.ini");
    } catch (err) {
        assert.ok(err instanceof SettingsError);
        return err.message;
    }
    return assert.fail("the settings were accepted");
};

test("minimal settings get the defaults", () => {
    const settings = parseSettings(validLines.join("\n"), "node.ini");
    assert.deepEqual(settings.ports.callers, { host: "127.0.0.1", port: 0 });
    assert.equal(settings.callers["ttl-ms"], 5_000);
    assert.equal(settings.entry.domain, "default");
    assert.equal(settings.sharedKey, "0123456789abcdef");
});

test("an unknown key is rejected with file, line and a suggestion", () => {
    const text = errorsOf([...validLines, "[callers]", "tll-ms = 5"]);
    assert.match(text, /^node\.ini:10: .*tll-ms.*Did you mean "ttl-ms"\?/m);
});

test("seeds are comma-separated addresses", () => {
    const text = [...validLines, "seeds = 127.0.0.1:1, 127.0.0.2:2"].join("\n");
    assert.deepEqual(parseSettings(text, "node.ini").peers.seeds, ["127.0.0.1:1", "127.0.0.2:2"]);
    assert.deepEqual(parseSettings(validLines.join("\n"), "node.ini").peers.seeds, []);
    assert.match(
        errorsOf([...validLines, "seeds = 127.0.0.1:1, host:2"]),
        /^node\.ini:9: .*separated by commas/m,
    );
});

test("all errors are reported at once", () => {
    const text = errorsOf([
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

test("the message on an invalid name lists every character that is accepted", () => {
    const withName = (id: string) => validLines.map(line => (line.startsWith("id") ? `id = ${id}` : line));
    const named = parseSettings(withName("a.b-c_9").join("\n"), "node.ini");
    assert.equal(named.entry.id, "a.b-c_9");
    assert.match(errorsOf(withName("a b")), /a name of letters, digits, dots, underscores and dashes/);
});

test("an entry VM without an ordinal gets one that never probes", () => {
    const probing = (lines: readonly string[]) => {
        const { entry, peers } = parseSettings(lines.join("\n"), "node.ini");
        return { ...probeDefaults, ordinal: entry.ordinal, ordinalCount: peers["most-vms"] };
    };
    const parsed = parseConfig("[service a]\nserver = 192.0.2.1:80 slots=100\nprobe-budget = 50%\n");
    assert.ok(parsed.ok);
    const [spec] = parsed.spec.services.values();
    assert.ok(spec);
    for (const mostVms of [1, 32, 1_024]) {
        const omitted = probing([...validLines, `most-vms = ${mostVms}`]);
        assert.equal(omitted.ordinal, mostVms);
        assert.equal(new ProbeBudget(omitted, spec, 0).quota, 0);
    }
    const first = probing([...validLines.slice(0, 2), "ordinal = 0", ...validLines.slice(2)]);
    assert.equal(first.ordinal, 0);
    assert.ok(new ProbeBudget(first, spec, 0).quota > 0);
});

test("an ordinal that is not below most-vms is rejected with its line", () => {
    const withOrdinal = (ordinal: number, mostVms: number) =>
        [
            ...validLines.slice(0, 2),
            `ordinal = ${ordinal}`,
            ...validLines.slice(2),
            `most-vms = ${mostVms}`,
        ] as const;
    const expected = /^node\.ini:3: .*ordinal = 19.*a whole number below most-vms, which is 19/m;
    assert.match(errorsOf(withOrdinal(19, 19)), expected);
    assert.match(errorsOf(withOrdinal(20, 19)), /^node\.ini:3: .*ordinal = 20/m);
    assert.equal(parseSettings(withOrdinal(18, 19).join("\n"), "node.ini").entry.ordinal, 18);
});

test("exactly one of key and key-file is required", () => {
    assert.match(errorsOf([...validLines, "key-file = nowhere"]), /exactly one of key and key-file/);
    assert.match(errorsOf(validLines.slice(0, 6)), /exactly one of key and key-file/);
});

test("the value of a key that is too short does not appear in the message", () => {
    const text = errorsOf([...validLines.slice(0, 7), "key = hush"]);
    assert.match(text, /at least 16 characters/);
    assert.ok(!text.includes("hush"), text);
});

test("a shared key accepts only itself", () => {
    const key = new SharedKey("0123456789abcdef");
    assert.ok(key.accepts(key.authorization));
    for (const shown of [undefined, "", "Bearer ", "Bearer 0123456789abcdeg", "0123456789abcdef"]) {
        assert.equal(key.accepts(shown), false);
    }
    assert.throws(() => new SharedKey("short"), RangeError);
});
