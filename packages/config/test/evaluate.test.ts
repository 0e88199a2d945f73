import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigDocument } from "@bramleymoor/model/document";
import type { Service } from "@bramleymoor/model/spec";
import { parseDocument } from "@bramleymoor/model/parser";
import fc from "fast-check";
import { evaluateRecord, type SkipReason, type RecordOutcome } from "../src/evaluate.js";
import { raiseGrammar } from "../src/publisher.js";
import { configStream, formatPublication, maxRecordBytes, type Publication } from "../src/record.js";
import { emptyVersion, grammars, type AcceptedVersion, type Grammars } from "../src/version.js";
import { Fleet, textOf } from "./builders.js";

const newerGrammars: Grammars = new Map([...grammars, [2, { number: 2, parse: parseDocument }]]);

const publicationOf = (base: AcceptedVersion, text: string): Publication => {
    const document = ConfigDocument.parse(text);
    return {
        grammar: base.grammar,
        id: "p",
        base: { number: base.number, digest: base.digest },
        change: base.document.diff(document),
        digest: document.digest,
    };
};

const valid = publicationOf(emptyVersion, textOf(1));

const skipReasonOf = (data: string, accepted = emptyVersion): SkipReason | undefined => {
    const outcome = evaluateRecord(accepted, 0, data, grammars);
    return outcome.kind === "skipped" ? outcome.reason : undefined;
};

const skippedRecords: readonly (readonly [string, string, SkipReason])[] = [
    ["invalid JSON", "{", "damaged"],
    ["another JSON type", "[]", "damaged"],
    ["truncated JSON", formatPublication(valid).slice(0, -1), "damaged"],
    ["an unknown field", JSON.stringify({ ...valid, by: "me" }), "damaged"],
    ["a field of the wrong type", JSON.stringify({ ...valid, id: 1 }), "damaged"],
    ["too many bytes", `${formatPublication(valid)}${" ".repeat(maxRecordBytes)}`, "too large"],
    ["a later grammar", JSON.stringify({ ...valid, grammar: 2 }), "grammar not in force"],
    ["the format of a later grammar", JSON.stringify({ grammar: 9, new: [] }), "grammar not in force"],
    [
        "another base number",
        JSON.stringify({ ...valid, base: { ...valid.base, number: 1 } }),
        "superseded base",
    ],
    [
        "another base digest",
        JSON.stringify({ ...valid, base: { number: 0, digest: valid.digest } }),
        "superseded base",
    ],
    ["a wrong digest", JSON.stringify({ ...valid, digest: valid.base.digest }), "wrong digest"],
    [
        "an invalid text",
        formatPublication(publicationOf(emptyVersion, "[service a]\nport = 1\n")),
        "invalid text",
    ],
    [
        "a malformed section",
        JSON.stringify({ ...valid, change: { set: [{ name: "a]\n[b", body: "" }], remove: [] } }),
        "invalid text",
    ],
    [
        "a grammar change before the first version",
        JSON.stringify({ ...valid, nextGrammar: 2 }),
        "bad grammar change",
    ],
];

for (const [what, data, reason] of skippedRecords) {
    test(`a record with ${what} is skipped`, () => {
        assert.equal(skipReasonOf(data), reason);
    });
}

test("skipped records don't affect later ones, on any entry VM", async () => {
    const fleet = new Fleet();
    const nodes = [fleet.start(), fleet.start({ grammars: newerGrammars })];
    for (const [, data] of skippedRecords) {
        fleet.log.forceAppend(configStream, data);
    }
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "accepted");
    await fleet.time.advance(1000);
    for (const { follower, events } of nodes) {
        assert.equal(follower.current?.number, 1);
        assert.equal(events.filter(event => event.name === "record-skipped").length, skippedRecords.length);
        assert.deepEqual(
            [...new Set(events.map(event => event.name))],
            ["record-skipped", "version-accepted"],
        );
    }
});

test("releases reach the same outcome for any record, whichever other grammars they support", () => {
    const mutated = fc.record({ from: fc.nat(400), to: fc.nat(400), by: fc.string() });
    const data = mutated.map(({ from, to, by }) => {
        const record = formatPublication(valid);
        return record.slice(0, from) + by + record.slice(to);
    });
    fc.assert(
        fc.property(data, record => {
            const [older, upgraded] = [grammars, newerGrammars].map(known =>
                evaluateRecord(emptyVersion, 0, record, known),
            );
            assert.equal(summaryOf(older), summaryOf(upgraded));
        }),
        { seed: 5, numRuns: 500 },
    );
});

const summaryOf = (outcome: RecordOutcome | undefined): string =>
    outcome?.kind === "skipped" ? outcome.reason : `${outcome?.kind}`;

test("a grammar change parses the whole text again, as a new entry VM does", async () => {
    const changedGrammars: Grammars = new Map([
        ...grammars,
        [
            2,
            {
                number: 2,
                parse: (document, previous) => {
                    const parsed = parseDocument(document, previous);
                    const withQueueLimit = (service: Service): Service => ({ ...service, queueLimit: 7 });
                    const services = parsed.ok ? [...parsed.spec.services] : [];
                    const changed = services.map(([name, service]): [string, Service] => [
                        name,
                        withQueueLimit(service),
                    ]);
                    return parsed.ok ? { ...parsed, spec: { services: new Map(changed) } } : parsed;
                },
            },
        ],
    ]);
    const fleet = new Fleet();
    const running = fleet.start({ grammars: changedGrammars });
    await fleet.publish(textOf(1), 0, "p1");
    const options = { id: "g2", random: () => 0.5, sleep: fleet.time.sleep, grammars: changedGrammars };
    await raiseGrammar(fleet.log, 1, options);
    const fresh = fleet.start({ grammars: changedGrammars });
    await fleet.time.advance(1000);
    assert.equal(running.follower.current?.spec.services.get("s0")?.queueLimit, 7);
    assert.deepEqual(fresh.follower.current?.spec, running.follower.current?.spec);
});

test("during a rolling upgrade, an older release keeps its version if it doesn't know the grammar in force", async () => {
    const fleet = new Fleet();
    const [older, upgraded] = [fleet.start(), fleet.start({ grammars: newerGrammars })];
    await fleet.publish(textOf(1), 0, "p1");
    const options = { id: "g2", random: () => 0.5, sleep: fleet.time.sleep, grammars: newerGrammars };
    assert.deepEqual((await raiseGrammar(fleet.log, 1, options)).kind, "accepted");
    const version = upgraded.follower.current!;
    assert.deepEqual([version.number, version.grammar], [2, 2]);
    fleet.log.forceAppend(configStream, formatPublication(publicationOf(version, textOf(3))));
    await fleet.time.advance(5000);
    assert.equal(upgraded.follower.current?.number, 3);
    assert.equal(older.follower.current?.number, 2);
    assert.equal(older.follower.status.progress, "outdated");
    assert.ok(older.events.some(event => event.name === "release-outdated"));
    const fresh = fleet.start();
    await fleet.time.advance(60_000);
    assert.equal(fresh.follower.current, undefined);
    assert.equal(fresh.follower.status.ready, false);
});
