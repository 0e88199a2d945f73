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

test("comments, white space and the order of sections do not change the canonical text or the digest", () => {
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

test("parsing the canonical text gives the same canonical text and digest", () => {
    fc.assert(
        fc.property(text, source => {
            const document = ConfigDocument.parse(source);
            const reparsed = ConfigDocument.parse(document.toString());
            assert.equal(reparsed.toString(), document.toString());
            assert.equal(reparsed.digest, document.digest);
        }),
        { seed: 2, numRuns: 2_000 },
    );
});

test("applying the difference gives the other document and leaves the first unchanged", () => {
    fc.assert(
        fc.property(text, text, (from, to) => {
            const [one, two] = [ConfigDocument.parse(from), ConfigDocument.parse(to)];
            const before = one.toString();
            assert.equal(one.apply(one.diff(two)).digest, two.digest);
            assert.equal(one.apply(one.diff(two)).toString(), two.toString());
            assert.equal(one.toString(), before);
        }),
        { seed: 3, numRuns: 2_000 },
    );
});

test("the digest depends on the name and the body of each section", () => {
    const digests = ["[a]\nk = v", "[a]\nk = w", "[b]\nk = v", "[a]", "[a]\nk = v\nk = v"].map(
        source => ConfigDocument.parse(source).digest,
    );
    assert.equal(new Set(digests).size, digests.length);
});

test("apply keeps the objects of unchanged sections", () => {
    const one = ConfigDocument.parse(`${smallest}[service b]\nserver = 192.0.2.1:1`);
    const two = one.apply({ set: [], remove: ["service b"] });
    assert.equal(two.section("service stops-lookup"), one.section("service stops-lookup"));
});

test("apply rejects sections that are not in canonical form or are set twice", () => {
    const invalid: readonly Section[] = [
        { name: "service a", body: "k=v" },
        { name: "service a", body: "k = v\n[service b]" },
        { name: "service a]\n[service b", body: "" },
        { name: " a", body: "" },
        { name: "", body: "k = v" },
        { name: "service a", body: "# comment" },
    ];
    for (const section of invalid) {
        assert.throws(() => ConfigDocument.empty.apply({ set: [section], remove: [] }), InvalidConfigError);
    }
    const twice = { name: "a", body: "" };
    assert.throws(() => ConfigDocument.empty.apply({ set: [twice, twice], remove: [] }), InvalidConfigError);
});
