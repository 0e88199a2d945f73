import assert from "node:assert/strict";
import { test } from "node:test";
import { appendCheckpoint } from "../src/checkpoint.js";
import { Checkpointer } from "../src/checkpointer.js";
import { configRequestSchema, configResponseSchema } from "../src/peers.js";
import type { KnownVersion } from "../src/accepted.js";
import { restore } from "../src/restore.js";
import { Fleet, textOf, type FleetNode } from "./builders.js";

const retentionMs = 400_000;
/** Reads back off up to 10 s while the log yields nothing. */
const followMs = 15_000;

const numberOf = (node: FleetNode): number | undefined => node.follower.current?.number;

const numbersOf = (fleet: Fleet): readonly (number | undefined)[] => fleet.nodes.map(numberOf);

const knownBy = ({ follower }: FleetNode): readonly KnownVersion[] =>
    follower.current ? [follower.current] : [];

/** Starts entry VMs that follow three versions, of which the log then loses the third. */
const startWithLoss = async (nodes: number): Promise<Fleet> => {
    const fleet = new Fleet(retentionMs);
    for (let i = 0; i < nodes; i++) {
        fleet.start();
    }
    for (const number of [1, 2, 3]) {
        await fleet.publish(textOf(number), number - 1, `p${number}`);
    }
    fleet.log.restore("config", 2);
    return fleet;
};

const newCheckpointer = (fleet: Fleet, { follower, events }: FleetNode): Checkpointer =>
    new Checkpointer({
        log: fleet.log,
        follower,
        events: event => events.push(event),
        random: () => 0.5,
        retentionMs,
        sleep: fleet.time.sleep,
    });

test("when the log has lost the newest version, entry VMs keep it, report that, and pass it to new ones", async () => {
    const fleet = await startWithLoss(2);
    const joined = fleet.start();
    await fleet.time.advance(followMs);
    assert.deepEqual(numbersOf(fleet), [3, 3, 3]);
    for (const { events, follower } of fleet.nodes) {
        assert.equal(events.filter(it => it.name === "log-shrunk").length, 1);
        assert.equal(follower.status.ready, true);
    }
    assert.equal(joined.follower.current?.publicationId, "p3");
});

test("a publication over a log that has lost a version is refused with the version, and nothing is appended", async () => {
    const fleet = await startWithLoss(1);
    const known = fleet.nodes.flatMap(knownBy);
    for (const base of [2, 3]) {
        const result = await fleet.publish(textOf(4), base, `over ${base}`, { known });
        assert.equal(result.kind === "version lost" && result.lost.number, 3);
    }
    assert.equal((await fleet.log.read("config", 0, 10, 0)).next, 2);
});

test("a version that was replaced by another of the same number is noticed after the log has grown again", async () => {
    const fleet = await startWithLoss(1);
    const known = fleet.nodes.flatMap(knownBy);
    assert.equal((await fleet.publish(textOf(4), 2, "unaware")).kind, "accepted");
    assert.equal((await fleet.publish(textOf(5), 3, "aware", { known })).kind, "version lost");
    assert.equal((await fleet.publish(textOf(6), 3, "unaware 2")).kind, "accepted");
    assert.equal((await fleet.publish(textOf(5), 4, "aware 2", { known })).kind, "version lost");
});

test("a checkpoint beyond the log's end lets a publisher refuse, and a new entry VM without peers serve the version", async () => {
    const fleet = await startWithLoss(1);
    const [node] = fleet.nodes;
    assert.ok(node);
    await fleet.time.advance(followMs);
    await newCheckpointer(fleet, node).check();
    fleet.halt(node);
    const result = await fleet.publish(textOf(4), 2, "over it");
    assert.equal(result.kind === "version lost" && result.lost.number, 3);
    const fresh = fleet.start();
    await fleet.time.advance(followMs);
    assert.equal(numberOf(fresh), 3);
});

test("a restored version replaces the lost one everywhere, also where the log has grown beyond the lost records unseen", async () => {
    const fleet = await startWithLoss(3);
    const [, asleep, behind] = fleet.nodes;
    assert.ok(asleep && behind);
    asleep.link.hangs = true;
    asleep.reachable = false;
    const known = fleet.nodes.flatMap(knownBy);
    const options = { id: "r1", number: 4, grammar: 1, known };
    assert.equal((await restore(fleet.log, textOf(4), options)).kind, "restored");
    for (const number of [5, 6, 7]) {
        assert.equal((await fleet.publish(textOf(number), number - 1, `p${number}`)).kind, "accepted");
    }
    const fresh = fleet.start();
    await fleet.time.advance(followMs);
    assert.deepEqual([numberOf(behind), numberOf(fresh), numberOf(asleep)], [7, 7, 3]);
    fleet.nodes.filter(it => it !== asleep).forEach(it => fleet.halt(it));
    asleep.link.hangs = false;
    await fleet.time.advance(60_000);
    const awake = fleet.start();
    await fleet.time.advance(60_000);
    assert.equal(numberOf(awake), 7);
});

test("neither a checkpoint nor a response from before the restoration reverts it", async () => {
    const fleet = await startWithLoss(1);
    const [old] = fleet.nodes;
    assert.ok(old);
    const stale = old.follower.snapshot()!;
    const known = fleet.nodes.flatMap(knownBy);
    await restore(fleet.log, textOf(4), { id: "r1", number: 4, grammar: 1, known });
    await fleet.publish(textOf(5), 4, "p5");
    await fleet.publish(textOf(6), 5, "p6");
    await fleet.time.advance(followMs);
    await appendCheckpoint(fleet.log, stale, "stale");
    const seen: number[] = [];
    old.follower.changes.subscribe(it => seen.push(it.number));
    old.follower.applyResponse({ head: stale, records: [], snapshot: stale });
    fleet.halt(old);
    const fresh = fleet.start();
    await fleet.time.advance(followMs);
    assert.deepEqual([numberOf(fresh), numberOf(old), seen], [6, 6, []]);
});

test("the version survives two losses in a row", async () => {
    const fleet = await startWithLoss(2);
    const restoreAs = async (number: number): Promise<string> => {
        const known = fleet.nodes.flatMap(knownBy);
        const result = await restore(fleet.log, textOf(number), {
            id: `r${number}`,
            number,
            grammar: 1,
            known,
        });
        await fleet.time.advance(followMs);
        return result.kind;
    };
    assert.equal(await restoreAs(4), "restored");
    await fleet.publish(textOf(5), 4, "p5");
    fleet.log.restore("config", 1);
    fleet.log.restore("config-checkpoints", 0);
    fleet.log.restore("config-restorations", 0);
    await fleet.time.advance(followMs);
    assert.deepEqual(numbersOf(fleet), [5, 5]);
    assert.equal(await restoreAs(6), "restored");
    assert.deepEqual(numbersOf(fleet), [6, 6]);
    assert.equal((await fleet.publish(textOf(7), 6, "p7")).kind, "accepted");
    await fleet.time.advance(1_000);
    assert.deepEqual(numbersOf(fleet), [7, 7]);
});

test("a restoration isn't allowed while the log yields what the entry VMs serve", async () => {
    const fleet = new Fleet();
    fleet.start();
    await fleet.publish(textOf(1), 0, "p1");
    const known = fleet.nodes.flatMap(knownBy);
    const options = { id: "r1", number: 9, grammar: 1, known };
    assert.equal((await restore(fleet.log, textOf(2), options)).kind, "not needed");
});

test("messages of builds without eras are understood as of the first era", () => {
    assert.equal(configRequestSchema.parse({ offset: 3, fresh: false }).era, 0);
    const head = { number: 1, digest: "d", offset: 0, publicationId: "p", grammar: 1, upTo: 1 };
    assert.equal(configResponseSchema.parse({ head, records: [] }).head.era, 0);
});

test("a read that a peer's newer version overtakes isn't taken for a loss of records", async () => {
    const fleet = new Fleet();
    const [ahead, slow] = [fleet.start(), fleet.start()];
    await fleet.publish(textOf(1), 0, "p1");
    const release = slow.link.holdResponses();
    for (const number of [2, 3, 4]) {
        await fleet.publish(textOf(number), number - 1, `p${number}`);
    }
    slow.follower.applyResponse(ahead.follower.respond({ era: 0, offset: -1, fresh: true })!);
    release();
    await fleet.time.advance(followMs);
    assert.equal(numberOf(slow), 4);
    assert.deepEqual(
        slow.events.filter(it => it.name === "log-shrunk"),
        [],
    );
});

test("if the log lost only records after the version in force, entry VMs follow what is published next, without a restoration", async () => {
    const fleet = new Fleet();
    const [awake, asleep] = [fleet.start(), fleet.start()];
    await fleet.publish(textOf(1), 0, "p1");
    for (let i = 0; i < 4; i++) {
        fleet.log.forceAppend("config", "not a publication");
    }
    await fleet.time.advance(1_000);
    asleep.link.hangs = true;
    await fleet.time.advance(20_000);
    fleet.log.restore("config", 2);
    await fleet.time.advance(followMs);
    const known = knownBy(awake);
    assert.equal((await fleet.publish(textOf(2), 1, "p2", { known })).kind, "accepted");
    await fleet.time.advance(followMs);
    assert.equal(numberOf(awake), 2);
    for (const number of [3, 4]) {
        await fleet.publish(textOf(number), number - 1, `p${number}`, { known });
    }
    fleet.halt(awake);
    asleep.link.hangs = false;
    const fresh = fleet.start();
    await fleet.time.advance(followMs);
    await fleet.publish(textOf(5), 4, "p5");
    await fleet.time.advance(followMs);
    assert.deepEqual([numberOf(asleep), numberOf(fresh)], [5, 5]);
});
