/** Helpers for the tests of the entry process: nodes on the loopback interface with an in-memory platform. */

import type { TestContext } from "node:test";
import { EventLog } from "@bramleymoor/observe/event-log";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { startFakeBackend, type FakeBackend } from "@bramleymoor/testkit/backend";
import { EntryNode, type NodeAddresses, type Platform } from "../src/node.js";
import { parseSettings } from "../src/settings.js";

export const sharedKey = "0123456789abcdef";

const createSettings = (id: string) =>
    parseSettings(
        [
            "[entry]",
            `id = ${id}`,
            "[ports]",
            "callers = 127.0.0.1:0",
            "operators = 127.0.0.1:0",
            "peers = 127.0.0.1:0",
            "[peers]",
            `key = ${sharedKey}`,
            "[callers]",
            "ttl-ms = 100",
        ].join("\n"),
        `${id}.ini`,
    );

export interface StartedNode {
    readonly node: EntryNode;
    readonly addresses: NodeAddresses;
    /** Resolves when the node has logged the event. */
    readonly waitForEvent: (name: string) => Promise<void>;
}

export const startNode = async (t: TestContext, id: string, platform: Platform): Promise<StartedNode> => {
    const lines: string[] = [];
    const waiters: (() => void)[] = [];
    const write = (line: string): void => {
        lines.push(line);
        waiters.splice(0).forEach(wake => wake());
    };
    const clock = (): number => 0;
    const events = new EventLog({ source: id, format: "json", level: "debug", write, clock });
    const node = new EntryNode(createSettings(id), platform, events);
    const addresses = await node.start();
    t.after(() => node.stop("test"));
    const waitForEvent = async (name: string): Promise<void> => {
        while (!lines.some(line => line.includes(`"name":"${name}"`))) {
            await new Promise<void>(resolve => waiters.push(resolve));
        }
    };
    return { node, addresses, waitForEvent };
};

export const vmListOf = (nodes: readonly (readonly [string, StartedNode])[]) =>
    nodes.map(([id, { addresses }]) => ({
        id,
        peerAddress: addresses.peers,
        callerAddress: addresses.callers,
        region: "default",
        domain: "default",
        role: "entry" as const,
        leaving: false,
    }));

export const configTextOf = (backend: FakeBackend): string =>
    `[service desk]\nserver = ${backend.address} slots=2\n`;

export const startPlatformAndBackend = async (t: TestContext) => {
    const platform = new MemoryPlatform({ now: () => performance.now() });
    const backend = await startFakeBackend({});
    t.after(() => backend.close());
    return { platform, backend };
};

/** Polls until `done` returns true. */
export const waitUntil = async (done: () => boolean): Promise<void> => {
    while (!done()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};
