import assert from "node:assert/strict";
import { test } from "node:test";
import { Document } from "@bramleymoor/model/document";
import type { Service } from "@bramleymoor/model/spec";
import { specOf } from "@bramleymoor/model/text";
import fc from "fast-check";
import { evaluateRecord, type SkipReason, type RecordOutcome } from "../src/evaluate.js";
import { raiseGrammar } from "../src/publisher.js";
import { configStream, formatPublication, maxRecordBytes, type Publication } from "../src/record.js";
import { emptyVersion, grammars, type AcceptedVersion, type Grammars } from "../src/version.js";
import { Fleet, textOf } from "./builders.js";

const newer: Grammars = new Map([...grammars, [2, { number: 2, read: specOf }]]);

const publicationOf = (base: AcceptedVersion, text: string): Publication => {
    const document = Document.parse(text);
    return {
        grammar: base.grammar,
        id: "p",
        base: { number: base.number, digest: base.digest },
        change: base.document.diff(document),
        digest: document.digest,
    };
};

const good = publicationOf(emptyVersion, textOf(1));

const reasonOf = (data: string, accepted = emptyVersion): SkipReason | undefined => {
    const verdict = evaluateRecord(accepted, 0, data, grammars);
    return verdict.kind === "skipped" ? verdict.reason : undefined;
};

const skipped: readonly (readonly [string, string, SkipReason])[] = [
    ["no JSON", "{", "damaged"],
    ["another JSON value", "[]", "damaged"],
    ["a cut record", formatPublication(good).slice(0, -1), "damaged"],
    ["a field too many", JSON.stringify({ ...good, by: "me" }), "damaged"],
    ["a field of another type", JSON.stringify({ ...good, id: 1 }), "damaged"],
    ["too many bytes", `${formatPublication(good)}${" ".repeat(maxRecordBytes)}`, "too large"],
    ["a later grammar", JSON.stringify({ ...good, grammar: 2 }), "grammar not in force"],
    ["a later grammar's form", JSON.stringify({ grammar: 9, new: [] }), "grammar not in force"],
    [
        "another base number",
        JSON.stringify({ ...good, base: { ...good.base, number: 1 } }),
        "superseded base",
    ],
    [
        "another base",
        JSON.stringify({ ...good, base: { number: 0, digest: good.digest } }),
        "superseded base",
    ],
    ["another digest", JSON.stringify({ ...good, digest: good.base.digest }), "wrong digest"],
    [
        "an invalid text",
        formatPublication(publicationOf(emptyVersion, "[service a]\nport = 1\n")),
        "invalid text",
    ],
    [
        "a section out of form",
        JSON.stringify({ ...good, change: { set: [{ name: "a]\n[b", body: "" }], remove: [] } }),
        "invalid text",
    ],
    ["a grammar change too early", JSON.stringify({ ...good, nextGrammar: 2 }), "bad grammar change"],
];

for (const [what, data, reason] of skipped) {
    test(`a record with ${what} is skipped`, () => {
        assert.equal(reasonOf(data), reason);
    });
}

test("skipped records change nothing for those after them, everywhere alike", async () => {
    const fleet = new Fleet();
    const nodes = [fleet.start(), fleet.start({ grammars: newer })];
    for (const [, data] of skipped) {
        fleet.log.forceAppend(configStream, data);
    }
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "accepted");
    await fleet.time.advance(1000);
    for (const { follower, events } of nodes) {
        assert.equal(follower.current?.number, 1);
        assert.equal(events.filter(event => event.name === "record-skipped").length, skipped.length);
        assert.deepEqual(
            [...new Set(events.map(event => event.name))],
            ["record-skipped", "version-accepted"],
        );
    }
});

test("releases agree on any record, whatever other grammars they know", () => {
    const mutated = fc.record({ from: fc.nat(400), to: fc.nat(400), by: fc.string() });
    const data = mutated.map(({ from, to, by }) => {
        const record = formatPublication(good);
        return record.slice(0, from) + by + record.slice(to);
    });
    fc.assert(
        fc.property(data, record => {
            const [one, other] = [grammars, newer].map(known =>
                evaluateRecord(emptyVersion, 0, record, known),
            );
            assert.equal(brief(one), brief(other));
        }),
        { seed: 5, numRuns: 500 },
    );
});

const brief = (verdict: RecordOutcome | undefined): string =>
    verdict?.kind === "skipped" ? verdict.reason : `${verdict?.kind}`;

test("a grammar change reads the whole text again, as a fresh entry VM would", async () => {
    const renamed: Grammars = new Map([
        ...grammars,
        [
            2,
            {
                number: 2,
                read: (document, previous) => {
                    const read = specOf(document, previous);
                    const later = (service: Service): Service => ({ ...service, queueLimit: 7 });
                    const services = read.ok ? [...read.spec.services] : [];
                    const fresh = services.map(([name, service]): [string, Service] => [
                        name,
                        later(service),
                    ]);
                    return read.ok ? { ...read, spec: { services: new Map(fresh) } } : read;
                },
            },
        ],
    ]);
    const fleet = new Fleet();
    const running = fleet.start({ grammars: renamed });
    await fleet.publish(textOf(1), 0, "p1");
    const options = { id: "g2", random: () => 0.5, sleep: fleet.time.sleep, grammars: renamed };
    await raiseGrammar(fleet.log, 1, options);
    const fresh = fleet.start({ grammars: renamed });
    await fleet.time.advance(1000);
    assert.equal(running.follower.current?.spec.services.get("s0")?.queueLimit, 7);
    assert.deepEqual(fresh.follower.current?.spec, running.follower.current?.spec);
});

test("a rolling upgrade: an older release stops at a grammar that it doesn't know, and never reverts", async () => {
    const fleet = new Fleet();
    const [older, upgraded] = [fleet.start(), fleet.start({ grammars: newer })];
    await fleet.publish(textOf(1), 0, "p1");
    const options = { id: "g2", random: () => 0.5, sleep: fleet.time.sleep, grammars: newer };
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
