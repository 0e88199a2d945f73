import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer, Service } from "@bramleymoor/model/spec";
import { spreadOf } from "../src/spread.js";

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

test("a small service keeps all its callers at one dispatcher, with another one standing by", () => {
    assert.deepEqual(spreadOf(serviceOf(14, 2), 2, 2), { least: 2, even: false });
});

test("a large service, or a hot one, spreads its callers evenly", () => {
    assert.deepEqual(spreadOf(serviceOf(25, 6), 2, 2), { least: 3, even: true });
    assert.deepEqual(spreadOf(serviceOf(14, 2), 5, 2), { least: 5, even: true });
});
