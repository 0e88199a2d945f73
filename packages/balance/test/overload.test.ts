import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Overload, type RefusedRequest } from "../src/overload.js";

const patient: RefusedRequest = { leftMs: 60_000, slackMs: 60_000, closedMs: 0, drainMs: 0 };

/** Returns an overload that refuses a request each 100 ms until a time. */
const overloadUntil = (endMs: number): Overload => {
    const overload = new Overload();
    for (let now = 0; now <= endMs; now += 100) {
        overload.recordRefusal(now);
    }
    return overload;
};

test("an overload lasts from its first refusal until none has followed for a while", () => {
    const overload = overloadUntil(3_000);
    assert.equal(overload.durationMs(3_000), 3_000);
    assert.equal(overload.durationMs(5_000), 0);
    overload.recordRefusal(5_000);
    assert.equal(overload.durationMs(5_500), 500);
});

test("a refused caller returns when the overload has lasted as long again", () => {
    assert.equal(overloadUntil(3_000).returnDelayMs(patient, 0, 3_000), 3_000);
});

test("a caller that is refused in a peak of an instant returns soon", () => {
    assert.ok(overloadUntil(0).returnDelayMs(patient, 0, 0) <= 200);
});

test("a caller returns no sooner than the queue drains", () => {
    assert.equal(overloadUntil(0).returnDelayMs({ ...patient, drainMs: 700 }, 0, 0), 700);
});

test("a caller that can't be in time any more leaves the room to others for longer", () => {
    const overload = overloadUntil(0);
    const late = overload.returnDelayMs({ ...patient, slackMs: -1 }, 0, 0);
    assert.ok(late > 2 * overload.returnDelayMs(patient, 0, 0), `${late} ms`);
});

test("a time from which a server is known to be open goes before the guess", () => {
    const delayMs = overloadUntil(3_000).returnDelayMs({ ...patient, slackMs: -1, closedMs: 700 }, 0, 3_000);
    assert.equal(delayMs, 700);
});

test("while a server is open, a caller is never told to return later than after a third of the time that it has left", () => {
    const refused = fc.record({
        leftMs: fc.integer({ min: 0, max: 20_000 }),
        slackMs: fc.integer({ min: -20_000, max: 20_000 }),
        closedMs: fc.constant(0),
        drainMs: fc.integer({ min: 0, max: 20_000 }),
    });
    const random = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });
    fc.assert(
        fc.property(refused, random, fc.nat(10_000), (it, spread, lastedMs) => {
            const delayMs = overloadUntil(lastedMs).returnDelayMs(it, spread, lastedMs);
            assert.ok(delayMs >= 0 && delayMs <= it.leftMs / 3 + 1e-6, `${delayMs} of ${it.leftMs} ms`);
        }),
        { seed: 5 },
    );
});
