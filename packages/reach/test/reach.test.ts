import assert from "node:assert/strict";
import { test } from "node:test";
import { maxServersPerQuestion, type ReachMessage } from "../src/messages.js";
import { Reach } from "../src/reach.js";

const stepMs = 50;
const networkMs = 5;
const probeTimeoutMs = 400;

interface Delivery {
    readonly at: number;
    readonly run: () => void;
}

/** Entry VMs in virtual time that probe servers, while links are cut and servers die. */
class Fleet {
    now = 0;
    readonly vms: ReadonlyMap<string, Reach>;
    readonly servers: readonly string[];
    readonly cutOff = new Set<string>();
    readonly dead = new Set<string>();
    readonly #lossShare: number;
    #seed = 1;
    #deliveries: Delivery[] = [];

    constructor(vms: number, servers: number, lossShare = 0) {
        this.#lossShare = lossShare;
        const names = Array.from({ length: vms }, (_, i) => `vm${i}`);
        this.vms = new Map(names.map(self => [self, new Reach({ self, random: () => this.#random() })]));
        this.servers = Array.from({ length: servers }, (_, i) => `s${i}`);
    }

    /** Names of the entry VMs that take themselves for cut off. */
    get judged(): readonly string[] {
        return [...this.vms].filter(([, it]) => it.isCutOff).map(([name]) => name);
    }

    /** Lets time pass, in which each entry VM sends requests to servers at random. */
    run(ms: number): void {
        for (const end = this.now + ms; this.now < end;) {
            this.now += stepMs;
            this.vms.forEach((reach, name) => this.#step(name, reach));
            const due = this.#deliveries.filter(it => it.at <= this.now);
            this.#deliveries = this.#deliveries.filter(it => it.at > this.now);
            due.forEach(it => it.run());
        }
    }

    #step(name: string, reach: Reach): void {
        const peers = [...this.vms.keys()].filter(it => it !== name);
        if (!reach.isCutOff) {
            this.#probe(name, reach, this.#pick(this.servers), "request");
        }
        const actions = reach.tick(this.servers, peers, this.now);
        actions.broadcasts.forEach(it => peers.forEach(to => this.#send(to, it)));
        actions.questions.forEach(({ to, message }) => to.forEach(it => this.#send(it, message)));
        actions.probes.forEach(it => this.#probe(name, reach, it, "link"));
    }

    #probe(name: string, reach: Reach, server: string, kind: "request" | "link"): void {
        const sentAt = this.now;
        const answers = !this.cutOff.has(name) && !this.dead.has(server);
        this.#later(answers ? networkMs : probeTimeoutMs, () => {
            if (kind === "link") {
                reach.recordLinkProbe(server, answers, sentAt, this.now);
            } else if (answers) {
                reach.recordResponse(server, this.now);
            } else {
                reach.recordFailure(server, "silent", sentAt, this.now);
            }
        });
    }

    #send(to: string, message: ReachMessage): void {
        if (this.#random() < this.#lossShare) {
            return;
        }
        this.#later(networkMs, () => {
            const reach = this.vms.get(to);
            const { answer, unknown } = reach?.receive(message, true, 0, this.now) ?? {
                answer: undefined,
                unknown: [],
            };
            if (answer) {
                this.#send(message.from, answer);
            }
            unknown.slice(0, 2).forEach(it => reach && this.#probe(to, reach, it, "link"));
        });
    }

    #later(ms: number, run: () => void): void {
        this.#deliveries.push({ at: this.now + ms, run });
    }

    #pick(items: readonly string[]): string {
        return items[Math.floor(this.#random() * items.length)] ?? "";
    }

    #random(): number {
        this.#seed = (this.#seed * 48_271) % 2_147_483_647;
        return this.#seed / 2_147_483_647;
    }
}

/** Returns the answer of a peer that has just reached servers. */
const answer = (servers: readonly string[]): Extract<ReachMessage, { readonly type: "answer" }> => ({
    type: "answer",
    from: "vm1",
    reached: servers.map(key => ({ key, agoMs: 0 })),
    hasRoom: true,
});

const cutOff = (fleet: Fleet, count: number): readonly string[] => {
    const names = [...fleet.vms.keys()].slice(0, count);
    names.forEach(it => fleet.cutOff.add(it));
    return names;
};

for (const [vms, cut] of [
    [2, 1],
    [6, 1],
    [19, 12],
    [19, 18],
    [60, 40],
] as const) {
    test(`of ${vms} entry VMs the ${cut} that lose their links know it within 1.5 s, no others, and know when they are back`, () => {
        const fleet = new Fleet(vms, 20, 0.1);
        fleet.run(2_000);
        assert.deepEqual(fleet.judged, []);
        const names = cutOff(fleet, cut);
        fleet.run(1_500);
        assert.deepEqual(fleet.judged, names);
        fleet.run(10_000);
        assert.deepEqual(fleet.judged, names);
        names.forEach(it => assert.ok((fleet.vms.get(it)?.helpers(fleet.now).length ?? 0) > 0, it));
        fleet.cutOff.clear();
        fleet.run(1_500);
        assert.deepEqual(fleet.judged, []);
    });
}

test("servers that are all down aren't taken for lost links by any entry VM, also while they come back", () => {
    const fleet = new Fleet(12, 8);
    fleet.run(2_000);
    fleet.servers.forEach(it => fleet.dead.add(it));
    for (let i = 0; i < 100; i++) {
        fleet.run(100);
        assert.deepEqual(fleet.judged, [], `after ${i * 100} ms`);
    }
    for (const server of fleet.servers) {
        fleet.dead.delete(server);
        fleet.run(300);
        assert.deepEqual(fleet.judged, [], server);
    }
});

test("entry VMs that all lose their links don't send requests to one another", () => {
    const fleet = new Fleet(6, 10);
    fleet.run(2_000);
    cutOff(fleet, 6);
    fleet.run(5_000);
    assert.deepEqual(fleet.judged, []);
});

test("an entry VM whose last helpers lose their links as well no longer counts itself as cut off", () => {
    const fleet = new Fleet(4, 10);
    fleet.run(2_000);
    cutOff(fleet, 2);
    fleet.run(3_000);
    assert.equal(fleet.judged.length, 2);
    cutOff(fleet, 4);
    fleet.run(6_000);
    assert.deepEqual(fleet.judged, []);
});

test("servers that are down in part are no lost links", () => {
    const fleet = new Fleet(6, 12);
    fleet.run(1_000);
    fleet.servers.slice(0, 9).forEach(it => fleet.dead.add(it));
    for (let i = 0; i < 50; i++) {
        fleet.run(100);
        assert.deepEqual(fleet.judged, []);
    }
});

test("servers that refuse connections while others work cause no questions", () => {
    const reach = new Reach({ self: "vm0", random: () => 0.9 });
    const servers = ["s0", "s1", "s2", "s3", "s4"];
    let questions = 0;
    for (let now = 0; now < 5_000; now += stepMs) {
        servers.slice(0, 3).forEach(it => reach.recordFailure(it, "no-connection", now, now + 1));
        const actions = reach.tick(servers, ["vm1"], now + 2);
        questions += actions.questions.length;
        actions.probes.forEach(it => reach.recordLinkProbe(it, it > "s2", now + 2, now + 5));
    }
    assert.equal(questions, 0);
});

test("peers know which entry VMs are cut off, and forget those that stop saying so", () => {
    const fleet = new Fleet(3, 5);
    fleet.run(2_000);
    const [name = ""] = cutOff(fleet, 1);
    fleet.run(2_000);
    const peer = fleet.vms.get("vm2")!;
    assert.ok(peer.isCutOffVm(name, fleet.now));
    assert.ok(!peer.isCutOffVm("vm1", fleet.now));
    assert.ok(!peer.isCutOffVm(name, fleet.now + 4_000));
});

test("an entry VM whose new connections are refused is cut off, though open ones go on working", () => {
    const reach = new Reach({ self: "vm0", random: () => 0 });
    const servers = ["s0", "s1", "s2", "s3"];
    for (const key of servers) {
        reach.recordFailure(key, "no-connection", 100, 110);
        reach.recordResponse(key, 120);
    }
    const first = reach.tick(servers, ["vm1"], 130);
    assert.deepEqual([first.questions.length, first.probes.length], [0, 2], "it probes before it asks");
    assert.equal(reach.tick(servers, ["vm1"], 230).questions.length, 1);
    reach.receive(answer(servers), true, 0, 250);
    reach.tick(servers, ["vm1"], 260);
    assert.ok(!reach.isCutOff, "the servers might be back");
    servers.forEach(it => reach.recordFailure(it, "no-connection", 270, 280));
    reach.tick(servers, ["vm1"], 290);
    assert.ok(reach.isCutOff);
    assert.deepEqual(reach.helpers(290), ["vm1"]);
});

test("an answer that lay unread since before the servers failed is no proof of lost links", () => {
    const reach = new Reach({ self: "vm0", random: () => 0 });
    const servers = ["s0", "s1", "s2"];
    servers.forEach(it => reach.recordFailure(it, "silent", 0, 400));
    reach.receive(answer(servers), true, 700, 1_000);
    servers.forEach(it => reach.recordFailure(it, "silent", 1_010, 1_400));
    reach.tick(servers, ["vm1"], 1_410);
    assert.ok(!reach.isCutOff);
});

test("a peer without room is no helper, but its answer counts", () => {
    const reach = new Reach({ self: "vm0", random: () => 0 });
    const servers = ["s0", "s1", "s2"];
    servers.forEach(it => reach.recordFailure(it, "silent", 0, 400));
    reach.receive({ ...answer(servers), hasRoom: false }, true, 0, 500);
    servers.forEach(it => reach.recordFailure(it, "silent", 510, 900));
    reach.tick(servers, ["vm1"], 910);
    assert.ok(reach.isCutOff);
    assert.deepEqual(reach.helpers(910), []);
});

// Guards against a fleet that refuses all requests for seconds, as each entry VM believes that the others reach the servers.
test("an entry VM whose peers all say that they are cut off as well no longer counts itself as cut off, and says so", () => {
    const reach = new Reach({ self: "vm0", random: () => 0 });
    const servers = ["s0", "s1", "s2"];
    const peers = ["vm1", "vm2"];
    servers.forEach(it => reach.recordFailure(it, "silent", 0, 400));
    reach.receive(answer(servers), true, 0, 500);
    servers.forEach(it => reach.recordFailure(it, "silent", 510, 900));
    reach.tick(servers, peers, 910);
    assert.ok(reach.isCutOff);
    reach.receive({ type: "state", from: "vm1", cutOff: true }, true, 0, 920);
    reach.tick(servers, peers, 930);
    assert.ok(reach.isCutOff, "vm2 may reach servers");
    reach.receive({ type: "state", from: "vm2", cutOff: true }, true, 0, 940);
    const { broadcasts } = reach.tick(servers, peers, 950);
    assert.ok(!reach.isCutOff);
    assert.deepEqual(broadcasts, [{ type: "state", from: "vm0", cutOff: false }]);
    reach.tick(servers, peers, 1_000);
    assert.ok(!reach.isCutOff, "what was known before is no proof any more");
});

test("questions and messages are bounded, however many servers and entry VMs there are", () => {
    const reach = new Reach({ self: "vm", random: () => 0.5 });
    const servers = Array.from({ length: 500 }, (_, i) => `s${i}`);
    const peers = Array.from({ length: 300 }, (_, i) => `vm${i}`);
    servers.forEach(it => reach.recordFailure(it, "silent", 0, 400));
    let questions = 0;
    for (let now = 400; now < 1_400; now += stepMs) {
        for (const { to, message } of reach.tick(servers, peers, now).questions) {
            questions++;
            assert.ok(to.length <= 16);
            assert.ok(message.type === "question" && message.servers.length <= maxServersPerQuestion);
        }
    }
    assert.ok(questions <= 10, `${questions} in a second`);
});
