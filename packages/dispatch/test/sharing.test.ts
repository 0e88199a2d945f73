import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type PeerMessage, SlotSharing, type SlotUsage } from "../src/sharing.js";
import { makeService } from "./fixtures.js";

const service = makeService(14, 2);

const sum = (counts: readonly number[]): number => counts.reduce((a, b) => a + b, 0);

const usageOf = (overrides: Partial<SlotUsage> = {}): SlotUsage => ({
    inFlight: 0,
    queued: 0,
    oldestWaitMs: 0,
    idleSlots: () => [],
    ...overrides,
});

const makePair = (): { sharings: readonly SlotSharing[]; sent: [number, PeerMessage][] } => {
    const sent: [number, PeerMessage][] = [];
    const sharings = [0, 1].map(index => {
        const sharing = new SlotSharing({ send: (to, message) => sent.push([to, message]) });
        sharing.update(service, { index, count: 2 }, 0);
        return sharing;
    });
    return { sharings, sent };
};

test("slots are divided by demand, and the shares of two dispatchers that hear each other are disjoint", () => {
    const { sharings, sent } = makePair();
    for (let now = 0; now <= 1_000; now += 100) {
        sharings[0]!.tick(usageOf({ inFlight: 15 }), now);
        sharings[1]!.tick(usageOf({ inFlight: 5 }), now);
        sent.splice(0).forEach(([to, message]) => sharings[to]!.receive(message, usageOf(), now));
    }
    const [first, second] = sharings.map(it => it.allocation(1_000));
    assert.equal(sum(first!), 21);
    assert.equal(sum(second!), 7);
    assert.ok(first!.every((count, at) => count + second![at]! === 2));
});

test("the slots of a peer that leaves a loan request unanswered are used until it is heard again", () => {
    const { sharings } = makePair();
    sharings[0]!.tick(usageOf({ inFlight: 14, queued: 1, oldestWaitMs: 5 }), 100);
    assert.equal(sum(sharings[0]!.allocation(101)), 14);
    assert.equal(sum(sharings[0]!.allocation(120)), 28);
    sharings[0]!.receive({ version: 1, kind: "hint", from: 1, demand: 12.6 }, usageOf(), 121);
    assert.ok(sum(sharings[0]!.allocation(122)) < 28);
});

test("idle slots are lent on request, and a loan expires on both sides without a message", () => {
    const { sharings, sent } = makePair();
    const before = sum(sharings[1]!.allocation(0));
    sharings[1]!.receive({ version: 1, kind: "ask", from: 0 }, usageOf({ idleSlots: () => [0, 1, 2, 3] }), 1);
    assert.equal(sum(sharings[1]!.allocation(2)), before - 2);
    assert.equal(sum(sharings[1]!.allocation(100)), before);
    const [to, loan] = sent.pop()!;
    assert.equal(to, 0);
    sharings[0]!.receive(loan, usageOf(), 2);
    assert.equal(sum(sharings[0]!.allocation(3)), 16);
    assert.equal(sum(sharings[0]!.allocation(100)), 14);
});

test("the allocation is recomputed only when shares, loans or the responsiveness of peers have changed", () => {
    const { sharings } = makePair();
    const sharing = sharings[0]!;
    const first = sharing.allocation(0);
    assert.equal(sharing.allocation(50), first);
    sharing.receive({ version: 1, kind: "hint", from: 1, demand: 0 }, usageOf(), 60);
    assert.equal(sharing.allocation(60), first);
    sharing.receive({ version: 1, kind: "ask", from: 1 }, usageOf({ idleSlots: () => [0, 1] }), 70);
    const lent = sharing.allocation(70);
    assert.notEqual(lent, first);
    assert.equal(sharing.allocation(119), lent);
    assert.deepEqual(sharing.allocation(120), first);
    const alone = sharing.allocation(1_000);
    assert.equal(sum(alone), 28);
    sharing.update(makeService(14, 3), { index: 0, count: 2 }, 1_000);
    assert.equal(sum(sharing.allocation(1_000)), 42);
});

test("a dispatcher whose own calls wait replies to a loan request without lending slots", () => {
    const { sharings, sent } = makePair();
    sharings[1]!.receive(
        { version: 1, kind: "ask", from: 0 },
        usageOf({ queued: 1, idleSlots: () => [0, 1] }),
        1,
    );
    assert.deepEqual(sent.pop()![1], { version: 1, kind: "loan", from: 1, servers: [], termMs: 50 });
});

test("with lost and repeated messages no server is allocated beyond its slots, and a dispatcher that hears no peer gets all", () => {
    const step = fc.record({
        afterMs: fc.integer({ min: 1, max: 200 }),
        inFlight: fc.nat(28),
        queued: fc.nat(3),
        copies: fc.nat(2),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), steps => {
            const { sharings, sent } = makePair();
            let now = 0;
            for (const { afterMs, inFlight, queued, copies } of steps) {
                now += afterMs;
                const usage = usageOf({
                    inFlight,
                    queued,
                    oldestWaitMs: queued * 5,
                    idleSlots: () => [0, 3, 3, 5],
                });
                sharings.forEach(it => it.tick(usage, now));
                for (const [to, message] of sent.splice(0)) {
                    Array.from({ length: copies }, () => sharings[to]!.receive(message, usage, now));
                }
                sharings.forEach(it =>
                    assert.ok(it.allocation(now).every(count => count >= 0 && count <= 2)),
                );
            }
            for (const end = now + 1_000; now < end; now += 100) {
                sharings.forEach(it => it.tick(usageOf(), now));
            }
            sharings.forEach(it => assert.equal(sum(it.allocation(now)), 28));
        }),
        { seed: 4, numRuns: 200 },
    );
});

test("a pause of the process isn't taken for the silence of the other dispatchers", () => {
    const { sharings, sent } = makePair();
    for (let now = 0; now <= 1_000; now += 20) {
        sharings.forEach(it => it.tick(usageOf({ inFlight: 14 }), now));
        sent.splice(0).forEach(([to, message]) => sharings[to]!.receive(message, usageOf(), now));
    }
    assert.equal(sum(sharings[0]!.allocation(1_000)), 14);
    assert.equal(sum(sharings[0]!.allocation(1_500)), 14);
    for (let now = 1_500; now <= 1_900; now += 20) {
        sharings[0]!.tick(usageOf({ inFlight: 14 }), now);
    }
    assert.equal(sum(sharings[0]!.allocation(1_900)), 28);
});
