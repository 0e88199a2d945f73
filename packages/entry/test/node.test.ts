import assert from "node:assert/strict";
import { test } from "node:test";
import { publish } from "@bramleymoor/config/publisher";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { configTextOf, sharedKey, startNode, startPlatformAndBackend, vmListOf, waitUntil } from "./setup.js";

test("a published configuration is served: addresses, a call, and a repeated non-idempotent call that runs once", async t => {
    const { platform, backend } = await startPlatformAndBackend(t);
    const node1 = await startNode(t, "entry-1", platform);
    const earlyRes = await fetch(`http://${node1.addresses.callers}/v1/addresses/desk`);
    assert.equal(earlyRes.status, 503);
    assert.equal(earlyRes.headers.get("bm-error"), "not-ready");
    await publish(platform, configTextOf(backend), 0, { id: "p1", random: () => 0.5 });
    await node1.waitForEvent("ready");
    const res = await fetch(`http://${node1.addresses.callers}/v1/addresses/desk`);
    const addressResponse = (await res.json()) as AddressResponse;
    assert.deepEqual(addressResponse.addresses, [node1.addresses.callers]);
    const call = await fetch(`http://${addressResponse.addresses[0]}/v1/call/desk/x`);
    assert.equal(call.status, 200);
    await call.text();
    const headers = { "bm-request-id": "o1", "bm-ticket": addressResponse.ticket };
    for (let attempt = 0; attempt < 2; attempt++) {
        const response = await fetch(`http://${node1.addresses.callers}/v1/call/desk/x`, {
            method: "POST",
            headers,
        });
        assert.equal(await response.text(), "ran o1");
    }
    assert.equal(backend.counts.runs["o1"], 1);
});

test("a non-idempotent call sent to another entry VM runs once, at the issuer of its ticket", async t => {
    const { platform, backend } = await startPlatformAndBackend(t);
    const node1 = await startNode(t, "entry-1", platform);
    const node2 = await startNode(t, "entry-2", platform);
    platform.setVms(
        vmListOf([
            ["entry-1", node1],
            ["entry-2", node2],
        ]),
    );
    await publish(platform, configTextOf(backend), 0, { id: "p1", random: () => 0.5 });
    await Promise.all([node1.waitForEvent("ready"), node2.waitForEvent("ready")]);
    await waitUntil(() => node1.node.members.length === 2 && node2.node.members.length === 2);
    const res = await fetch(`http://${node1.addresses.callers}/v1/addresses/desk`);
    const addressResponse = (await res.json()) as AddressResponse;
    const [first = "", second = ""] = addressResponse.addresses;
    assert.notEqual(first, second);
    const headers = { "bm-request-id": "o1", "bm-ticket": addressResponse.ticket };
    for (const address of [second, first, second]) {
        const response = await fetch(`http://${address}/v1/call/desk/x`, { method: "POST", headers });
        assert.equal(await response.text(), "ran o1");
    }
    assert.equal(backend.counts.runs["o1"], 1);
});

test("the operators' and the peers' ports reject requests without the shared key", async t => {
    const { platform } = await startPlatformAndBackend(t);
    const node1 = await startNode(t, "entry-1", platform);
    for (const authorization of ["", "Bearer 0123456789abcdeX"]) {
        const status = await fetch(`http://${node1.addresses.operators}/status`, {
            headers: { authorization },
        });
        assert.equal(status.status, 401);
        const gossip = await fetch(`http://${node1.addresses.peers}/gossip`, {
            method: "POST",
            headers: { authorization },
        });
        assert.equal(gossip.status, 401);
    }
    const shown = await fetch(`http://${node1.addresses.operators}/status`, {
        headers: { authorization: `Bearer ${sharedKey}` },
    });
    assert.equal(shown.status, 200);
    assert.ok(!(await shown.text()).includes(sharedKey));
});
