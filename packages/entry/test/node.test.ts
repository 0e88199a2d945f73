import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { publish } from "@bramleymoor/config/publisher";
import { EventLog } from "@bramleymoor/observe/events";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import type { AddressAnswer } from "@bramleymoor/protocol/answer";
import { startBackend, type Backend } from "@bramleymoor/testkit/backend";
import { EntryNode, type NodeAddresses } from "../src/node.js";
import { parseSettings } from "../src/settings.js";

const key = "0123456789abcdef";

const settingsOf = (id: string) =>
    parseSettings(
        [
            "[entry]",
            `id = ${id}`,
            "[ports]",
            "callers = 127.0.0.1:0",
            "operators = 127.0.0.1:0",
            "peers = 127.0.0.1:0",
            "[peers]",
            `key = ${key}`,
            "[callers]",
            "ttl-ms = 100",
        ].join("\n"),
        `${id}.ini`,
    );

interface Started {
    readonly node: EntryNode;
    readonly at: NodeAddresses;
    /** Resolves when a line with the event has been written. */
    readonly event: (name: string) => Promise<void>;
}

const startNode = async (t: TestContext, id: string, platform: MemoryPlatform): Promise<Started> => {
    const lines: string[] = [];
    const waiting: (() => void)[] = [];
    const write = (line: string): void => {
        lines.push(line);
        waiting.splice(0).forEach(wake => wake());
    };
    const clock = (): number => 0;
    const events = new EventLog({ source: id, format: "json", level: "debug", write, clock });
    const node = new EntryNode(settingsOf(id), platform, events);
    const at = await node.start();
    t.after(() => node.stop("test"));
    const event = async (name: string): Promise<void> => {
        while (!lines.some(line => line.includes(`"name":"${name}"`))) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
    };
    return { node, at, event };
};

const listOf = (nodes: readonly (readonly [string, Started])[]) =>
    nodes.map(([id, { at }]) => ({
        id,
        peerAddress: at.peers,
        callerAddress: at.callers,
        region: "default",
        domain: "default",
        role: "entry" as const,
        leaving: false,
    }));

const textOf = (backend: Backend): string => `[service desk]\nserver = ${backend.address} slots=2\n`;

const stage = async (t: TestContext) => {
    const platform = new MemoryPlatform({ now: () => performance.now() });
    const backend = await startBackend({});
    t.after(() => backend.close());
    return { platform, backend };
};

test("a text is published, addresses are answered, a call and an order reach the backend server", async t => {
    const { platform, backend } = await stage(t);
    const one = await startNode(t, "entry-1", platform);
    const early = await fetch(`http://${one.at.callers}/v1/addresses/desk`);
    assert.equal(early.status, 503);
    assert.equal(early.headers.get("bm-error"), "not-ready");
    await publish(platform, textOf(backend), 0, { id: "p1", random: () => 0.5 });
    await one.event("ready");
    const res = await fetch(`http://${one.at.callers}/v1/addresses/desk`);
    const answer = (await res.json()) as AddressAnswer;
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
    while (one.node.members.length < 2 || two.node.members.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    const res = await fetch(`http://${one.at.callers}/v1/addresses/desk`);
    const answer = (await res.json()) as AddressAnswer;
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
