import assert from "node:assert/strict";
import { test } from "node:test";
import { publish } from "@bramleymoor/config/publisher";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { key, listOf, stage, startNode, textOf, until } from "./setup.js";

test("a text is published, addresses are answered, a call and an order reach the backend server", async t => {
    const { platform, backend } = await stage(t);
    const one = await startNode(t, "entry-1", platform);
    const early = await fetch(`http://${one.at.callers}/v1/addresses/desk`);
    assert.equal(early.status, 503);
    assert.equal(early.headers.get("bm-error"), "not-ready");
    await publish(platform, textOf(backend), 0, { id: "p1", random: () => 0.5 });
    await one.event("ready");
    const res = await fetch(`http://${one.at.callers}/v1/addresses/desk`);
    const answer = (await res.json()) as AddressResponse;
    assert.deepEqual(answer.addresses, [one.at.callers]);
    const call = await fetch(`http://${answer.addresses[0]}/v1/call/desk/x`);
    assert.equal(call.status, 200);
    await call.text();
    const headers = { "bm-request-id": "o1", "bm-ticket": answer.ticket };
    for (let attempt = 0; attempt < 2; attempt++) {
        const order = await fetch(`http://${one.at.callers}/v1/call/desk/x`, { method: "POST", headers });
        assert.equal(await order.text(), "ran o1");
    }
    assert.equal(backend.counts.runs["o1"], 1);
});

test("an order sent to another entry VM runs at its ticket's issuer", async t => {
    const { platform, backend } = await stage(t);
    const one = await startNode(t, "entry-1", platform);
    const two = await startNode(t, "entry-2", platform);
    platform.setVms(
        listOf([
            ["entry-1", one],
            ["entry-2", two],
        ]),
    );
    await publish(platform, textOf(backend), 0, { id: "p1", random: () => 0.5 });
    await Promise.all([one.event("ready"), two.event("ready")]);
    await until(() => one.node.members.length === 2 && two.node.members.length === 2);
    const res = await fetch(`http://${one.at.callers}/v1/addresses/desk`);
    const answer = (await res.json()) as AddressResponse;
    const [first = "", second = ""] = answer.addresses;
    assert.notEqual(first, second);
    const headers = { "bm-request-id": "o1", "bm-ticket": answer.ticket };
    for (const address of [second, first, second]) {
        const order = await fetch(`http://${address}/v1/call/desk/x`, { method: "POST", headers });
        assert.equal(await order.text(), "ran o1");
    }
    assert.equal(backend.counts.runs["o1"], 1);
});

test("the operators' and the peers' ports refuse without the key", async t => {
    const { platform } = await stage(t);
    const one = await startNode(t, "entry-1", platform);
    for (const authorization of ["", "Bearer 0123456789abcdeX"]) {
        const status = await fetch(`http://${one.at.operators}/status`, { headers: { authorization } });
        assert.equal(status.status, 401);
        const gossip = await fetch(`http://${one.at.peers}/gossip`, {
            method: "POST",
            headers: { authorization },
        });
        assert.equal(gossip.status, 401);
    }
    const shown = await fetch(`http://${one.at.operators}/status`, {
        headers: { authorization: `Bearer ${key}` },
    });
    assert.equal(shown.status, 200);
    assert.ok(!(await shown.text()).includes(key));
});
