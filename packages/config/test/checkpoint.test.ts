import assert from "node:assert/strict";
import { test } from "node:test";
import {
    appendCheckpoint,
    checkpointStream,
    parseCheckpointEnd,
    readCheckpoints,
} from "../src/checkpoint.js";
import { Checkpointer } from "../src/checkpointer.js";
import type { ConfigEvent } from "../src/events.js";
import { emptyVersion } from "../src/version.js";
import { snapshotOf, type Snapshot } from "../src/snapshot.js";
import { Fleet, textOf, type FleetNode } from "./builders.js";

const retentionMs = 400_000;

const newCheckpointer = (fleet: Fleet, node: FleetNode, random: () => number): Checkpointer =>
    new Checkpointer({
        log: fleet.log,
        follower: node.follower,
        events: event => node.events.push(event),
        random,
        retentionMs,
        sleep: fleet.time.sleep,
    });

const countCheckpoints = async (fleet: Fleet): Promise<number> => {
    const { records } = await fleet.log.read(checkpointStream, 0, 1000, 0);
    return records.filter(record => parseCheckpointEnd(record.data)).length;
};

const completeCheckpoints = async (fleet: Fleet): Promise<readonly Snapshot[]> => {
    const found: Snapshot[] = [];
    await readCheckpoints(fleet.log, snapshot => found.push(snapshot) < 0);
    return found;
};

test("a large checkpoint is written in parts and reassembled, even if its parts alternate with another's", async () => {
    const fleet = new Fleet();
    const text = "x".repeat(300_000);
    const left = { ...snapshotOf(emptyVersion, 0), text };
    const right = { ...left, text: `${text}y` };
    await Promise.all([
        appendCheckpoint(fleet.log, left, "left"),
        appendCheckpoint(fleet.log, right, "right"),
    ]);
    assert.deepEqual(
        (await completeCheckpoints(fleet)).map(snapshot => snapshot.text.length).toSorted(),
        [300_000, 300_001],
    );
});

test("a checkpoint without its end record, or without a part, is ignored", async () => {
    const fleet = new Fleet();
    await fleet.log.append(checkpointStream, JSON.stringify({ part: 0, id: "a", data: "x" }));
    const head = snapshotOf(emptyVersion, 0);
    await fleet.log.append(checkpointStream, JSON.stringify({ parts: 2, id: "b", head }));
    await fleet.log.append(checkpointStream, "not JSON");
    assert.deepEqual(await completeCheckpoints(fleet), []);
});

test("checkpoints outlast the retention time, and usually only one entry VM appends when one is due", async () => {
    const fleet = new Fleet(retentionMs);
    const nodes = [0.1, 0.37, 0.61, 0.83].map(seed => {
        const node = fleet.start();
        const events: ConfigEvent[] = [];
        let state = seed;
        void newCheckpointer(fleet, node, () => (state = (state * 7.31 + 0.17) % 1)).run(node.stop.signal);
        return { ...node, events };
    });
    await fleet.publish(textOf(1), 0, "p1");
    await fleet.time.advance(10 * retentionMs);
    const appended = (await fleet.log.read(checkpointStream, 0, 1, 0)).next / 2;
    assert.ok(appended >= 30 && appended <= 44, `${appended} checkpoints in 10 retention times`);
    nodes.forEach(node => node.stop.abort());
    await fleet.time.advance(retentionMs / 2);
    fleet.nodes.length = 0;
    const fresh = fleet.start();
    await fleet.time.advance(1000);
    assert.equal(fresh.follower.current?.number, 1);
});

test("before the first publication, a checkpoint of the empty version covers skipped records", async () => {
    const fleet = new Fleet();
    fleet.log.forceAppend("config", "{");
    const node = fleet.start();
    await fleet.time.advance(1000);
    await newCheckpointer(fleet, node, () => 0.5).check();
    fleet.halt(node);
    fleet.log.expireBefore("config", 1);
    const fresh = fleet.start();
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "accepted");
    await fleet.time.advance(1000);
    assert.equal(fresh.follower.current?.number, 1);
});

test("a stale checkpoint at the end is followed by a current one before the records after it expire", async () => {
    const fleet = new Fleet(retentionMs);
    const node = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    const stale = node.follower.snapshot()!;
    await fleet.publish(textOf(2), 1, "p2");
    await fleet.time.advance(retentionMs / 2);
    await appendCheckpoint(fleet.log, stale, "stale");
    await newCheckpointer(fleet, node, () => 0.5).check();
    assert.equal(await countCheckpoints(fleet), 2);
    await newCheckpointer(fleet, node, () => 0.5).check();
    assert.equal(await countCheckpoints(fleet), 2);
    await fleet.time.advance(retentionMs * 0.6);
    fleet.halt(node);
    const fresh = fleet.start();
    await fleet.time.advance(1000);
    assert.equal(fresh.follower.current?.number, 2);
});

test("a checkpoint that contradicts the log is reported and followed by a correct one", async () => {
    const fleet = new Fleet(retentionMs);
    const node = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    await appendCheckpoint(
        fleet.log,
        { ...node.follower.snapshot()!, digest: emptyVersion.digest },
        "forged",
    );
    await newCheckpointer(fleet, node, () => 0.5).check();
    assert.deepEqual(node.events.at(-2)?.name, "version-conflict");
    assert.equal(await countCheckpoints(fleet), 2);
});
