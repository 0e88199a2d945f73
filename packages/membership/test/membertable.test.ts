import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkPayload,
    gossipMessageSchema,
    maxJoinReplyBytes,
    maxMessageBytes,
    packRecord,
    unpackRecord,
} from "../src/messages.js";
import { supersedes, toEntryVm, type MemberRecord } from "../src/record.js";
import { maxMembers, MemberTable } from "../src/membertable.js";

const record = (id: string, change: Partial<MemberRecord> = {}): MemberRecord => ({
    id,
    incarnation: "a",
    generation: 5,
    counter: 0,
    health: "alive",
    leaving: false,
    region: "r",
    domain: "d",
    callerAddress: "10.0.0.1:80",
    peerAddress: "10.0.0.1:81",
    stamp: 0,
    load: 0,
    payload: {},
    ...change,
});

test("a record survives packing", () => {
    const full = record("vm", {
        health: "suspect",
        leaving: true,
        payload: { config: 7 },
        load: 12,
        stamp: 3,
    });
    assert.deepEqual(unpackRecord(packRecord(full)), full);
});

test("no order of beliefs goes round in a circle", () => {
    const all = ["a", "b"].flatMap(incarnation =>
        [4, 5].flatMap(generation =>
            [0, 1].flatMap(counter =>
                (["alive", "suspect", "dead"] as const).map(health =>
                    record("vm", { incarnation, generation, counter, health }),
                ),
            ),
        ),
    );
    for (const a of all) {
        for (const b of all) {
            assert.ok(!(supersedes(a, b) && supersedes(b, a)));
            for (const c of all) {
                assert.ok(!(supersedes(a, b) && supersedes(b, c)) || supersedes(a, c));
            }
        }
    }
});

test("an older run never displaces a newer one, whatever its counter says", () => {
    const roster = new MemberTable();
    roster.merge(record("vm", { generation: 6, incarnation: "b" }), 0);
    assert.equal(roster.merge(record("vm", { counter: 99, health: "dead" }), 1), "stale");
    assert.equal(roster.get("vm")?.incarnation, "b");
});

test("equal lists have equal digests, whatever the order of their making", () => {
    const one = new MemberTable();
    const other = new MemberTable();
    ["a", "b", "c"].forEach(id => one.merge(record(id), 0));
    ["c", "x", "a", "b"].forEach(id => other.merge(record(id), 0));
    assert.notEqual(one.digest, other.digest);
    other.merge(record("x", { health: "dead" }), 1);
    assert.equal(one.digest, other.digest);
    other.remove("x");
    assert.equal(one.digest, other.digest);
});

test("a change is sent a bounded number of times", () => {
    const roster = new MemberTable();
    roster.merge(record("vm"), 0);
    const sent = Array.from({ length: 20 }, () => roster.takeUpdates(1000).length);
    assert.equal(
        sent.reduce((sum, count) => sum + count),
        4,
    );
});

test("pages go through the whole list inside their bound of bytes", () => {
    const roster = new MemberTable();
    const ids = Array.from({ length: 1000 }, (_, index) => `vm-${String(index).padStart(4, "0")}`);
    ids.forEach(id => roster.merge(record(id), 0));
    const seen: string[] = [];
    let after = "";
    do {
        const page = roster.page(after, maxMessageBytes, Infinity);
        assert.ok(JSON.stringify(page.records).length <= maxMessageBytes + 1);
        seen.push(...page.records.map(each => each[0]));
        after = page.next;
    } while (after !== "");
    assert.deepEqual(seen, ids);
    assert.ok(roster.page("", maxJoinReplyBytes, Infinity).records.length < 800);
});

test("a dead record of an unknown id is not kept, nor more members than the bound", () => {
    const roster = new MemberTable();
    roster.merge(record("gone", { health: "dead" }), 0);
    assert.equal(roster.size, 0);
    for (let index = 0; index < maxMembers + 10; index++) {
        roster.merge(record(`vm-${index}`), 0);
    }
    assert.equal(roster.size, maxMembers);
});

test("a message with a field out of bounds can't be read", () => {
    const from = packRecord(record("vm"));
    const message = { version: 1, cluster: "c", from, digest: 1, records: [], after: "", joining: false };
    assert.ok(gossipMessageSchema.safeParse(message).success);
    for (const wrong of [
        { version: 2 },
        { cluster: "" },
        { records: Array.from({ length: 801 }, () => from) },
        { from: packRecord(record("x".repeat(65))) },
        { from: packRecord(record("vm", { counter: -1 })) },
        { digest: "1" },
    ]) {
        assert.ok(!gossipMessageSchema.safeParse({ ...message, ...wrong }).success, JSON.stringify(wrong));
    }
    assert.throws(() => checkPayload({ key: "x".repeat(65) }), TypeError);
});

test("a suspect that is leaving counts as leaving", () => {
    assert.equal(toEntryVm(record("vm", { health: "suspect", leaving: true })).state, "leaving");
    assert.equal(toEntryVm(record("vm", { health: "suspect" })).state, "suspect");
});
