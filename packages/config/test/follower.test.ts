import assert from "node:assert/strict";
import { test } from "node:test";
import { appendCheckpoint } from "../src/checkpoint.js";
import { Fleet, textOf, type FleetNode } from "./builders.js";

const numberOf = (node: FleetNode): number | undefined => node.follower.current?.number;

const eventNames = (node: FleetNode): readonly string[] => node.events.map(event => event.name);

test("accepted publications reach every follower, in order", async () => {
    const fleet = new Fleet();
    const [a, b] = [fleet.start(), fleet.start()];
    await fleet.time.advance(1000);
    assert.equal(numberOf(a), undefined);
    const seen: number[] = [];
    b.follower.changes.subscribe(version => seen.push(version.number));
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "accepted");
    assert.equal((await fleet.publish(textOf(1, 2), 1, "p2")).kind, "accepted");
    assert.deepEqual(seen, [1, 2]);
    assert.deepEqual([numberOf(a), numberOf(b)], [2, 2]);
    assert.equal(a.follower.current?.spec.services.size, 2);
    assert.equal(a.follower.current?.publicationId, "p2");
});

test("while the log and the peers are unreachable, a new follower isn't ready and reports why", async () => {
    const fleet = new Fleet();
    const old = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    fleet.log.setDown(true);
    old.reachable = false;
    const fresh = fleet.start();
    await fleet.time.advance(60_000);
    assert.equal(fresh.follower.current, undefined);
    assert.deepEqual(fresh.follower.status.ready, false);
    assert.match(fresh.follower.status.detail, /log can't be read; no version/);
    assert.equal(numberOf(old), 1);
});

test("while the log is down, a new follower gets the newest version from a peer", async () => {
    const fleet = new Fleet();
    const old = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    fleet.log.setDown(true);
    const fresh = fleet.start();
    await fleet.time.advance(1000);
    assert.deepEqual([numberOf(old), numberOf(fresh)], [1, 1]);
    assert.ok(eventNames(fresh).includes("version-from-peer"));
});

test("an entry VM whose calls to the log hang follows through its peers within 4 s", async () => {
    const fleet = new Fleet();
    fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    const cutOff = fleet.start();
    await fleet.time.advance(1000);
    assert.equal(numberOf(cutOff), 1);
    cutOff.link.hangs = true;
    await fleet.time.advance(21_000);
    await fleet.publish(textOf(2), 1, "p2");
    await fleet.time.advance(3900);
    assert.equal(numberOf(cutOff), 2);
});

test("a new follower starts from a checkpoint if the publications have expired", async () => {
    const fleet = new Fleet(10_000);
    const old = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    await fleet.time.advance(9000);
    await appendCheckpoint(fleet.log, old.follower.snapshot()!, "c1");
    fleet.halt(old);
    await fleet.time.advance(5000);
    const fresh = fleet.start();
    await fleet.time.advance(1000);
    assert.equal(numberOf(fresh), 1);
});

test("a new follower prefers a checkpoint to a peer that is behind the gap", async () => {
    const fleet = new Fleet();
    const behind = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    behind.link.hangs = true;
    await fleet.time.advance(21_000);
    behind.reachable = false;
    const old = fleet.start();
    await fleet.publish(textOf(2), 1, "p2");
    await appendCheckpoint(fleet.log, old.follower.snapshot()!, "c1");
    fleet.halt(old);
    fleet.log.expireBefore("config", 2);
    behind.reachable = true;
    assert.equal(numberOf(behind), 1);
    const fresh = fleet.start();
    const served: number[] = [];
    fresh.follower.changes.subscribe(version => served.push(version.number));
    await fleet.time.advance(1000);
    assert.deepEqual(served, [2]);
});

test("a gap that nothing fills is reported, and no version is served", async () => {
    const fleet = new Fleet(10_000);
    const old = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    fleet.halt(old);
    await fleet.time.advance(20_000);
    const fresh = fleet.start();
    await fleet.time.advance(60_000);
    assert.equal(fresh.follower.current, undefined);
    assert.equal(fresh.follower.status.progress, "missing");
    assert.deepEqual(eventNames(fresh), ["records-missing"]);
});

test("neither a stale checkpoint nor a stale response reverts the version", async () => {
    const fleet = new Fleet();
    const node = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    const stale = node.follower.snapshot()!;
    await fleet.publish(textOf(2), 1, "p2");
    await appendCheckpoint(fleet.log, stale, "c1");
    const fresh = fleet.start();
    await fleet.time.advance(1000);
    assert.deepEqual([numberOf(node), numberOf(fresh)], [2, 2]);
    node.follower.applyResponse({ head: stale, records: [], snapshot: stale });
    assert.equal(numberOf(node), 2);
});
