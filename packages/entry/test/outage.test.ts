import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { publish } from "@bramleymoor/config/publisher";
import type { MemoryPlatform } from "@bramleymoor/platform/memory";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import type { FakeBackend } from "@bramleymoor/testkit/backend";
import type { Platform } from "../src/node.js";
import {
    configTextOf,
    startNode,
    startPlatformAndBackend,
    vmListOf,
    waitUntil,
    type StartedNode,
} from "./setup.js";

const publishOptions = (id: string) => ({ id, random: () => 0.5 });

/** Returns the platform with a VM list of its own, which stays available while the platform is down. */
const withVmList = (platform: MemoryPlatform, list: Platform["list"]): Platform => ({
    append: (stream, data) => platform.append(stream, data),
    read: (stream, from, limit, waitMs, signal) => platform.read(stream, from, limit, waitMs, signal),
    list,
});

interface NodePair {
    readonly platform: MemoryPlatform;
    readonly backend: FakeBackend;
    readonly node1: StartedNode;
    readonly node2: StartedNode;
}

/** Starts a pair of nodes that know each other and serve version 1. */
const startPair = async (t: TestContext): Promise<NodePair> => {
    const { platform, backend } = await startPlatformAndBackend(t);
    const node1 = await startNode(t, "entry-1", platform);
    const node2 = await startNode(t, "entry-2", platform);
    platform.setVms(
        vmListOf([
            ["entry-1", node1],
            ["entry-2", node2],
        ]),
    );
    await publish(platform, configTextOf(backend), 0, publishOptions("p1"));
    await Promise.all([node1.waitForEvent("ready"), node2.waitForEvent("ready")]);
    await waitUntil(() => node1.node.members.length === 2 && node2.node.members.length === 2);
    return { platform, backend, node1, node2 };
};

const fetchAddresses = async (node: StartedNode): Promise<AddressResponse> => {
    const res = await fetch(`http://${node.addresses.callers}/v1/addresses/desk`);
    assert.equal(res.status, 200);
    return (await res.json()) as AddressResponse;
};

const sendNonIdempotent = async (address: string, id: string, ticket: string): Promise<string> => {
    const headers = { "bm-request-id": id, "bm-ticket": ticket };
    const res = await fetch(`http://${address}/v1/call/desk/x`, { method: "POST", headers });
    return await res.text();
};

test("while the log is down, non-idempotent calls run once with old and new tickets, and the version stays", async t => {
    const { platform, backend, node1, node2 } = await startPair(t);
    const before = await fetchAddresses(node1);
    platform.setDown(true);
    await Promise.all([node1, node2].map(node => node.waitForEvent("config-log-unavailable")));
    const during = await fetchAddresses(node2);
    for (const node of [node1, node2, node1]) {
        assert.equal(await sendNonIdempotent(node.addresses.callers, "old", before.ticket), "ran old");
        assert.equal(await sendNonIdempotent(node.addresses.callers, "new", during.ticket), "ran new");
    }
    assert.deepEqual(backend.counts.runs, { old: 1, new: 1 });
    assert.deepEqual([before.version, during.version, (await fetchAddresses(node1)).version], [1, 1, 1]);
});

test("when the log is back, a later version is applied and a late copy of the first publication changes nothing", async t => {
    const { platform, backend, node1, node2 } = await startPair(t);
    const ticket = (await fetchAddresses(node1)).ticket;
    assert.equal(await sendNonIdempotent(node1.addresses.callers, "o", ticket), "ran o");
    platform.setDown(true);
    await Promise.all([node1, node2].map(node => node.waitForEvent("config-log-unavailable")));
    platform.setDown(false);
    const later = `${configTextOf(backend)}\n[service other]\nserver = ${backend.address} slots=2\n`;
    const published = await publish(platform, later, 1, publishOptions("p2"));
    assert.equal(published.kind, "accepted");
    await publish(platform, configTextOf(backend), 0, publishOptions("p1"));
    await Promise.all([node1, node2].map(node => node.waitForEvent("config-log-back")));
    for (const node of [node1, node2]) {
        while ((await fetchAddresses(node)).version < 2) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        assert.equal(await sendNonIdempotent(node.addresses.callers, "o", ticket), "ran o");
        assert.equal((await fetchAddresses(node)).version, 2);
    }
    assert.deepEqual(backend.counts.runs, { o: 1 });
});

test("a node that starts while the log is down gets the version from a peer", async t => {
    const { platform, backend, node1, node2 } = await startPair(t);
    platform.setDown(true);
    const node3 = await startNode(
        t,
        "entry-3",
        withVmList(platform, () =>
            Promise.resolve(
                vmListOf([
                    ["entry-1", node1],
                    ["entry-2", node2],
                ]),
            ),
        ),
    );
    await node3.waitForEvent("ready");
    const addressResponse = await fetchAddresses(node3);
    assert.equal(addressResponse.version, 1);
    assert.equal(await sendNonIdempotent(node3.addresses.callers, "o", addressResponse.ticket), "ran o");
    assert.equal(await sendNonIdempotent(node1.addresses.callers, "o", addressResponse.ticket), "ran o");
    assert.deepEqual(backend.counts.runs, { o: 1 });
});

test("a node that starts while the log is down and knows no peer responds with not-ready", async t => {
    const { platform, backend } = await startPlatformAndBackend(t);
    await publish(platform, configTextOf(backend), 0, publishOptions("p1"));
    platform.setDown(true);
    const node1 = await startNode(t, "entry-1", platform);
    await node1.waitForEvent("config-log-unavailable");
    const res = await fetch(`http://${node1.addresses.callers}/v1/addresses/desk`);
    assert.equal(res.headers.get("bm-error"), "not-ready");
});
