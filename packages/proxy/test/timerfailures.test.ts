import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";

const module = new URL("../src/timers.js", import.meta.url).href;

/** Runs a program in a process of its own; returns what it printed, and after how many milliseconds it ended. */
const run = async (program: string): Promise<{ readonly text: string; readonly ms: number }> => {
    const startedAt = performance.now();
    const child = spawn(process.execPath, ["--input-type=module", "-e", program], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    let text = "";
    child.stdout.on("data", chunk => (text += String(chunk)));
    const kill = setTimeout(() => child.kill("SIGKILL"), 3_000);
    await once(child, "close");
    clearTimeout(kill);
    return { text, ms: performance.now() - startedAt };
};

test("timers run though the callback of another one has thrown", async () => {
    const { text } = await run(`
        import { TimerSet } from "${module}";
        process.on("unhandledRejection", () => undefined);
        const timers = new TimerSet(() => performance.now(), 5);
        timers.schedule(performance.now() + 10, () => { throw new Error("x"); });
        timers.schedule(performance.now() + 50, () => console.log("ran"));
        setTimeout(() => undefined, 500);
    `);
    assert.equal(text.trim(), "ran");
});

test("a cancelled timer that is rescheduled doesn't keep the process alive", async () => {
    const { ms } = await run(`
        import { TimerSet } from "${module}";
        const timers = new TimerSet(() => performance.now(), 5);
        const timer = timers.schedule(performance.now() + 10, () => undefined);
        timers.cancel(timer);
        timer.dueAt = performance.now() + 30_000;
    `);
    assert.ok(ms < 2_000, `${ms} ms`);
});
