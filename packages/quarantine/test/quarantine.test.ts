import assert from "node:assert/strict";
import { test } from "node:test";
import { Quarantine, type SendEnd } from "../src/quarantine.js";
import { maxEndings, maxReportsPerMessage, type CrashMessage } from "../src/messages.js";

const members = ["a", "b", "c"];
const poison = "account.poison";
const innocent = "account.innocent";

/** One entry VM in virtual time. */
class Vm {
    readonly quarantine: Quarantine;
    now = 0;

    constructor(name: string) {
        this.quarantine = new Quarantine(name);
    }

    /** Sends a request to a server that answers it, or ends under it. */
    send(key: string, server: string, end: SendEnd = "lost"): void {
        this.now += 10;
        this.quarantine.recordEnd({ key, server, sentAt: this.now - 10, end }, this.now);
    }

    /** Learns that a server can't be reached, while another one answers. */
    learnEnd(server: string): void {
        this.now += 10;
        this.quarantine.recordProbe(server, false, this.now - 5, this.now);
        this.quarantine.recordProbe("other", true, this.now, this.now);
    }

    /** Sends requests to a server that ends under them, and learns that it has. */
    crash(keys: string | readonly string[], server: string): void {
        [keys].flat().forEach(it => this.send(it, server));
        this.learnEnd(server);
    }

    tick(ms: number): readonly CrashMessage[] {
        this.now += ms;
        return this.quarantine.tick(members, this.now);
    }

    admits(key: string): string {
        return this.quarantine.admit(key, false, this.now).kind;
    }
}

/** Lets servers end under a request, one each second. */
const crashServers = (vm: Vm, key: string, count: number): void => {
    for (let i = 0; i < count; i++) {
        vm.crash(key, `s${i}`);
        vm.now += 1_000;
    }
};

/** Returns an entry VM at which a request has just been quarantined. */
const quarantinedAt = (name: string, key: string): Vm => {
    const vm = new Vm(name);
    crashServers(vm, key, 2);
    vm.crash(key, "s2");
    assert.ok(vm.quarantine.isQuarantined(key));
    return vm;
};

test("a request is quarantined once three servers have ended under it", () => {
    const vm = new Vm("a");
    crashServers(vm, poison, 2);
    assert.equal(vm.admits(poison), "free");
    vm.crash(poison, "s2");
    assert.equal(vm.admits(poison), "quarantined");
    assert.equal(vm.admits(innocent), "free");
});

test("servers that end together count as one ending, however many", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 8; i++) {
        vm.send(innocent, `s${i}`);
    }
    for (let i = 0; i < 8; i++) {
        vm.quarantine.recordProbe(`s${i}`, false, vm.now, vm.now);
    }
    vm.quarantine.recordProbe("other", true, vm.now + 1, vm.now + 1);
    assert.equal(vm.admits(innocent), "free");
});

test("a request that any entry VM sees answered in between isn't quarantined", () => {
    const vm = new Vm("a");
    const peer = new Vm("b");
    for (let i = 0; i < 10; i++) {
        vm.crash(innocent, `s${i}`);
        vm.tick(300).forEach(it => peer.quarantine.receive(it, 0, vm.now));
        peer.now = vm.now;
        peer.send(innocent, "other", "answered");
        peer.tick(100).forEach(it => vm.quarantine.receive(it, 0, peer.now));
        assert.equal(vm.admits(innocent), "free", `ending ${i}`);
        vm.now += 500;
    }
});

test("a request that was in flight beside one that crashes servers isn't quarantined", () => {
    const vm = new Vm("a");
    crashServers(vm, poison, 2);
    for (let i = 0; i < 3; i++) {
        vm.crash([poison, innocent], `t${i}`);
        vm.now += 1_000;
    }
    assert.ok(vm.quarantine.isQuarantined(poison));
    assert.ok(!vm.quarantine.isQuarantined(innocent));
});

test("servers that crash under whatever they run block none of it", () => {
    const vm = new Vm("a");
    const requests = ["a", "b", "c", "d"].map(it => `account.${it}`);
    for (let i = 0; i < 20; i++) {
        vm.crash(requests, `s${i}`);
        vm.now += 300;
        requests.forEach(it => assert.equal(vm.admits(it), "free", `ending ${i}`));
    }
});

test("two requests that crash the same few servers are both quarantined", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 3; i++) {
        vm.crash([poison, "account.second"], `s${i}`);
        vm.now += 300;
    }
    assert.ok(vm.quarantine.isQuarantined(poison));
    assert.ok(vm.quarantine.isQuarantined("account.second"));
});

test("a report that lay unread while a server answered brings no ending back", () => {
    const vm = new Vm("a");
    const report = { from: "b", reports: [{ key: innocent, endings: [{ server: "s0", agoMs: 0 }] }] };
    vm.quarantine.receive(report, 0, vm.now);
    vm.now += 1_000;
    vm.send(innocent, "other", "answered");
    vm.now += 500;
    vm.quarantine.receive(
        { ...report, reports: [{ key: innocent, endings: [{ server: "s1", agoMs: 0 }] }] },
        1_400,
        vm.now,
    );
    vm.tick(11_000);
    assert.equal(vm.quarantine.size, 0);
});

test("connections that break at servers which go on are no endings", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 10; i++) {
        vm.send(innocent, `s${i}`);
        vm.now += 500;
        vm.quarantine.recordProbe(`s${i}`, true, vm.now - 1, vm.now);
    }
    vm.tick(5_000);
    assert.equal(vm.admits(innocent), "free");
    assert.equal(vm.quarantine.size, 0);
});

test("a server that answers after it couldn't be reached for a time has not ended", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 3; i++) {
        const server = `s${i}`;
        vm.send(innocent, server);
        vm.quarantine.recordProbe(server, false, vm.now, vm.now + 400);
        vm.now += 500;
        const sentAt = vm.now;
        vm.send(innocent, server);
        vm.quarantine.recordProbe(server, true, sentAt, vm.now);
        vm.quarantine.recordProbe("other", true, vm.now + 1, vm.now + 2);
        vm.now += 1_000;
    }
    assert.equal(vm.quarantine.size, 0);
});

test("an entry VM that reaches no server at all takes none for ended", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 10; i++) {
        vm.send(innocent, `s${i}`);
        vm.now += 400;
        vm.quarantine.recordProbe(`s${i}`, false, vm.now - 300, vm.now);
    }
    assert.equal(vm.admits(innocent), "free");
    assert.equal(vm.quarantine.size, 0);
});

test("a quarantined request is tried once more after a second, and is free when a server answers it", () => {
    const vm = quarantinedAt("a", innocent);
    vm.now += 1_000;
    assert.equal(vm.admits(innocent), "trial");
    assert.ok(vm.quarantine.holdsTrial(innocent));
    assert.equal(vm.admits(innocent), "quarantined", "one trial at a time");
    vm.send(innocent, "other", "answered");
    assert.equal(vm.admits(innocent), "free");
});

test("trials under which servers end become rare: two in the first minute, five in ten", () => {
    const vm = quarantinedAt("a", poison);
    const trials: number[] = [];
    const from = vm.now;
    for (let i = 0; vm.now < from + 599_000; i++) {
        vm.now += 100;
        if (vm.admits(poison) === "trial") {
            trials.push(vm.now - from);
            vm.crash(poison, `t${i}`);
            vm.quarantine.endTrial(poison);
        }
    }
    assert.equal(trials.filter(it => it < 60_000).length, 2);
    assert.ok(trials.length <= 5, trials.join());
});

test("of two entry VMs that claim a trial at the same time one sends the request", () => {
    const [a, b] = [quarantinedAt("a", poison), quarantinedAt("b", poison)];
    for (const vm of [a, b]) {
        vm.now += 1_500;
        assert.equal(vm.quarantine.admit(poison, true, vm.now).kind, "trial");
    }
    a.tick(5).forEach(it => b.quarantine.receive(it, 0, b.now + 5));
    b.tick(5).forEach(it => a.quarantine.receive(it, 0, a.now));
    assert.deepEqual(
        [a, b].map(it => it.quarantine.holdsTrial(poison)),
        [true, false],
    );
});

test("an entry VM that has just started learns of quarantined requests within two intervals, even if it ranks first", () => {
    const holders = ["a", "b", "c"].map(name => quarantinedAt(name, poison));
    for (const starting of holders) {
        const others = holders.filter(it => it !== starting);
        const fresh = new Vm("fresh");
        let heardAfterMs = Infinity;
        for (let ms = 0; ms < 10_000 && heardAfterMs === Infinity; ms += 50) {
            const messages = others.flatMap(it => it.tick(50));
            messages.forEach(message =>
                [fresh, ...others].forEach(it => it.quarantine.receive(message, 0, it.now)),
            );
            heardAfterMs = fresh.quarantine.isQuarantined(poison) ? ms : Infinity;
        }
        assert.ok(heardAfterMs <= 2_200, `${heardAfterMs} ms`);
    }
});

test("an account with many requests under which servers end pushes out none of another account's", () => {
    const vm = quarantinedAt("a", poison);
    const endings = [{ server: "s9", agoMs: 0 }];
    for (let i = 0; i < 3_000; i++) {
        vm.now += 1;
        vm.quarantine.receive({ from: "b", reports: [{ key: `flood.${i}`, endings }] }, 0, vm.now);
    }
    assert.ok(vm.quarantine.size <= 1_000);
    assert.ok(vm.quarantine.isQuarantined(poison));
});

test("a quarantined request is forgotten ten minutes after the last ending", () => {
    const vm = quarantinedAt("a", poison);
    vm.tick(601_000);
    assert.equal(vm.admits(poison), "free");
    assert.equal(vm.quarantine.size, 0);
});

test("entry VMs that forget a request at different times don't remind one another of it", () => {
    const [a, b] = [quarantinedAt("a", poison), quarantinedAt("b", poison)];
    a.now += 500;
    for (let ms = 0; ms < 700_000; ms += 500) {
        a.tick(500).forEach(it => b.quarantine.receive(it, 0, b.now));
        b.tick(500).forEach(it => a.quarantine.receive(it, 0, a.now));
    }
    assert.deepEqual([a.quarantine.size, b.quarantine.size], [0, 0]);
});

test("a quarantined request outlasts others of its own account", () => {
    const vm = quarantinedAt("a", poison);
    const endings = [{ server: "s9", agoMs: 0 }];
    for (let i = 0; i < 3_000; i++) {
        vm.now += 1;
        vm.quarantine.receive({ from: "b", reports: [{ key: `account.${i}`, endings }] }, 0, vm.now);
    }
    assert.ok(vm.quarantine.isQuarantined(poison));
});

test("a request under which servers fall silent is quarantined too", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 3; i++) {
        vm.send(poison, `s${i}`, "abandoned");
        assert.ok(vm.quarantine.isUnclear(`s${i}`, vm.now - 10), "it should be probed");
        vm.learnEnd(`s${i}`);
        vm.now += 500;
    }
    assert.ok(vm.quarantine.isQuarantined(poison));
});

test("a server that has answered something sent later needs no probe after a send is given up", () => {
    const vm = new Vm("a");
    vm.now = 100;
    vm.send(innocent, "s0", "answered");
    vm.quarantine.recordEnd({ key: innocent, server: "s0", sentAt: 50, end: "abandoned" }, vm.now);
    assert.ok(!vm.quarantine.isUnclear("s0", 50));
});

test("messages name at most as many endings and requests as their schema allows", () => {
    const vm = new Vm("a");
    for (let i = 0; i < 30; i++) {
        crashServers(vm, `account.${i}`, maxEndings + 4);
    }
    const messages = vm.tick(1_000);
    assert.ok(messages.length > 1);
    messages.forEach(it => assert.ok(it.reports.length <= maxReportsPerMessage));
    messages.flatMap(it => it.reports).forEach(it => assert.ok(it.endings.length <= maxEndings));
});
