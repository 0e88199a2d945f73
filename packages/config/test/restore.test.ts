import assert from "node:assert/strict";
import { test } from "node:test";
import { restore } from "../src/restore.js";
import { Fleet, textOf } from "./builders.js";

const options = { id: "r1", number: 10, grammar: 1 };

test("a restored version reaches new entry VMs and those behind the gap, and can be published over", async () => {
    const fleet = new Fleet();
    const behind = fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    behind.link.hangs = true;
    await fleet.time.advance(21_000);
    await fleet.publish(textOf(2), 1, "p2");
    await fleet.publish(textOf(3), 2, "p3");
    fleet.log.expireBefore("config", 3);
    behind.link.hangs = false;
    assert.deepEqual((await restore(fleet.log, textOf(4), options)).kind, "restored");
    const fresh = fleet.start();
    await fleet.time.advance(30_000);
    assert.equal((await fleet.publish(textOf(5), 10, "p11")).kind, "accepted");
    await fleet.time.advance(5000);
    assert.deepEqual(
        [behind, fresh].map(node => node.follower.current?.number),
        [11, 11],
    );
});

test("a restoration is refused while the log yields the version, and for an invalid text", async () => {
    const fleet = new Fleet();
    assert.equal((await restore(fleet.log, textOf(1), options)).kind, "not needed");
    await fleet.publish(textOf(1), 0, "p1");
    assert.equal((await restore(fleet.log, textOf(1), options)).kind, "not needed");
    fleet.log.expireBefore("config", 1);
    assert.equal((await restore(fleet.log, "[service a]\n", options)).kind, "rejected");
});
