import assert from "node:assert/strict";
import test from "node:test";
import { PlatformError } from "@bramleymoor/platform/log";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { backoffMs } from "@bramleymoor/platform/timers";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";

test("retention removes the oldest records, and a read starts at the oldest retained one", async () => {
    const time = new VirtualTime();
    const log = new MemoryPlatform({ now: () => time.now(), sleep: time.sleep, retentionMs: 100 });
    await log.append("s", "a");
    await time.advance(60);
    await log.append("s", "b");
    await time.advance(60);
    const batch = await log.read("s", 0, 10, 0);
    assert.deepEqual(batch, { records: [{ offset: 1, data: "b", ageMs: 60 }], first: 1, next: 2 });
    await time.advance(60);
    assert.deepEqual(await log.read("s", 0, 10, 0), { records: [], first: 2, next: 2 });
});

test("a waiting read ends on an append, a timeout or an outage", async () => {
    const time = new VirtualTime();
    const log = new MemoryPlatform({ now: () => time.now(), sleep: time.sleep });
    const first = log.read("s", 0, 10, 1000);
    await log.append("other", "x");
    await log.append("s", "a");
    assert.equal((await first).records.length, 1);
    const second = log.read("s", 1, 10, 1000);
    await time.advance(1000);
    assert.equal((await second).records.length, 0);
    const third = log.read("s", 1, 10, 1000);
    log.setDown(true);
    await assert.rejects(third, PlatformError);
});

test("the VM list is returned with the configured lag", async () => {
    const time = new VirtualTime();
    const platform = new MemoryPlatform({ now: () => time.now(), sleep: time.sleep });
    platform.listLagMs = 50;
    const vm = { id: "a", peerAddress: "", callerAddress: "", region: "r", domain: "d" };
    platform.setVms([{ ...vm, role: "backend", leaving: false }]);
    assert.equal((await platform.list()).length, 0);
    await time.advance(50);
    assert.equal((await platform.list()).length, 1);
});

test("backoff doubles up to its maximum, and jitter keeps at least half of it", () => {
    assert.equal(
        backoffMs(0, 100, 1000, () => 0),
        50,
    );
    assert.equal(
        backoffMs(2, 100, 1000, () => 0.5),
        300,
    );
    assert.equal(
        backoffMs(60, 100, 1000, () => 0),
        500,
    );
});

test("a log that comes back from an older copy gives offsets out again, and a read from beyond its end finds nothing", async () => {
    const time = new VirtualTime();
    const log = new MemoryPlatform({ now: () => time.now(), sleep: time.sleep });
    for (const data of ["a", "b", "c"]) {
        await log.append("s", data);
    }
    log.restore("s", 1);
    assert.deepEqual(await log.read("s", 3, 10, 0), { records: [], first: 0, next: 1 });
    assert.equal(await log.append("s", "d"), 1);
    const { records } = await log.read("s", 0, 10, 0);
    assert.deepEqual(
        records.map(it => it.data),
        ["a", "d"],
    );
});
