import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationKey } from "@bramleymoor/model/route";
import { serverEntry } from "@bramleymoor/testkit/builders";
import fc from "fast-check";
import { RequestLimits } from "../src/limits.js";
import { limitMessageSchema } from "../src/messages.js";
import { contactMs, Fleet, windowMs } from "./fleet.js";

/** Returns a seeded source of numbers of at least 0 and below 1. */
const randomFrom = (seed: number): (() => number) => {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
};

const allowedInWindow = (perSecond: number): number => (perSecond * windowMs * 1.5) / 1_000 + 5;

/** Returns a fleet whose server has named a limit for so long that it has to be kept. */
const limitedFleet = (perSecond: number, { size = 19, lossShare = 0, seed = 1 } = {}): Fleet => {
    const fleet = new Fleet(size, lossShare, randomFrom(seed));
    fleet.run(1_000);
    fleet.perSecond = perSecond;
    fleet.run(contactMs + windowMs);
    return fleet;
};

for (const perSecond of [0, 0.2, 1, 2.6, 5, 40]) {
    test(`19 entry VMs together keep a limit of ${perSecond} a second, and use it`, () => {
        const fleet = limitedFleet(perSecond);
        const from = fleet.now;
        fleet.run(20_000);
        const most = fleet.mostInWindow(1_000 + contactMs);
        assert.ok(most <= allowedInWindow(perSecond), `${most}`);
        const expected = perSecond * 20;
        assert.ok(fleet.countSince(from) >= expected * 0.8, `${fleet.countSince(from)} of ${expected}`);
    });
}

test("a limit is kept while messages are lost and entry VMs start, stop, die and are paused", () => {
    const event = fc.record({
        kind: fc.constantFrom("start", "stop", "kill", "pause", "idle", "busy", "fall", "rise"),
        vm: fc.nat(30),
        ms: fc.integer({ min: 100, max: 6_000 }),
    });
    const scenario = fc.record({
        seed: fc.integer(),
        perSecond: fc.constantFrom(1, 2.6, 5),
        lossShare: fc.constantFrom(0, 0.05, 0.2),
        events: fc.array(event, { minLength: 5, maxLength: 15 }),
    });
    fc.assert(
        fc.property(scenario, ({ seed, perSecond, lossShare, events }) => {
            const fleet = limitedFleet(perSecond, { size: 8, lossShare, seed });
            const from = 1_000 + contactMs;
            let highest: number = perSecond;
            events.forEach(({ kind, vm, ms }, i) => {
                const id = fleet.ids[vm % Math.max(1, fleet.ids.length)] ?? "";
                if (kind === "start" && fleet.ids.length < 12) {
                    fleet.start(`new-${i}`);
                    fleet.setDemand(`new-${i}`, false);
                } else if (kind === "stop" && fleet.ids.length > 3) {
                    fleet.stop(id);
                } else if (kind === "kill" && fleet.ids.length > 3) {
                    fleet.kill(id);
                } else if (kind === "pause") {
                    fleet.pause(id, ms);
                } else if (kind === "idle" || kind === "busy") {
                    fleet.setDemand(id, kind === "busy" && fleet.limits(id).limitedServers > 0);
                } else if (kind === "fall" || kind === "rise") {
                    fleet.perSecond = kind === "fall" ? perSecond : perSecond * 2;
                    highest = Math.max(highest, fleet.perSecond);
                }
                fleet.run(ms);
            });
            const most = fleet.mostInWindow(from);
            assert.ok(most <= allowedInWindow(highest), `${most}, ${allowedInWindow(highest)} allowed`);
        }),
        { numRuns: 40, seed: 22 },
    );
});

test("when the server no longer names its limit, all entry VMs use it again at once", () => {
    const fleet = limitedFleet(2);
    fleet.perSecond = undefined;
    fleet.run(3_000);
    assert.ok(fleet.ids.every(it => fleet.share(it) === Infinity));
});

test("shares of a killed entry VM are taken over, those of a stopping one at once", () => {
    const fleet = limitedFleet(1);
    const holder = (): string => fleet.ids.find(it => fleet.share(it) > 0) ?? "none";
    const stopped = holder();
    fleet.stop(stopped);
    fleet.run(4_000);
    const killed = holder();
    assert.notEqual(killed, "none");
    assert.notEqual(killed, stopped);
    fleet.kill(killed);
    fleet.run(14_000);
    assert.notEqual(holder(), "none");
});

test("an entry VM that the others don't hear for some seconds keeps its share, and no other takes it", () => {
    const fleet = limitedFleet(5, { size: 8 });
    const holder = fleet.ids.find(it => fleet.share(it) > 0) ?? "none";
    const from = fleet.now;
    fleet.cut(holder, 8_000);
    fleet.run(8_000);
    assert.equal(fleet.share(holder), 1);
    assert.ok(fleet.mostInWindow(from) <= allowedInWindow(5));
});

test("an entry VM that wakes up from a pause doesn't use its earlier share before it has heard of the others", () => {
    const fleet = limitedFleet(1);
    const holder = fleet.ids.find(it => fleet.share(it) > 0) ?? "none";
    fleet.pause(holder, 5_000);
    fleet.run(5_000);
    assert.equal(fleet.limits(holder).nextSendAt(incarnationKey(serverEntry("s1")), fleet.now), Infinity);
    fleet.run(100);
    assert.equal(fleet.share(holder), 0);
});

test("a share isn't used before other claims can have arrived, and later if no other entry VM has been met", () => {
    const server = serverEntry("s1");
    const key = incarnationKey(server);
    for (const [hasPeers, waitMs] of [
        [true, 2_200],
        [false, 15_000],
    ] as const) {
        const limits = new RequestLimits("vm", 0);
        limits.record(server, 5, 0);
        limits.recordDemand(key, 0);
        limits.tick(hasPeers, 0);
        assert.equal(limits.nextSendAt(key, 0), waitMs + 200);
    }
});

test("an entry VM that meets the others late waits only until it has heard their claims", () => {
    const server = serverEntry("s1");
    const key = incarnationKey(server);
    const limits = new RequestLimits("vm", 0);
    limits.record(server, 5, 0);
    for (let now = 0; now <= 6_000; now += 500) {
        limits.recordDemand(key, now);
        limits.tick(now >= 3_000, now);
    }
    assert.equal(limits.nextSendAt(key, 6_000), 3_000 + 2_200 + 200);
});

test("an older statement of a peer doesn't replace a newer one", () => {
    const server = serverEntry("s1");
    const key = incarnationKey(server);
    const limits = new RequestLimits("vm", 0);
    limits.record(server, 5, 1_000);
    const message = { from: "other", limits: [{ key, perSecond: 50, ageMs: 500, claimed: true }] };
    assert.deepEqual(limits.receive(message, 0, 1_100), []);
    assert.equal(limits.limitOf(key), 5);
    assert.deepEqual(
        limits.receive({ ...message, limits: [{ ...message.limits[0]!, ageMs: 50 }] }, 0, 1_100),
        [key],
    );
    assert.equal(limits.limitOf(key), 50);
});

test("the claims of an entry VM on many servers' limits all reach its peers", () => {
    const servers = Array.from({ length: 250 }, (_, i) => serverEntry(`s${i}`));
    const limits = new RequestLimits("vm", 0);
    for (const server of servers) {
        limits.record(server, 5, 0);
        limits.recordDemand(incarnationKey(server), 0);
    }
    const messages = [limits.tick(true, 0)].flat();
    messages.forEach(it => assert.ok(limitMessageSchema.safeParse(it).success));
    const claimed = messages.flatMap(it => it.limits).filter(it => it.claimed);
    assert.deepEqual(new Set(claimed.map(it => it.key)), new Set(servers.map(incarnationKey)));
});

test("a holder confirms a limit with a request if the server hasn't named it for a while", () => {
    const server = serverEntry("s1");
    const key = incarnationKey(server);
    const limits = new RequestLimits("vm", 0);
    limits.record(server, 5, 0);
    assert.ok(!limits.isDue(key, 5_000), "no claim");
    limits.recordDemand(key, 0);
    limits.tick(true, 0);
    assert.ok(!limits.isDue(key, 1_999));
    assert.ok(limits.isDue(key, 2_000));
    limits.recordSend(key, 2_500);
    assert.ok(!limits.isDue(key, 3_000), "one request in flight");
    limits.receive({ from: "p", limits: [{ key, perSecond: 5, ageMs: 100, claimed: true }] }, 0, 6_000);
    assert.ok(!limits.isDue(key, 7_000), "a peer has asked");
    limits.record(server, Infinity, 9_000);
    assert.ok(!limits.isDue(key, 20_000), "ended");
});

test("a new incarnation of a server has no limit", () => {
    const limits = new RequestLimits("vm", 0);
    limits.record(serverEntry("s1", { bornAt: 1 }), 5, 0);
    assert.equal(limits.nextSendAt(incarnationKey(serverEntry("s1", { bornAt: 2 })), 0), -Infinity);
});

test("a limit that nobody confirms is forgotten after a minute, not before", () => {
    const server = serverEntry("s1");
    const limits = new RequestLimits("vm", 0);
    limits.record(server, 5, 0);
    for (let now = 0; now <= 59_000; now += 500) {
        limits.tick(true, now);
    }
    assert.equal(limits.limitOf(incarnationKey(server)), 5);
    for (let now = 59_500; now <= 61_000; now += 500) {
        limits.tick(true, now);
    }
    assert.equal(limits.limitOf(incarnationKey(server)), Infinity);
});
