import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPayload } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";
import { DemandCounter, DemandExchange, parseRates, shortHash } from "../src/demand.js";

const periodMs = 500;

const vm = (id: string): EntryVm => ({
    id,
    incarnation: id,
    place: { region: "r", domain: "a" },
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    state: "alive",
    load: 0,
});

/** Creates an exchange per entry VM; all of them see each other's payloads immediately. */
const fleet = (...ids: readonly string[]): readonly DemandExchange[] => {
    const payloads = new Map<string, Record<string, string | number>>(ids.map(id => [id, { c: 100 }]));
    return ids.map(self => {
        const membership = {
            payload: (id: string) => payloads.get(id) ?? {},
            setPayload: (key: string, value: string | number) => {
                const payload = { ...payloads.get(self), [key]: value };
                checkPayload(payload);
                payloads.set(self, payload);
            },
        };
        return new DemandExchange({ self, membership, members: () => ids.map(vm), now: 0 });
    });
};

const times = (count: number, action: (i: number) => void): void =>
    Array.from({ length: count }, (_, i) => i).forEach(action);

test("demand encoded in a member's payload is decoded unchanged", () => {
    const counter = new DemandCounter(["a", "b"], 0);
    times(100, () => counter.count("h.example"));
    const payload = Object.fromEntries(counter.endPeriod(1_000));
    assert.equal(parseRates(payload, ["a", "b"]).get(shortHash("h.example")), 100);
    assert.ok(Object.values(payload).every(it => it.length <= 64));
});

test("entry VMs know the requests per second for a service over all of them", () => {
    const [a, b] = fleet("a", "b") as [DemandExchange, DemandExchange];
    times(10, () => a.countService("svc"));
    times(30, () => b.countService("svc"));
    a.tick(periodMs);
    b.tick(periodMs);
    assert.equal(b.serviceRate("svc"), 80);
    a.tick(2 * periodMs);
    assert.equal(a.serviceRate("svc"), 60);
    assert.equal(a.ownServiceRate("svc"), 0);
});

test("a service whose requests don't fit into the payload has no known total", () => {
    const [a] = fleet("a") as [DemandExchange];
    times(6, i => times(10 - i, () => a.countService(`svc-${i}`)));
    a.tick(periodMs);
    assert.equal(a.serviceRate("svc-4"), 12);
    assert.equal(a.serviceRate("svc-5"), undefined);
    assert.equal(a.serviceRate("idle"), 0);
});

test("the payload fits while hosts and services with many requests come and go", () => {
    const [a] = fleet("a") as [DemandExchange];
    const count = (hosts: number, services: number): void => {
        times(hosts, i => times(5_000, () => a.countHost(`host-${i}.example`)));
        times(services, i => times(5_000, () => a.countService(`svc-${i}`)));
    };
    [
        [15, 0],
        [15, 8],
        [2, 8],
        [15, 1],
        [15, 8],
        [0, 0],
    ].forEach(([hosts = 0, services = 0], i) => {
        count(hosts, services);
        assert.ok(a.tick((i + 1) * periodMs));
        assert.equal(a.hostRate("host-1.example"), hosts > 1 ? 10_000 : 0);
    });
});
