import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer, Service } from "@bramleymoor/model/spec";
import { planDispatchers } from "../src/dispatcherplan.js";

const serviceOf = (servers: number, slots: number): Service => ({
    name: "desk",
    dependsOn: [],
    servers: Array.from({ length: servers }, (_, i): BackendServer => {
        const address = `192.0.2.1:${i + 1}`;
        return {
            address,
            host: "192.0.2.1",
            port: i + 1,
            domain: "a",
            slots,
            connections: 9,
            leaving: false,
        };
    }),
    classes: [],
    chooser: "late-binding",
    queueLimit: 1,
    probeBudget: 0,
    retryBudget: 0,
    hedgeBudget: 0,
    ejectShare: 0,
});

test("a small service has one active dispatcher and one standby", () => {
    assert.deepEqual(planDispatchers(serviceOf(14, 2), 2, 2), { dispatchers: 2, balanced: false });
});

test("a large service, or one with a high call rate, distributes its callers evenly", () => {
    assert.deepEqual(planDispatchers(serviceOf(25, 6), 2, 2), { dispatchers: 3, balanced: true });
    assert.deepEqual(planDispatchers(serviceOf(14, 2), 5, 2), { dispatchers: 5, balanced: true });
});
