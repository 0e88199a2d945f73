import assert from "node:assert/strict";
import { test } from "node:test";
import type { Service } from "@bramleymoor/model/spec";
import { ServiceDispatcher } from "../src/dispatcher.js";
import { SeededRandom } from "../src/random.js";
import type { Slot, SlotResult } from "../src/types.js";
import { makeCall, makeServer, makeService, readClass } from "./fixtures.js";

const ok: SlotResult = { kind: "answered", status: 200 };

/** Drives one dispatcher in steps of a millisecond; `responseOf` returns when and how a slot's request ends. */
class Driver {
    readonly dispatcher: ServiceDispatcher;
    readonly open = new Set<Slot>();
    readonly granted: Slot[] = [];
    now = 0;

    constructor(
        service: Service,
        readonly responseOf: (
            slot: Slot,
            now: number,
        ) => { readonly afterMs: number; readonly result: SlotResult },
    ) {
        this.dispatcher = new ServiceDispatcher(service, { index: 0, count: 1 }, new SeededRandom(1), 0);
    }

    call(overrides: Parameters<typeof makeCall>[0] = {}): void {
        const call = makeCall({ deadlineAt: this.now + 5_000, ...overrides });
        this.dispatcher.submit(call, this.now).subscribe({
            next: slot => {
                this.open.add(slot);
                this.granted.push(slot);
            },
            error: () => undefined,
        });
    }

    step(): void {
        this.now++;
        for (const slot of this.open) {
            const { afterMs, result } = this.responseOf(slot, this.now);
            if (this.now >= slot.grantedAt + afterMs) {
                this.open.delete(slot);
                this.dispatcher.settle(slot, result, this.now);
            }
        }
        this.dispatcher.tick(this.now);
    }

    /** Submits a call every millisecond for `ms` milliseconds. */
    run(ms: number, overrides: Parameters<typeof makeCall>[0] = {}): void {
        for (const end = this.now + ms; this.now < end;) {
            this.call(overrides);
            this.step();
        }
    }

    sentTo(address: string, from: number): number {
        return this.granted.filter(it => it.server.address === address && it.grantedAt >= from).length;
    }
}

const address = makeServer(0).address;
const normalResponse = { afterMs: 8, result: ok };

test("a server that fails fast gets few requests, although it seems idle", () => {
    const driver = new Driver(makeService(8, 2), slot =>
        slot.server.address === address
            ? { afterMs: 1, result: { kind: "answered", status: 503 } }
            : normalResponse,
    );
    driver.run(1_000);
    assert.ok(driver.sentTo(address, 0) < 0.02 * driver.granted.length);
});

test("a server that stops responding gets no further requests even before its late responses arrive", () => {
    const driver = new Driver(makeService(8, 2), (slot, now) =>
        slot.server.address === address && now > 500 ? { afterMs: 400, result: ok } : normalResponse,
    );
    driver.run(530);
    const before = driver.granted.length;
    driver.run(150);
    assert.equal(driver.sentTo(address, 530), 0);
    assert.ok(driver.granted.length > before + 140);
});

test("when every server is slow, all are still used", () => {
    const driver = new Driver(makeService(8, 2), (_slot, now) =>
        now > 500 ? { afterMs: 60, result: ok } : normalResponse,
    );
    driver.run(700);
    const used = new Set(driver.granted.filter(it => it.grantedAt > 560).map(it => it.server.address));
    assert.equal(used.size, 8);
});

test("when every server fails, no more than the configured share is ejected", () => {
    const driver = new Driver(makeService(10, 2), () => ({
        afterMs: 2,
        result: { kind: "answered", status: 500 },
    }));
    driver.run(500);
    const ejected = driver.dispatcher.view(driver.now).servers.filter(it => it.state === "ejected");
    assert.ok(ejected.length <= 3);
});

test("a new server gets one request at a time until one succeeds", () => {
    const service = makeService(4, 2);
    const driver = new Driver(service, slot =>
        slot.server.address === "10.0.0.9:80" ? { afterMs: 40, result: ok } : normalResponse,
    );
    driver.run(200);
    const extended = { ...service, servers: [...service.servers, makeServer(9)] };
    driver.dispatcher.update(extended, { index: 0, count: 1 }, driver.now);
    driver.run(20);
    const view = driver.dispatcher.view(driver.now).servers.find(it => it.address === "10.0.0.9:80");
    assert.equal(view?.limit, 1);
});

test("hedges go to another server, stay within their budget, and are not sent for non-idempotent calls", () => {
    const slowOne = (slot: Slot, now: number) =>
        slot.server.address === address && now > 500 ? { afterMs: 200, result: ok } : normalResponse;
    const driver = new Driver(makeService(8, 2, { hedgeBudget: 0.02 }), slowOne);
    driver.run(1_500);
    const hedges = driver.granted.filter(it => it.hedge);
    assert.ok(hedges.length > 0 && hedges.length <= 0.02 * driver.granted.length + 10);
    for (const hedge of hedges) {
        const first = driver.granted.find(it => it.call.id === hedge.call.id && !it.hedge);
        assert.notEqual(first?.server.address, hedge.server.address);
    }
    const nonIdempotent = new Driver(makeService(8, 2), slowOne);
    nonIdempotent.run(1_500, { class: { ...readClass, idempotent: false } });
    assert.ok(nonIdempotent.granted.every(it => !it.hedge));
});

test("a call whose caller has disconnected is not hedged", () => {
    const driver = new Driver(makeService(8, 2), () => normalResponse);
    driver.run(200);
    const slots: Slot[] = [];
    const call = makeCall({ deadlineAt: driver.now + 5_000 });
    driver.dispatcher
        .submit(call, driver.now)
        .subscribe(slot => slots.push(slot))
        .unsubscribe();
    for (let ms = 0; ms < 300; ms++) {
        driver.step();
    }
    const { inFlight } = driver.dispatcher.view(driver.now);
    assert.equal(slots.length, 1);
    assert.equal(inFlight, 1);
    driver.dispatcher.settle(slots[0]!, { kind: "cancelled" }, driver.now);
    assert.equal(driver.dispatcher.view(driver.now).inFlight, 0);
});

test("a server that refuses a request because it is draining gets no new requests", () => {
    const driver = new Driver(makeService(3, 2), slot =>
        slot.server.address === address
            ? { afterMs: 1, result: { kind: "refused", draining: true } }
            : normalResponse,
    );
    driver.run(300);
    assert.ok(driver.sentTo(address, 0) <= 2);
});

test("load reports that are frozen, zero or from the future don't attract requests to a slow server", () => {
    const driver = new Driver(makeService(8, 2), slot =>
        slot.server.address === address ? { afterMs: 100, result: ok } : normalResponse,
    );
    for (let round = 0; round < 100; round++) {
        driver.dispatcher.recordLoad(
            address,
            { inFlight: 0, latencyMs: 0, draining: false },
            -1_000,
            driver.now,
        );
        driver.run(10);
    }
    assert.ok(driver.sentTo(address, 500) < 0.05 * 500);
});
