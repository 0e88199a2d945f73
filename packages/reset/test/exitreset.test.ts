import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { LingerReset } from "../src/exitreset.js";
import { LingerError, type SetLinger } from "../src/linger.js";

/** Opens a connection, and returns both ends. */
const openConnection = async (t: TestContext): Promise<{ readonly own: Socket; readonly other: Socket }> => {
    const server = createServer({ allowHalfOpen: true });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const other = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const [own] = (await once(server, "connection")) as [Socket];
    t.after(() => [own, other].forEach(it => it.destroy()));
    return { own, other };
};

/** Resolves to how a connection ends at the other side. */
const endOf = async (socket: Socket): Promise<"closed" | "reset"> => {
    socket.resume();
    return await new Promise(resolve => {
        socket.once("error", () => resolve("reset"));
        socket.once("close", () => resolve("closed"));
    });
};

const failOn = (reason: string): void => assert.fail(reason);

for (const armed of [true, false]) {
    test(`a connection that is ${armed ? "armed" : "disarmed again"} and closed is ${armed ? "reset" : "ended in order"}`, async t => {
        const { own, other } = await openConnection(t);
        const exitReset = new LingerReset(failOn);
        assert.ok(exitReset.arm(own));
        if (!armed) {
            exitReset.disarm(own);
        }
        await new Promise<void>(resolve => own.write("the beginning", () => resolve()));
        own.destroy();
        assert.equal(await endOf(other), armed ? "reset" : "closed");
    });
}

test("a connection that was disarmed and ended arrives whole", async t => {
    const { own, other } = await openConnection(t);
    const exitReset = new LingerReset(failOn);
    assert.ok(exitReset.arm(own));
    let received = 0;
    other.on("data", chunk => (received += chunk.length));
    await new Promise<void>(resolve => own.write(Buffer.alloc(1_000_000), () => resolve()));
    exitReset.disarm(own);
    own.end();
    assert.equal(await endOf(other), "closed");
    assert.equal(received, 1_000_000);
});

test("a system call that can't be loaded is reported once, and not loaded again", async t => {
    const { own } = await openConnection(t);
    const reasons: string[] = [];
    let loads = 0;
    const exitReset = new LingerReset(
        reason => reasons.push(reason),
        () => {
            loads++;
            throw new LingerError("no such library");
        },
    );
    assert.equal(exitReset.arm(own), false);
    assert.equal(exitReset.arm(own), false);
    assert.deepEqual([reasons, loads], [["LingerError: no such library"], 1]);
});

test("a system call that fails is reported once for each reason, and tried again", async t => {
    const { own } = await openConnection(t);
    const reasons: string[] = [];
    let calls = 0;
    const setLinger: SetLinger = () => {
        if (++calls < 4) {
            throw new LingerError(calls < 3 ? "errno 1" : "errno 22");
        }
    };
    const exitReset = new LingerReset(
        reason => reasons.push(reason),
        () => setLinger,
    );
    assert.deepEqual(
        [1, 2, 3, 4].map(() => exitReset.arm(own)),
        [false, false, false, true],
    );
    assert.deepEqual(reasons, ["LingerError: errno 1", "LingerError: errno 22"]);
});

test("a connection that has closed isn't armed, which is no failure", async t => {
    const { own } = await openConnection(t);
    own.destroy();
    assert.equal(new LingerReset(failOn).arm(own), false);
});

test("a closed descriptor makes the system call fail with its error number", async () => {
    const { loadSetLinger } = await import("../src/linger.js");
    const closedFd = 1_000_000;
    assert.throws(() => loadSetLinger()(closedFd, true), /LingerError: setsockopt failed with errno 9/);
});
