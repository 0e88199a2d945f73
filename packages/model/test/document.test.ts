import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ConfigDocument, type Section } from "../src/document.js";
import { InvalidConfigError } from "../src/diagnostic.js";
import { smallest } from "./builders.js";

const name = fc.constantFrom("service a", "service b", "class a/x", "class b/y", "service a-b", "other");
const value = fc.string({ maxLength: 12 }).map(text => text.trim());
const line = value.map(text => `key = ${JSON.stringify(text)}`);
const text = fc
    .uniqueArray(fc.tuple(name, fc.array(line, { maxLength: 4 })), { selector: ([section]) => section })
    .map(sections => sections.map(([section, lines]) => [`[${section}]`, ...lines].join("\n")).join("\n"));

test("comments, spacing and the order of sections make no difference", () => {
    const one = ConfigDocument.parse(
        "# mine\n[service b]\nserver=192.0.2.1:1 ; x\n\n[service a]\nserver = 192.0.2.2:1",
    );
    const two = ConfigDocument.parse(
        "[ service  a ]\r\nserver = 192.0.2.2:1\r\n[service b]\r\nserver = 192.0.2.1:1\r\n",
    );
    assert.equal(one.toString(), two.toString());
    assert.equal(one.digest, two.digest);
    assert.match(one.digest, /^[0-9a-f]{64}$/);
});

test("the canonical text reads as itself", () => {
    fc.assert(
        fc.property(text, written => {
            const document = ConfigDocument.parse(written);
            const again = ConfigDocument.parse(document.toString());
            assert.equal(again.toString(), document.toString());
            assert.equal(again.digest, document.digest);
        }),
        { seed: 2, numRuns: 2_000 },
    );
});

test("applying the difference gives the other text, and leaves the first as it was", () => {
    fc.assert(
        fc.property(text, text, (from, to) => {
            const [one, two] = [ConfigDocument.parse(from), ConfigDocument.parse(to)];
            const kept = one.toString();
            assert.equal(one.apply(one.diff(two)).digest, two.digest);
            assert.equal(one.apply(one.diff(two)).toString(), two.toString());
            assert.equal(one.toString(), kept);
        }),
        { seed: 3, numRuns: 2_000 },
    );
});

test("the digest follows each section's name and body", () => {
    const digests = ["[a]\nk = v", "[a]\nk = w", "[b]\nk = v", "[a]", "[a]\nk = v\nk = v"].map(
        written => ConfigDocument.parse(written).digest,
    );
    assert.equal(new Set(digests).size, digests.length);
});

test("an unchanged section stays the same value", () => {
    const one = ConfigDocument.parse(`${smallest}[service b]\nserver = 192.0.2.1:1`);
    const two = one.apply({ set: [], remove: ["service b"] });
    assert.equal(two.section("service stops-lookup"), one.section("service stops-lookup"));
});

test("a change whose sections are not in canonical form is refused", () => {
    const bad: readonly Section[] = [
        { name: "service a", body: "k=v" },
        { name: "service a", body: "k = v\n[service b]" },
        { name: "service a]\n[service b", body: "" },
        { name: " a", body: "" },
        { name: "", body: "k = v" },
        { name: "service a", body: "# comment" },
    ];
    for (const section of bad) {
        assert.throws(() => ConfigDocument.empty.apply({ set: [section], remove: [] }), InvalidConfigError);
    }
    const twice = { name: "a", body: "" };
    assert.throws(() => ConfigDocument.empty.apply({ set: [twice, twice], remove: [] }), InvalidConfigError);
});
