import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { parseValid } from "./builders.js";

const servicesOf = (name: string) => [
    ...parseValid(
        readFileSync(new URL(`../../../../examples/${name}`, import.meta.url), "utf8"),
    ).spec.services.values(),
];

const serverCounts = (name: string): Readonly<Record<string, number>> =>
    Object.fromEntries(servicesOf(name).map(service => [service.name, service.servers.length]));

test("the examples describe both deployments at their full size", () => {
    const ratiba = { "bulk-export": 6, "notice-desk": 6, "publish-desk": 8, "stops-lookup": 14 };
    const aqrl = { catalogue: 25, downloads: 6, orders: 8, quotas: 6 };
    assert.deepEqual(serverCounts("ratiba.ini"), ratiba);
    assert.deepEqual(serverCounts("aqrl.ini"), aqrl);
    for (const [name, slots, connections] of [
        ["ratiba.ini", 2, 200],
        ["aqrl.ini", 6, 250],
    ] as const) {
        for (const server of servicesOf(name).flatMap(service => service.servers)) {
            assert.deepEqual([server.slots, server.connections], [slots, connections]);
        }
    }
});

test("request classes that must run at most once are not idempotent in the examples", () => {
    const atMostOnce = ["publications", "notices", "place", "reserve"];
    const classes = ["ratiba.ini", "aqrl.ini"].flatMap(servicesOf).flatMap(service => service.classes);
    assert.deepEqual(
        classes.filter(found => atMostOnce.includes(found.name)).map(found => found.idempotent),
        atMostOnce.map(() => false),
    );
});
