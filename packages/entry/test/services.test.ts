import assert from "node:assert/strict";
import { test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { AcceptedVersion } from "@bramleymoor/config/version";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { parseConfig } from "@bramleymoor/model/parser";
import type { EntryVm } from "@bramleymoor/model/vm";
import { probeDefaults } from "@bramleymoor/probing/budget";
import { ServiceTable } from "../src/services.js";

const vmNamed = (i: number): EntryVm => ({
    id: `entry-${i}`,
    incarnation: `i${i}`,
    place: { region: "r", domain: "d" },
    callerAddress: `127.0.0.1:${1_000 + i}`,
    peerAddress: `127.0.0.1:${2_000 + i}`,
    state: "alive",
    load: 0,
});

const vms = Array.from({ length: 19 }, (_, i) => vmNamed(i));

const createTable = (): ServiceTable =>
    new ServiceTable({
        self: () => vmNamed(0),
        ttlMs: 1_000,
        hostedServiceOptions: {
            probing: { ...probeDefaults, ordinal: 0, ordinalCount: 19 },
            random: new SeededRandom(1),
            sendToDispatcher: () => undefined,
        },
        random: new SeededRandom(1),
        clock: () => 0,
        issueTicket: () => "t",
        queryPeer: () => Promise.resolve(undefined),
        weightOf: () => 1,
        isStopping: () => false,
    });

const serviceNames = (round: number): readonly string[] =>
    Array.from({ length: 1_000 }, (_, i) => `service-${round}-${i}`);

const versionOf = (number: number, names: readonly string[]): AcceptedVersion => {
    const text = ["keeper", ...names]
        .map(name => `[service ${name}]\nserver = 192.0.2.1:80 slots=1\n`)
        .join("");
    const parsed = parseConfig(text);
    assert.ok(parsed.ok);
    return { number, digest: "d", spec: parsed.spec } as AcceptedVersion;
};

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const heapBytes = (): number => {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

test("after a thousand services are published and removed, their placements and memory are gone", () => {
    const table = createTable();
    table.setMembers(vms, 0);
    const publishAndRemove = (round: number): void => {
        const names = serviceNames(round);
        table.setAccepted(versionOf(2 * round, names), 0);
        assert.ok(names.every(name => table.dispatcherAddress(name, 0) !== undefined));
        names.forEach(name => table.recordPeerRate(name, "entry-1", 5, 0));
        table.setAccepted(versionOf(2 * round + 1, []), 0);
        names.forEach(name => table.recordPeerRate(name, "entry-1", 5, 0));
        const remaining = names.filter(name => table.dispatcherAddress(name, 0) !== undefined);
        assert.deepEqual([remaining.length, table.hosted.length <= 1], [0, true]);
    };
    publishAndRemove(0);
    const before = heapBytes();
    for (let round = 1; round <= 20; round++) {
        publishAndRemove(round);
    }
    const grown = heapBytes() - before;
    assert.ok(grown < maxGrownBytes, `${grown} bytes`);
});

/** Less than half of what 20,000 placements take. */
const maxGrownBytes = 1_000_000;
