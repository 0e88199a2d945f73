import assert from "node:assert/strict";
import { spawn, type ChildProcessByStdio } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import type { Readable } from "node:stream";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { ProcessClock } from "../src/processclock.js";

/** Keeps the processor busy for a while. */
const work = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        Math.random();
    }
};

test("a clock of the process goes on while the event loop is busy or idle, and never back", async () => {
    const clock = new ProcessClock();
    const start = clock.now();
    work(20);
    const worked = clock.now() - start;
    await new Promise(resolve => setTimeout(resolve, 50));
    const slept = clock.now() - start - worked;
    assert.ok(worked > 0 && slept >= 25, `${worked}, ${slept}`);
    let last = clock.now();
    for (let i = 0; i < 1_000; i++) {
        const now = clock.now();
        assert.ok(now >= last);
        last = now;
    }
});

/** Returns a processor that this process may use. */
const firstProcessor = (): string =>
    /^Cpus_allowed_list:\s*(\d+)/m.exec(readFileSync("/proc/self/status", "latin1"))?.[1] ?? "0";

// Guards against time-outs that a test takes for the code's though its process was kept from the processor.
test("a clock of the process stands while others have its processor", async t => {
    const main = fileURLToPath(new URL("processclock-main.js", import.meta.url));
    const processor = firstProcessor();
    const spawnThere = (...args: readonly string[]): ChildProcessByStdio<null, Readable, null> =>
        spawn("taskset", ["-c", processor, process.execPath, ...args], {
            stdio: ["ignore", "pipe", "inherit"],
        });
    const busy = Array.from({ length: 3 }, () => spawnThere("-e", "for(;;);"));
    t.after(() => busy.forEach(it => it.kill("SIGKILL")));
    const child = spawnThere(main);
    let output = "";
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
    const [exitCode] = (await once(child, "close")) as [number | undefined];
    assert.equal(exitCode, 0);
    const { passedMs, countedMs } = JSON.parse(output) as Record<"passedMs" | "countedMs", number>;
    assert.ok(passedMs > 600 && countedMs < passedMs / 2, `${countedMs} of ${passedMs} ms`);
});
