import assert from "node:assert/strict";
import { test } from "node:test";
import { routeConfig as config } from "@bramleymoor/testkit/builders";
import { ReadSchedule } from "../src/schedule.js";
import { ConfigCache } from "../src/config.js";

const value = (version: number): Uint8Array => new TextEncoder().encode(String(version));

const newCache = (): ConfigCache =>
    new ConfigCache("config", bytes => {
        const version = Number(new TextDecoder().decode(bytes));
        return Number.isInteger(version) ? config(version) : undefined;
    });

test("a late or older configuration never replaces a newer one", () => {
    const cache = newCache();
    assert.equal(cache.apply({ to: 5, value: value(7) }, 0), true);
    assert.equal(cache.apply({ to: 4, value: value(6) }, 100), false);
    assert.equal(cache.apply({ to: 6, value: value(7) }, 100), false);
    assert.equal(cache.config?.version, 7);
    assert.equal(cache.position, 6);
});

test("an invalid configuration leaves the current one in place", () => {
    const cache = newCache();
    cache.apply({ to: 5, value: value(7) }, 0);
    assert.equal(cache.apply({ to: 6, value: new TextEncoder().encode("?") }, 10), false);
    assert.equal(cache.config?.version, 7);
});

test("records of other keys are ignored", () => {
    const cache = newCache();
    const records = [
        { offset: 0, key: "config", value: value(3) },
        { offset: 1, key: "other", value: value(9) },
    ];
    assert.equal(cache.applyRecords({ records, end: 2 }, 0), true);
    assert.equal(cache.config?.version, 3);
});

const settings = {
    primaryAgeMs: 600,
    standbyAgeMs: 1_000,
    standbyStepMs: 100,
    maxAgeMs: 1_300,
    firstRetryMs: 250,
    maxRetryMs: 2_000,
};

test("standby readers read later, one after the other, and none after the maximum age", () => {
    const schedule = new ReadSchedule(settings);
    assert.deepEqual(
        [0, 1, 2, 3, 50].map(rank => schedule.nextReadAt(10_000, rank)),
        [10_600, 11_000, 11_100, 11_200, 11_300],
    );
});

test("failed reads are retried after growing delays, and a success ends the retries", () => {
    const schedule = new ReadSchedule(settings);
    schedule.recordFailure(20_000);
    assert.equal(schedule.nextReadAt(0, 0), 20_250);
    schedule.recordFailure(20_300);
    assert.equal(schedule.nextReadAt(0, 0), 20_800);
    for (let i = 0; i < 20; i++) {
        schedule.recordFailure(30_000);
    }
    assert.equal(schedule.nextReadAt(0, 0), 32_000);
    schedule.recordSuccess();
    assert.equal(schedule.nextReadAt(0, 0), 600);
});
