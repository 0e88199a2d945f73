import assert from "node:assert/strict";
import { test } from "node:test";
import { CallError } from "@bramleymoor/protocol/errors";
import { ServiceDispatcher } from "../src/dispatcher.js";
import { SeededRandom } from "../src/random.js";
import type { Call, Share, Slot } from "../src/types.js";
import { chooserNames, type Service } from "@bramleymoor/model/spec";
import { makeCall, makeService, readClass } from "./fixtures.js";

const onlyDispatcher: Share = { index: 0, count: 1 };
const ok = { kind: "answered", status: 200 } as const;

const dispatcherOf = (service: Service, share = onlyDispatcher): ServiceDispatcher =>
    new ServiceDispatcher(service, share, new SeededRandom(1), 0);

interface Submitted {
    readonly slots: Slot[];
    readonly errors: string[];
    readonly unsubscribe: () => void;
}

const submit = (dispatcher: ServiceDispatcher, call: Call, now = 0): Submitted => {
    const slots: Slot[] = [];
    const errors: string[] = [];
    const subscription = dispatcher.submit(call, now).subscribe({
        next: slot => slots.push(slot),
        error: (err: unknown) => errors.push(err instanceof CallError ? err.kind : String(err)),
    });
    return { slots, errors, unsubscribe: () => subscription.unsubscribe() };
};

test("calls beyond the slots wait and get a slot when one is freed", () => {
    const dispatcher = dispatcherOf(makeService(1, 2));
    const [first, , third] = [0, 1, 2].map(() => submit(dispatcher, makeCall()));
    assert.equal(third?.slots.length, 0);
    assert.ok(first?.slots[0]);
    dispatcher.settle(first.slots[0], ok, 10);
    assert.equal(third.slots.length, 1);
});

test("an expired call never takes a slot", () => {
    const dispatcher = dispatcherOf(makeService(1, 1));
    const first = submit(dispatcher, makeCall());
    const second = submit(dispatcher, makeCall({ deadlineAt: 50 }));
    assert.ok(first.slots[0]);
    dispatcher.settle(first.slots[0], ok, 60);
    assert.deepEqual(second.errors, ["deadline-queued"]);
    assert.equal(second.slots.length, 0);
});

test("a full queue refuses a call, unless it can shed one of a less urgent class", () => {
    const dispatcher = dispatcherOf(makeService(1, 1, { queueLimit: 1 }));
    submit(dispatcher, makeCall());
    const queued = submit(dispatcher, makeCall());
    assert.deepEqual(submit(dispatcher, makeCall()).errors, ["overloaded"]);
    const urgent = submit(dispatcher, makeCall({ class: { ...readClass, priority: 0 } }));
    assert.deepEqual(queued.errors, ["overloaded"]);
    assert.deepEqual(urgent.errors, []);
});

test("a leaving server gets no requests", () => {
    const service = makeService(2, 1);
    const dispatcher = dispatcherOf(service);
    dispatcher.markLeaving(new Set(["10.0.0.0:80"]), 0);
    assert.equal(submit(dispatcher, makeCall()).slots[0]?.server.address, "10.0.0.1:80");
    dispatcher.markLeaving(new Set(["10.0.0.0:80", "10.0.0.1:80"]), 0);
    assert.deepEqual(submit(dispatcher, makeCall()).errors, ["no-server"]);
});

test("the shares of all dispatchers add up to the slots", () => {
    const service = makeService(5, 3);
    const totals = [0, 1, 2, 3].map(index => {
        const view = dispatcherOf(service, { index, count: 4 }).view(0);
        return view.servers.reduce((sum, it) => sum + it.limit, 0);
    });
    assert.equal(
        totals.reduce((a, b) => a + b),
        15,
    );
});

test("queued calls of tenants are served in turn", () => {
    const dispatcher = dispatcherOf(makeService(1, 1));
    const order: string[] = [];
    const running: Slot[] = [];
    for (const tenant of ["loud", "loud", "loud", "quiet"]) {
        dispatcher.submit(makeCall({ tenant }), 0).subscribe(slot => {
            order.push(slot.call.tenant);
            running.push(slot);
        });
    }
    for (let slot = running.shift(); slot; slot = running.shift()) {
        dispatcher.settle(slot, ok, 1);
    }
    assert.deepEqual(order, ["loud", "loud", "quiet", "loud"]);
});

test("an unsubscribed call leaves the queue, and settling a slot twice throws", () => {
    const dispatcher = dispatcherOf(makeService(1, 1));
    const first = submit(dispatcher, makeCall());
    submit(dispatcher, makeCall()).unsubscribe();
    assert.equal(dispatcher.view(0).queued, 0);
    const slot = first.slots[0];
    assert.ok(slot);
    dispatcher.settle(slot, ok, 1);
    assert.throws(() => dispatcher.settle(slot, ok, 2));
});

test("the requests of all dispatchers together stay within a server's connections", () => {
    const connections = 3;
    const servers = makeService(4, 2).servers.map(it => ({ ...it, connections }));
    for (const chooser of chooserNames) {
        const shares = [0, 1, 2].map(index => ({ index, count: 3 }));
        const dispatchers = shares.map(share => dispatcherOf(makeService(0, 2, { servers, chooser }), share));
        const submitted = dispatchers.flatMap(it => Array.from({ length: 20 }, () => submit(it, makeCall())));
        const inFlight = servers.map((_, at) =>
            dispatchers.reduce((sum, it) => sum + it.view(0).servers[at]!.inFlight, 0),
        );
        assert.ok(
            inFlight.every(count => count > 0 && count <= connections),
            `${chooser}: ${inFlight}`,
        );
        assert.ok(submitted.every(it => it.errors.length === 0));
    }
});

test("late binding sends requests ahead of a free slot only over spare connections", () => {
    for (const [connections, maxInFlight] of [
        [2, 2],
        [3, 3],
    ] as const) {
        const [server] = makeService(1, 2).servers;
        const dispatcher = dispatcherOf(makeService(0, 2, { servers: [{ ...server!, connections }] }));
        for (let now = 0; now < 60; now++) {
            const slot = submit(dispatcher, makeCall(), now).slots[0];
            dispatcher.settle(slot!, ok, now + 1);
        }
        Array.from({ length: 10 }, () => submit(dispatcher, makeCall(), 61));
        assert.equal(dispatcher.view(61).inFlight, maxInFlight);
    }
});

test("a server is shown as lent while all its slots are lent", () => {
    const share = { index: 0, count: 2 };
    const dispatcher = dispatcherOf(makeService(2, 1), share);
    const state = (now: number): readonly string[] => dispatcher.view(now).servers.map(it => it.state);
    dispatcher.update(makeService(4, 1), share, 0);
    dispatcher.receive({ version: 1, kind: "ask", from: 1 }, 0);
    assert.deepEqual(state(0), ["lent", "serving", "full", "full"]);
    dispatcher.tick(50);
    assert.deepEqual(state(50), ["serving", "serving", "full", "full"]);
});
