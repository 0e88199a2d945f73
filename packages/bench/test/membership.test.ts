import assert from "node:assert/strict";
import { test } from "node:test";
import { GossipNet, peerAddressOf, type GossipNode } from "../src/gossipnet.js";

const aliveIncarnations = (node: GossipNode): readonly string[] => {
    return node.membership.current.filter(vm => vm.state === "alive").map(vm => vm.incarnation);
};

const assertViewsAgree = (net: GossipNet): void => {
    const all = net.running.map(node => node.vm.incarnation).sort();
    for (const node of net.running) {
        assert.deepEqual([...aliveIncarnations(node)].sort(), all, `${node.vm.id} at ${net.now}`);
    }
};

test("19 entry VMs find each other through two seeds", async () => {
    const net = new GossipNet(1);
    net.startAll(19);
    await net.run(10_000);
    assertViewsAgree(net);
});

test("a killed entry VM is removed from every view, and its record is deleted later", async () => {
    const net = new GossipNet(2, undefined, { forgetAfterMs: 60_000 });
    net.startAll(19);
    await net.run(10_000);
    net.nodes[5]!.up = false;
    await net.run(20_000);
    assertViewsAgree(net);
    await net.run(80_000);
    assert.ok(net.running.every(node => node.membership.size === 18));
});

test("a broken path between two entry VMs raises no suspicion, thanks to indirect pings", async () => {
    const net = new GossipNet(3);
    net.startAll(19);
    await net.run(10_000);
    net.partition((from, to) => from === net.nodes[3] && to === net.nodes[4]);
    for (let second = 0; second < 120; second++) {
        await net.run(1000);
        assertViewsAgree(net);
    }
});

test("a region isolated for minutes is declared dead once, and rejoins once", async () => {
    const net = new GossipNet(4);
    net.startAll(21);
    await net.run(10_000);
    const watcher = net.nodes[0]!;
    const states: string[] = [];
    const other = net.nodes.find(node => node.vm.place.region !== watcher.vm.place.region)!;
    watcher.membership.members.subscribe(vms => {
        const state = vms.find(vm => vm.id === other.vm.id)?.state ?? "gone";
        if (state !== states.at(-1)) {
            states.push(state);
        }
    });
    net.partition((from, to) => (from.vm.place.region === "r0") !== (to.vm.place.region === "r0"));
    await net.run(300_000);
    net.heal();
    await net.run(60_000);
    assertViewsAgree(net);
    assert.deepEqual(states, ["alive", "suspect", "gone", "alive"]);
});

test("during a rolling replacement every view converges after each step", async () => {
    const net = new GossipNet(5);
    net.startAll(15);
    await net.run(10_000);
    for (let index = 0; index < 15; index++) {
        net.nodes[index]!.membership.leave(net.now);
        await net.run(3000);
        net.nodes[index]!.up = false;
        net.start(index, [peerAddressOf((index + 1) % 15)]);
        await net.run(5000);
        assertViewsAgree(net);
    }
});

test("a process that resumes after a pause refutes its death", async () => {
    const net = new GossipNet(6);
    net.startAll(15);
    await net.run(10_000);
    net.nodes[4]!.paused = true;
    await net.run(60_000);
    assertViewsAgree(net);
    net.nodes[4]!.paused = false;
    await net.run(20_000);
    assertViewsAgree(net);
    assert.ok(net.nodes[4]!.membership.counts.refutations >= 1);
    assert.ok(net.nodes[4]!.membership.counts.deaths === 0);
});

test("a process that resumes after it was replaced yields to its replacement", async () => {
    const net = new GossipNet(7);
    net.startAll(15);
    await net.run(10_000);
    const old = net.nodes[4]!;
    old.paused = true;
    await net.run(30_000);
    net.start(4, [peerAddressOf(0)]);
    await net.run(20_000);
    old.paused = false;
    await net.run(30_000);
    assert.ok(old.membership.replaced);
    for (const node of net.running) {
        assert.ok(
            aliveIncarnations(node).includes("run000016") && !aliveIncarnations(node).includes("run000005"),
            node.vm.id,
        );
    }
});

test("a restart with a clock far behind still outranks the earlier incarnation", async () => {
    const net = new GossipNet(8);
    net.startAll(15);
    await net.run(1_000_000);
    net.nodes[4]!.up = false;
    net.start(4, [peerAddressOf(0)], -1_900_000);
    await net.run(20_000);
    assertViewsAgree(net);
});

test("the VM list of the platform provides first contacts, and marks an entry VM as leaving", async () => {
    const net = new GossipNet(9);
    const first = net.start(0, []);
    net.start(1, []);
    await net.run(5000);
    assert.equal(first.membership.current.length, 1);
    first.membership.updateVmList(
        [{ id: "vm-0001", peerAddress: peerAddressOf(1), leaving: false }],
        net.now,
    );
    await net.run(5000);
    assertViewsAgree(net);
    first.membership.updateVmList([{ id: "vm-0001", peerAddress: peerAddressOf(1), leaving: true }], net.now);
    assert.equal(first.membership.current[1]?.state, "leaving");
});

test("entry VMs that start together find all listed peers within a second", async () => {
    const net = new GossipNet(10);
    const listed = [0, 1, 2, 3].map(index => ({
        id: `vm-000${index}`,
        peerAddress: peerAddressOf(index),
        leaving: false,
    }));
    listed.forEach((_, index) => net.start(index, []));
    await net.run(10);
    net.nodes.forEach(node => node.membership.updateVmList(listed, net.now));
    await net.run(1000);
    assertViewsAgree(net);
});

test("64 entry VMs that start at once find each other through two seeds within 20 s", async () => {
    const net = new GossipNet(11);
    net.startAll(64);
    await net.run(20_000);
    assertViewsAgree(net);
});

test("200 entry VMs that start at once find each other within the 4 s after which they have to be in touch", async () => {
    const net = new GossipNet(12, undefined, { periodMs: 300, pingTimeoutMs: 250 });
    net.startAll(200);
    await net.run(4_000);
    const known = net.nodes.map(it => it.membership.current.length);
    assert.equal(Math.min(...known), 200, "members that the entry VM knows that knows fewest");
});
