import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { valid } from "./builders.js";

const read = (name: string) => [
    ...valid(
        readFileSync(new URL(`../../../../examples/${name}`, import.meta.url), "utf8"),
    ).spec.services.values(),
];

const sizes = (name: string): Readonly<Record<string, number>> =>
    Object.fromEntries(read(name).map(service => [service.name, service.servers.length]));

test("the examples are the two deployments at their full sizes", () => {
    const ratiba = { "bulk-export": 6, "notice-desk": 6, "publish-desk": 8, "stops-lookup": 14 };
    const aqrl = { catalogue: 25, downloads: 6, orders: 8, quotas: 6 };
    assert.deepEqual(sizes("ratiba.ini"), ratiba);
    assert.deepEqual(sizes("aqrl.ini"), aqrl);
    for (const [name, slots, connections] of [
        ["ratiba.ini", 2, 200],
        ["aqrl.ini", 6, 250],
    ] as const) {
        for (const server of read(name).flatMap(service => service.servers)) {
            assert.deepEqual([server.slots, server.connections], [slots, connections]);
        }
    }
});

test("what must run at most once is not idempotent in the examples", () => {
    const once = ["publications", "notices", "place", "reserve"];
    const classes = ["ratiba.ini", "aqrl.ini"].flatMap(read).flatMap(service => service.classes);
    assert.deepEqual(
        classes.filter(found => once.includes(found.name)).map(found => found.idempotent),
        once.map(() => false),
    );
});
