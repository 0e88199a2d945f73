/** Builders of servers, services and calls for the dispatch tests. */

import type { BackendServer, RequestClass, Service } from "@bramleymoor/model/spec";
import type { Call } from "../src/types.js";

export const readClass: RequestClass = {
    name: "read",
    methods: ["GET"],
    path: "/",
    idempotent: true,
    priority: 1,
    deadlineMs: 1_000,
};

export const makeServer = (index: number, slots = 2): BackendServer => ({
    address: `10.0.0.${index}:80`,
    host: `10.0.0.${index}`,
    port: 80,
    domain: "a",
    slots,
    connections: 200,
    leaving: false,
});

export const makeService = (servers: number, slots = 2, overrides: Partial<Service> = {}): Service => ({
    name: "stops",
    dependsOn: [],
    servers: Array.from({ length: servers }, (_, index) => makeServer(index, slots)),
    classes: [readClass],
    chooser: "late-binding",
    queueLimit: 100,
    probeBudget: 0.002,
    retryBudget: 0.1,
    hedgeBudget: 0.02,
    ejectShare: 0.3,
    ...overrides,
});

let lastId = 0;

export const makeCall = (overrides: Partial<Call> = {}): Call => ({
    id: ++lastId,
    class: readClass,
    tenant: "t",
    deadlineAt: 1_000,
    attempt: 1,
    retryBudget: 2,
    tried: [],
    ...overrides,
});
