import assert from "node:assert/strict";
import { test } from "node:test";
import { routeConfig as config } from "@bramleymoor/testkit/entries";
import { ReadSchedule } from "../src/schedule.js";
import { ConfigCache } from "../src/config.js";

const value = (version: number): Uint8Array => new TextEncoder().encode(String(version));

const book = (): ConfigCache =>
    new ConfigCache("config", bytes => {
        const version = Number(new TextDecoder().decode(bytes));
        return Number.isInteger(version) ? config(version) : undefined;
    });

test("a configuration never goes back, whatever comes late or from a peer", () => {
    const known = book();
    assert.equal(known.apply({ to: 5, value: value(7) }, 0), true);
    assert.equal(known.apply({ to: 4, value: value(6) }, 100), false);
    assert.equal(known.apply({ to: 6, value: value(7) }, 100), false);
    assert.equal(known.config?.version, 7);
    assert.equal(known.position, 6);
});

test("a configuration that can't be read leaves the one in force", () => {
    const known = book();
    known.apply({ to: 5, value: value(7) }, 0);
    assert.equal(known.apply({ to: 6, value: new TextEncoder().encode("?") }, 10), false);
    assert.equal(known.config?.version, 7);
});

test("only the record that holds the configuration is read", () => {
    const known = book();
    const records = [
        { offset: 0, key: "config", value: value(3) },
        { offset: 1, key: "other", value: value(9) },
    ];
    assert.equal(known.applyRecords({ records, end: 2 }, 0), true);
    assert.equal(known.config?.version, 3);
});

const settings = {
    primaryAgeMs: 600,
    standbyAgeMs: 1_000,
    standbyStepMs: 100,
    maxAgeMs: 1_300,
    firstRetryMs: 250,
    maxRetryMs: 2_000,
};

test("stand-ins read later, one after the other, and none after the bound", () => {
    const cadence = new ReadSchedule(settings);
    assert.deepEqual(
        [0, 1, 2, 3, 50].map(rank => cadence.nextReadAt(10_000, rank)),
        [10_600, 11_000, 11_100, 11_200, 11_300],
    );
});

test("failed readings are repeated after growing pauses, and a success ends them", () => {
    const cadence = new ReadSchedule(settings);
    cadence.recordFailure(20_000);
    assert.equal(cadence.nextReadAt(0, 0), 20_250);
    cadence.recordFailure(20_300);
    assert.equal(cadence.nextReadAt(0, 0), 20_800);
    for (let i = 0; i < 20; i++) {
        cadence.recordFailure(30_000);
    }
    assert.equal(cadence.nextReadAt(0, 0), 32_000);
    cadence.recordSuccess();
    assert.equal(cadence.nextReadAt(0, 0), 600);
});
