import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationKey } from "@bramleymoor/model/route";
import { serverEntry } from "@bramleymoor/testkit/builders";
import fc from "fast-check";
import { ServerAvailability } from "../src/availability.js";
import { limitMessageSchema } from "../src/messages.js";
import { AvailabilityFleet } from "./availabilityfleet.js";

const server = serverEntry("s1");
const key = incarnationKey(server);
const served = { leaving: false, notNowMs: 0 };
const isOpen = (availability: ServerAvailability, now: number): boolean =>
    availability.nextSendAt(key, now) <= now;

/** Returns a seeded source of numbers of at least 0 and below 1. */
const randomFrom = (seed: number): (() => number) => {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
};

test("leaving servers and times are obeyed while messages are lost and entry VMs start, die and are paused", () => {
    const event = fc.record({
        kind: fc.constantFrom(
            "start",
            "kill",
            "pause",
            "leave",
            "restart",
            "turn away",
            "turn away",
            "serve",
        ),
        vm: fc.nat(30),
        server: fc.nat(3),
        notNowMs: fc.constantFrom(100, 700, 1_500, 3_000, 6_000),
        ms: fc.integer({ min: 100, max: 4_000 }),
    });
    const scenario = fc.record({
        seed: fc.integer(),
        lossShare: fc.constantFrom(0, 0.2, 0.6),
        events: fc.array(event, { minLength: 8, maxLength: 20 }),
    });
    fc.assert(
        fc.property(scenario, ({ seed, lossShare, events }) => {
            const fleet = new AvailabilityFleet(6, 4, lossShare, randomFrom(seed));
            events.forEach(({ kind, vm, server: index, notNowMs, ms }, i) => {
                const id = fleet.ids[vm % fleet.ids.length]!;
                const target = fleet.servers[index]!;
                if (kind === "start" && fleet.ids.length < 10) {
                    fleet.start(`new-${i}`);
                } else if (kind === "kill" && fleet.ids.length > 2) {
                    fleet.kill(id);
                    fleet.start(id);
                } else if (kind === "pause") {
                    fleet.pause(id, ms);
                } else if (kind === "leave") {
                    target.leaving = true;
                } else if (kind === "restart") {
                    fleet.restart(target);
                } else if (kind === "turn away" || kind === "serve") {
                    target.notNowMs = kind === "serve" ? 0 : notNowMs;
                }
                fleet.run(ms);
            });
            fleet.servers.forEach(it => (it.notNowMs = 0));
            fleet.run(12_000);
            const from = fleet.now;
            fleet.run(3_000);
            assert.equal(fleet.arrivals.filter(it => it.afterLeaving).length, 0);
            assert.equal(fleet.ignoredTimes().length, 0);
            for (const { entry, leaving } of fleet.servers) {
                const users = new Set(
                    fleet.arrivals
                        .filter(it => it.at >= from && it.key === incarnationKey(entry))
                        .map(it => it.vm.id),
                );
                assert.equal(users.size, leaving ? 0 : fleet.ids.length);
            }
        }),
        { numRuns: 20, seed: 27 },
    );
});

test("within one round of messages all entry VMs know that a server is leaving, and one that starts soon after", () => {
    const fleet = new AvailabilityFleet(12, 1, 0, randomFrom(1));
    const [leaving] = fleet.servers;
    fleet.run(1_000);
    leaving!.leaving = true;
    fleet.run(600);
    const isLeaving = (id: string): boolean => fleet.availability(id).isLeaving(key.replace("s1", "s0"));
    assert.ok(fleet.ids.every(isLeaving));
    fleet.start("new");
    const from = fleet.now;
    fleet.run(2_400);
    assert.ok(isLeaving("new"));
    const late = fleet.arrivals.filter(it => it.at >= from && it.vm.id !== "new").length;
    assert.equal(late, 0);
});

test("at the end of a pause one request goes first, and the others after its response", () => {
    const availability = new ServerAvailability("vm");
    availability.record(server, { leaving: false, notNowMs: 2_000 }, 0);
    assert.equal(availability.nextSendAt(key, 1_999), 2_000);
    assert.ok(isOpen(availability, 2_000));
    availability.recordSend(key, 2_000);
    assert.ok(!isOpen(availability, 2_000));
    assert.ok(!isOpen(availability, 2_400));
    availability.record(server, served, 2_400);
    assert.ok(isOpen(availability, 2_400));
    availability.recordSend(key, 2_400);
    assert.ok(isOpen(availability, 2_400));
});

test("a request that ends without a response doesn't open the server; the next one goes alone", () => {
    const availability = new ServerAvailability("vm");
    availability.record(server, { leaving: false, notNowMs: 1_000 }, 0);
    availability.recordSend(key, 1_000);
    availability.recordEnd(key, 900);
    assert.ok(!isOpen(availability, 1_100));
    availability.recordEnd(key, 1_000);
    assert.ok(isOpen(availability, 1_100));
    availability.recordSend(key, 1_100);
    assert.ok(!isOpen(availability, 3_099));
    assert.ok(isOpen(availability, 3_100));
});

test("responses to earlier requests neither shorten a pause nor end it", () => {
    const availability = new ServerAvailability("vm");
    availability.record(server, { leaving: false, notNowMs: 3_000 }, 0);
    availability.record(server, served, 100);
    availability.record(server, { leaving: false, notNowMs: 500 }, 200);
    assert.equal(availability.nextSendAt(key, 300), 3_000);
    availability.record(server, { leaving: undefined, notNowMs: undefined }, 400);
    assert.equal(availability.nextSendAt(key, 400), 3_000);
});

test("no time takes a server away for longer than five minutes", () => {
    const availability = new ServerAvailability("vm");
    for (const notNowMs of [86_400_000, Number.MAX_VALUE, Infinity]) {
        availability.record(server, { leaving: false, notNowMs }, 0);
        assert.equal(availability.nextSendAt(key, 1), 300_000);
    }
    availability.tick(360_000);
    assert.equal(availability.nextSendAt(key, 360_000), -Infinity);
});

test("a server that turned a peer's requests away gets one request first, at once; a late message says nothing", () => {
    const peer = new ServerAvailability("peer");
    peer.record(server, { leaving: false, notNowMs: 3_000 }, 0);
    const [message] = peer.tick(100);
    assert.ok(message);
    const late = new ServerAvailability("late");
    late.receive(message, 2_900, 500);
    late.recordSend(key, 500);
    assert.ok(isOpen(late, 500));
    const availability = new ServerAvailability("vm");
    availability.receive(message, 0, 500);
    assert.ok(isOpen(availability, 500));
    availability.recordSend(key, 500);
    assert.ok(!isOpen(availability, 500));
    availability.record(server, served, 600);
    assert.ok(isOpen(availability, 600));
});

test("a peer's message neither shortens a pause nor lets a second request go first", () => {
    const peer = new ServerAvailability("peer");
    peer.record(server, { leaving: false, notNowMs: 1_000 }, 0);
    const availability = new ServerAvailability("vm");
    availability.record(server, { leaving: false, notNowMs: 3_000 }, 0);
    const [message] = peer.tick(50);
    assert.ok(message);
    availability.receive(message, 0, 100);
    assert.equal(availability.nextSendAt(key, 100), 3_000);
    availability.recordSend(key, 3_000);
    availability.receive(message, 0, 3_050);
    assert.ok(!isOpen(availability, 3_050));
});

test("a leaving incarnation stays leaving whatever is heard later, and a new one isn't leaving", () => {
    const availability = new ServerAvailability("vm");
    availability.record(server, { leaving: true, notNowMs: 0 }, 0);
    availability.record(server, served, 100);
    availability.receive({ from: "p", limits: [], servers: [{ key, leaving: false }] }, 0, 200);
    for (let now = 0; now < 3_600_000; now += 60_000) {
        availability.tick(now);
    }
    assert.ok(availability.isLeaving(key));
    assert.ok(!availability.isLeaving(incarnationKey({ ...server, bornAt: 2 })));
});

test("the leaving servers of a whole failure domain all reach the peers", () => {
    const availability = new ServerAvailability("vm");
    const servers = Array.from({ length: 250 }, (_, i) => serverEntry(`s${i}`));
    servers.forEach(it => availability.record(it, { leaving: true, notNowMs: 0 }, 0));
    const messages = availability.tick(0);
    messages.forEach(it => assert.ok(limitMessageSchema.safeParse(it).success));
    const keys = messages.flatMap(it => it.servers ?? []).map(it => it.key);
    assert.deepEqual(new Set(keys), new Set(servers.map(incarnationKey)));
});
