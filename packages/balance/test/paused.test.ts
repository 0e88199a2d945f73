import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import { serverEntry as entry } from "@bramleymoor/testkit/builders";
import { Balancer } from "../src/balancer.js";
import { noLimits, type SendLimiter } from "../src/limiter.js";
import { ServerState } from "../src/server.js";
import type { Request, Slot } from "../src/types.js";

let lastId = 0;

const makeRequest = (now: number, changes: Partial<Request> = {}): Request => ({
    id: ++lastId,
    kind: "idempotent",
    priority: 1,
    arrivedAt: now,
    targetAt: now + 300,
    deadlineAt: now + 2_000,
    callerDeadlineAt: now + 2_000,
    tried: [],
    ...changes,
});

/** Returns a balancer whose servers with the given keys want no requests until a time. */
const makeBalancer = (pausedUntil: Readonly<Record<string, number>>, ...ids: readonly string[]): Balancer => {
    const nextSendAt = (key: string): number => pausedUntil[key] ?? -Infinity;
    const limiter: SendLimiter = {
        ...noLimits,
        nextSendAt,
        isPaused: (key, now) => nextSendAt(key) > now,
    };
    const balancer = new Balancer({ candidateCount: 3, domain: "a" }, () => 0, limiter);
    balancer.updateServers(
        ids.map(id => ({ entry: entry(id), lapsed: false })),
        0,
    );
    return balancer;
};

const keyOf = (id: string): string => incarnationKey(entry(id));

const grantAll = (balancer: Balancer, now: number): readonly ServerEntry[] => {
    const granted: ServerEntry[] = [];
    for (let reservation = balancer.reserveNext(now); reservation; reservation = balancer.reserveNext(now)) {
        const slot = balancer.grant(reservation, now);
        if (!slot) {
            break;
        }
        granted.push(slot.server);
    }
    return granted;
};

test("a server that wants no requests for a time gets none, and all of its time is left to the others", () => {
    const balancer = makeBalancer({ [keyOf("s1")]: 1_000 }, "s1", "s2");
    for (let i = 0; i < 3; i++) {
        balancer.submit(makeRequest(0), 0);
    }
    assert.deepEqual(
        grantAll(balancer, 0).map(it => it.id),
        ["s2", "s2"],
    );
});

test("a server that wants no requests isn't counted as capacity", () => {
    const accepted = (pausedUntil: Readonly<Record<string, number>>): number => {
        const balancer = makeBalancer(pausedUntil, "s1", "s2", "s3", "s4");
        const results = Array.from({ length: 40 }, () => balancer.submit(makeRequest(0), 0));
        return results.filter(it => it === undefined).length;
    };
    const paused = Object.fromEntries(["s2", "s3", "s4"].map(id => [keyOf(id), 1_000]));
    assert.ok(accepted(paused) * 2 < accepted({}), `${accepted(paused)} and ${accepted({})}`);
});

test("when all servers want no requests, one that can't wait is refused until the first is free again", () => {
    const balancer = makeBalancer({ [keyOf("s1")]: 700, [keyOf("s2")]: 900 }, "s1", "s2");
    const refusal = balancer.submit(makeRequest(0, { deadlineAt: 650 }), 0);
    assert.equal(refusal?.reason, "overloaded");
    const patient = makeRequest(0, { deadlineAt: 6_000, targetAt: 6_000 });
    assert.equal(balancer.submit(patient, 0), undefined);
    assert.deepEqual(grantAll(balancer, 699), []);
    assert.deepEqual(
        grantAll(balancer, 700).map(it => it.id),
        ["s1"],
    );
});

test("a caller that is refused because all servers want no requests is told the time of the first", () => {
    const balancer = makeBalancer({ [keyOf("s1")]: 700, [keyOf("s2")]: 900 }, "s1", "s2");
    const refusals = Array.from({ length: 30 }, () =>
        balancer.submit(makeRequest(0, { deadlineAt: 6_000, callerDeadlineAt: 6_000 }), 0),
    );
    const first = refusals.find(it => it !== undefined);
    assert.equal(first?.retryAfterMs, 700);
});

test("a limited server whose limit has to be confirmed gets the next request", () => {
    const granted = (due: boolean): string | undefined => {
        const isDue = (key: string): boolean => due && key === keyOf("s2");
        const limiter: SendLimiter = { ...noLimits, isDue };
        const balancer = new Balancer({ candidateCount: 1, domain: "a" }, () => 0, limiter);
        const known = [entry("s1"), entry("s2", { domain: "far" })];
        balancer.updateServers(
            known.map(it => ({ entry: it, lapsed: false })),
            0,
        );
        balancer.submit(makeRequest(0), 0);
        return grantAll(balancer, 0)[0]?.id;
    };
    assert.equal(granted(true), "s2");
    assert.equal(granted(false), "s1");
});

test("turning requests away for a time is no failure and doesn't eject a server", () => {
    const isEjected = (notNow: boolean): boolean => {
        const state = new ServerState(entry("s1"), 0);
        for (let i = 0; i < 5; i++) {
            const slot: Slot = {
                request: makeRequest(0),
                server: state.entry,
                grantedAt: 0,
                load: state.loadSnapshot(0),
            };
            state.start(slot);
            state.settle(slot, { kind: "answered", status: 503, notNow }, 10);
        }
        return state.isEjected(11);
    };
    assert.equal(isEjected(true), false);
    assert.equal(isEjected(false), true);
});
