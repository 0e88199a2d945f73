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

test("a record is unchanged by packing and unpacking", () => {
    const full = record("vm", {
        health: "suspect",
        leaving: true,
        payload: { config: 7 },
        load: 12,
        stamp: 3,
    });
    assert.deepEqual(unpackRecord(packRecord(full)), full);
});

test("supersedes is asymmetric and transitive", () => {
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

test("an older incarnation never replaces a newer one, whatever its counter", () => {
    const table = new MemberTable();
    table.merge(record("vm", { generation: 6, incarnation: "b" }), 0);
    assert.equal(table.merge(record("vm", { counter: 99, health: "dead" }), 1), "stale");
    assert.equal(table.get("vm")?.incarnation, "b");
});

test("tables with the same live members have equal digests, whatever the order of insertion", () => {
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

test("an update is sent a limited number of times", () => {
    const table = new MemberTable();
    table.merge(record("vm"), 0);
    const sent = Array.from({ length: 20 }, () => table.takeUpdates(1000).length);
    assert.equal(
        sent.reduce((sum, count) => sum + count),
        4,
    );
});

test("pages cover the whole list and stay within their byte limit", () => {
    const table = new MemberTable();
    const ids = Array.from({ length: 1000 }, (_, index) => `vm-${String(index).padStart(4, "0")}`);
    ids.forEach(id => table.merge(record(id), 0));
    const seen: string[] = [];
    let after = "";
    do {
        const page = table.page(after, maxMessageBytes, Infinity);
        assert.ok(JSON.stringify(page.records).length <= maxMessageBytes + 1);
        seen.push(...page.records.map(each => each[0]));
        after = page.next;
    } while (after !== "");
    assert.deepEqual(seen, ids);
    assert.ok(table.page("", maxJoinReplyBytes, Infinity).records.length < 800);
});

test("a dead record of an unknown id and records beyond the maximum are not kept", () => {
    const table = new MemberTable();
    table.merge(record("gone", { health: "dead" }), 0);
    assert.equal(table.size, 0);
    for (let index = 0; index < maxMembers + 10; index++) {
        table.merge(record(`vm-${index}`), 0);
    }
    assert.equal(table.size, maxMembers);
});

test("a message with an invalid field is rejected by the schema", () => {
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

test("a suspect that is leaving has the state leaving", () => {
    assert.equal(toEntryVm(record("vm", { health: "suspect", leaving: true })).state, "leaving");
    assert.equal(toEntryVm(record("vm", { health: "suspect" })).state, "suspect");
});
