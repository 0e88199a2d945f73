import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { publish } from "@bramleymoor/config/publisher";
import type { MemoryPlatform } from "@bramleymoor/platform/memory";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import type { Backend } from "@bramleymoor/testkit/backend";
import type { Platform } from "../src/node.js";
import { listOf, stage, startNode, textOf, until, type Started } from "./setup.js";

const options = (id: string) => ({ id, random: () => 0.5 });

/** The platform with its log as it is, and a VM list that stays up. */
const listUp = (platform: MemoryPlatform, list: Platform["list"]): Platform => ({
    append: (stream, data) => platform.append(stream, data),
    read: (stream, from, limit, waitMs, signal) => platform.read(stream, from, limit, waitMs, signal),
    list,
});

interface Pair {
    readonly platform: MemoryPlatform;
    readonly backend: Backend;
    readonly one: Started;
    readonly two: Started;
}

/** Two nodes that know each other and serve version 1. */
const startPair = async (t: TestContext): Promise<Pair> => {
    const { platform, backend } = await stage(t);
    const one = await startNode(t, "entry-1", platform);
    const two = await startNode(t, "entry-2", platform);
    platform.setVms(
        listOf([
            ["entry-1", one],
            ["entry-2", two],
        ]),
    );
    await publish(platform, textOf(backend), 0, options("p1"));
    await Promise.all([one.event("ready"), two.event("ready")]);
    await until(() => one.node.members.length === 2 && two.node.members.length === 2);
    return { platform, backend, one, two };
};

const addressesOf = async (node: Started): Promise<AddressResponse> => {
    const res = await fetch(`http://${node.at.callers}/v1/addresses/desk`);
    assert.equal(res.status, 200);
    return (await res.json()) as AddressResponse;
};

const order = async (address: string, id: string, ticket: string): Promise<string> => {
    const headers = { "bm-request-id": id, "bm-ticket": ticket };
    const res = await fetch(`http://${address}/v1/call/desk/x`, { method: "POST", headers });
    return await res.text();
};

test("while the log is down orders run once, with old and new tickets, and the version stays", async t => {
    const { platform, backend, one, two } = await startPair(t);
    const before = await addressesOf(one);
    platform.setDown(true);
    await Promise.all([one, two].map(node => node.event("config-log-unavailable")));
    const during = await addressesOf(two);
    for (const node of [one, two, one]) {
        assert.equal(await order(node.at.callers, "old", before.ticket), "ran old");
        assert.equal(await order(node.at.callers, "new", during.ticket), "ran new");
    }
    assert.deepEqual(backend.counts.runs, { old: 1, new: 1 });
    assert.deepEqual([before.version, during.version, (await addressesOf(one)).version], [1, 1, 1]);
});

test("when the log is back, a later version is followed and a late copy of the first changes nothing", async t => {
    const { platform, backend, one, two } = await startPair(t);
    const ticket = (await addressesOf(one)).ticket;
    assert.equal(await order(one.at.callers, "o", ticket), "ran o");
    platform.setDown(true);
    await Promise.all([one, two].map(node => node.event("config-log-unavailable")));
    platform.setDown(false);
    const later = `${textOf(backend)}\n[service other]\nserver = ${backend.address} slots=2\n`;
    const published = await publish(platform, later, 1, options("p2"));
    assert.equal(published.kind, "accepted");
    await publish(platform, textOf(backend), 0, options("p1"));
    await Promise.all([one, two].map(node => node.event("config-log-back")));
    for (const node of [one, two]) {
        while ((await addressesOf(node)).version < 2) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        assert.equal(await order(node.at.callers, "o", ticket), "ran o");
        assert.equal((await addressesOf(node)).version, 2);
    }
    assert.deepEqual(backend.counts.runs, { o: 1 });
});

test("a node that starts while the log is down gets the version from its peer", async t => {
    const { platform, backend, one, two } = await startPair(t);
    platform.setDown(true);
    const fresh = await startNode(
        t,
        "entry-3",
        listUp(platform, () =>
            Promise.resolve(
                listOf([
                    ["entry-1", one],
                    ["entry-2", two],
                ]),
            ),
        ),
    );
    await fresh.event("ready");
    const answer = await addressesOf(fresh);
    assert.equal(answer.version, 1);
    assert.equal(await order(fresh.at.callers, "o", answer.ticket), "ran o");
    assert.equal(await order(one.at.callers, "o", answer.ticket), "ran o");
    assert.deepEqual(backend.counts.runs, { o: 1 });
});

test("a node that starts while the log is down and no peer is known serves nothing", async t => {
    const { platform, backend } = await stage(t);
    await publish(platform, textOf(backend), 0, options("p1"));
    platform.setDown(true);
    const alone = await startNode(t, "entry-1", platform);
    await alone.event("config-log-unavailable");
    const res = await fetch(`http://${alone.at.callers}/v1/addresses/desk`);
    assert.equal(res.headers.get("bm-error"), "not-ready");
});
