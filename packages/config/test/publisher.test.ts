import assert from "node:assert/strict";
import { test } from "node:test";
import { appendCheckpoint } from "../src/checkpoint.js";
import { Fleet, textOf } from "./builders.js";

test("of two concurrent publications over one base, one is accepted and the other gets the difference", async () => {
    const fleet = new Fleet();
    await fleet.publish(textOf(1), 0, "p1");
    const results = await Promise.all([
        fleet.publish(textOf(1, 1), 1, "left"),
        fleet.publish(textOf(2), 1, "right"),
    ]);
    const lost = results.filter(result => result.kind === "lost");
    assert.equal(results.filter(result => result.kind === "accepted").length, 1);
    assert.equal(lost.length, 1);
    assert.equal(lost[0]!.winner.number, 2);
    assert.deepEqual(
        lost[0]!.difference.set.map(section => section.name),
        lost[0]!.winner.publicationId === "left" ? ["service s0"] : ["service s0", "service s1"],
    );
});

test("after a lost reply, the outcome is found by reading the publication's id back from the log", async () => {
    const fleet = new Fleet();
    fleet.log.loseResponses = 1;
    const result = await fleet.publish(textOf(1), 0, "p1");
    assert.deepEqual([result.kind, result.kind === "accepted" && result.number], ["accepted", 1]);
    assert.equal((await fleet.log.read("config", 0, 10, 0)).next, 1);
});

test("repeating a publication has no second effect", async () => {
    const fleet = new Fleet();
    const node = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "accepted");
    await fleet.publish(textOf(2), 1, "p2");
    const again = await fleet.publish(textOf(1), 0, "p1");
    assert.deepEqual(again.kind === "accepted" && again.number, 1);
    assert.equal(node.follower.current?.number, 2);
});

test("a repeat after a checkpoint is resolved from an earlier checkpoint, or else reported as unknown", async () => {
    const fleet = new Fleet();
    const node = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    await fleet.publish(textOf(2), 1, "p2");
    await appendCheckpoint(fleet.log, node.follower.snapshot()!, "c1");
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "accepted");
    fleet.log.expireBefore("config", 1);
    const again = await fleet.publish(textOf(2), 1, "p2");
    assert.equal(again.kind, "accepted");
    await fleet.publish(textOf(3), 2, "p3");
    await appendCheckpoint(fleet.log, node.follower.snapshot()!, "c2");
    fleet.log.expireBefore("config-checkpoints", 2);
    assert.equal((await fleet.publish(textOf(2), 1, "p2")).kind, "unknown");
    assert.equal((await fleet.publish(textOf(4), 1, "p4", { fresh: true })).kind, "lost");
});

test("an invalid text is rejected with its errors before anything is appended", async () => {
    const fleet = new Fleet();
    const result = await fleet.publish("[service a]\nserver = nowhere\n", 0, "p1");
    assert.equal(result.kind === "rejected" && result.errors[0]?.line, 2);
    assert.equal((await fleet.log.read("config", 0, 10, 0)).next, 0);
});

test("while the log is down, the outcome is unknown", async () => {
    const fleet = new Fleet();
    fleet.log.setDown(true);
    assert.equal((await fleet.publish(textOf(1), 0, "p1")).kind, "unknown");
});
