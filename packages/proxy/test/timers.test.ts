import assert from "node:assert/strict";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { startTimeout, TimerSet } from "../src/timers.js";

const timeoutMs = 30;
const clock = (): number => performance.now();

const pause = (ms: number): void => {
    for (const end = clock() + ms; clock() < end;) {
        // The event loop doesn't run.
    }
};

/** Returns the two ends of a connection. */
const connectedSockets = async (t: TestContext): Promise<readonly [Socket, Socket]> => {
    const server = createServer();
    const accepted = new Promise<Socket>(resolve => server.on("connection", resolve));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const ends = [await accepted, client] as const;
    t.after(() => {
        ends.forEach(it => it.destroy());
        server.close();
    });
    return ends;
};

/** Returns what happens first if a response arrives in time, but this process is paused until after the timeout. */
const firstAfterPause = async (
    t: TestContext,
    start: (onDue: () => void) => unknown,
): Promise<"response" | "timeout"> => {
    const [server, client] = await connectedSockets(t);
    return new Promise(resolve => {
        client.on("data", () => resolve("response"));
        start(() => resolve("timeout"));
        setImmediate(() => {
            server.write("response");
            pause(2 * timeoutMs);
        });
    });
};

test("a response that arrived while the process was paused is read before its timeout counts", async t => {
    assert.equal(await firstAfterPause(t, onDue => startTimeout(timeoutMs, onDue)), "response");
    const timers = new TimerSet(clock, 5);
    const scheduled = await firstAfterPause(t, onDue => timers.schedule(clock() + timeoutMs, onDue));
    assert.equal(scheduled, "response");
});

test("a timer that is cancelled or rescheduled while pending input is read doesn't run", async () => {
    const timers = new TimerSet(clock, 1);
    const ran: string[] = [];
    const cancelled = timers.schedule(clock(), () => ran.push("cancelled"));
    const rescheduled = timers.schedule(clock(), () => ran.push("rescheduled"));
    const last = timers.schedule(clock(), () => ran.push("last"));
    timers.cancel(cancelled);
    rescheduled.dueAt = Infinity;
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.deepEqual(ran, ["last"]);
    timers.cancel(rescheduled);
    timers.cancel(last);
});

// Guards against a process that wakes up all the time because requests are in flight, which costs more than the requests.
test("a timer that isn't due yet wakes the process neither before it is due nor once it is cancelled", async () => {
    let clockReads = 0;
    const timers = new TimerSet(() => {
        clockReads++;
        return clock();
    }, 1);
    const scheduled = clock();
    const ranAt = new Promise<number>(resolve => timers.schedule(scheduled + 100, () => resolve(clock())));
    const cancelled = timers.schedule(scheduled + 50, () => undefined);
    timers.cancel(cancelled);
    const late = (await ranAt) - scheduled - 100;
    assert.ok(late >= 0 && late < 80, `${late} ms late`);
    assert.ok(clockReads <= 10, `${clockReads} reads of the clock`);
});

test("timers run when they are due in whatever order they are scheduled, and when they are rescheduled", async () => {
    const timers = new TimerSet(clock, 1);
    const ran: string[] = [];
    const start = clock();
    const rescheduled = timers.schedule(Infinity, () => ran.push("rescheduled"));
    const postponed = timers.schedule(start + 20, () => ran.push("postponed"));
    timers.schedule(start + 90, () => ran.push("third"));
    timers.schedule(start + 30, () => ran.push("first"));
    rescheduled.dueAt = start + 60;
    postponed.dueAt = start + 120;
    await new Promise(resolve => setTimeout(resolve, 250));
    assert.deepEqual(ran, ["first", "rescheduled", "third", "postponed"]);
});

test("a timer that is due after years waits, and others run beside it", async () => {
    const timers = new TimerSet(clock, 1);
    const ran: string[] = [];
    const never = timers.schedule(clock() + 1e13, () => ran.push("years"));
    await new Promise(resolve => setTimeout(resolve, 30));
    timers.schedule(clock() + 10, () => ran.push("soon"));
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.deepEqual(ran, ["soon"]);
    timers.cancel(never);
});
