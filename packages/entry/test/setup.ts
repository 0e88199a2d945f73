/** Builders for the entry process's tests: nodes on loopback over a platform in memory. */

import type { TestContext } from "node:test";
import { EventLog } from "@bramleymoor/observe/event-log";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { startBackend, type Backend } from "@bramleymoor/testkit/backend";
import { EntryNode, type NodeAddresses, type Platform } from "../src/node.js";
import { parseSettings } from "../src/settings.js";

export const key = "0123456789abcdef";

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

export interface Started {
    readonly node: EntryNode;
    readonly at: NodeAddresses;
    /** Resolves when a line with the event has been written. */
    readonly event: (name: string) => Promise<void>;
}

export const startNode = async (t: TestContext, id: string, platform: Platform): Promise<Started> => {
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

export const listOf = (nodes: readonly (readonly [string, Started])[]) =>
    nodes.map(([id, { at }]) => ({
        id,
        peerAddress: at.peers,
        callerAddress: at.callers,
        region: "default",
        domain: "default",
        role: "entry" as const,
        leaving: false,
    }));

export const textOf = (backend: Backend): string => `[service desk]\nserver = ${backend.address} slots=2\n`;

export const stage = async (t: TestContext) => {
    const platform = new MemoryPlatform({ now: () => performance.now() });
    const backend = await startBackend({});
    t.after(() => backend.close());
    return { platform, backend };
};

/** Waits until `done` says so. */
export const until = async (done: () => boolean): Promise<void> => {
    while (!done()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};
