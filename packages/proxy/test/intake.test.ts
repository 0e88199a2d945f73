import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect, Socket, type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { blockEventLoop } from "@bramleymoor/testkit/hastycallers";
import { Intake } from "../src/intake.js";
import { drainPendingInput } from "../src/unreadinput.js";
import { waitUntil } from "./setup.js";

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** An intake whose connections the test accepts, and what becomes of these. */
class TestIntake {
    now = 1_000;
    readonly served: Socket[] = [];
    /** Waits of the connections that were closed unread, in milliseconds. */
    readonly unread: number[] = [];
    readonly intake = new Intake({
        serve: socket => this.served.push(socket),
        onAccepted: () => undefined,
        onUnread: waitMs => this.unread.push(waitMs),
        clock: () => this.now,
    });

    accept(): Socket {
        const socket = new Socket();
        this.intake.accept(socket);
        return socket;
    }

    /** Accepts one connection in each of `count` turns of `turnMs`, as Node does while more wait. */
    async acceptInTurns(count: number, turnMs: number): Promise<readonly Socket[]> {
        const sockets: Socket[] = [];
        for (let i = 0; i < count; i++) {
            sockets.push(this.accept());
            await nextTurn();
            this.now += turnMs;
        }
        return sockets;
    }
}

test("a connection is served at once if no other waits", async () => {
    const it = new TestIntake();
    const socket = it.accept();
    assert.deepEqual(it.served, [socket]);
    assert.equal(it.intake.waitMs(socket), 0);
    await nextTurn();
    await nextTurn();
    const next = it.accept();
    assert.deepEqual(it.served, [socket, next], "after a turn that accepted none");
    assert.equal(it.intake.waitMs(next), 0);
});

test("connections that wait are accepted before they are served, the latest first", async () => {
    const it = new TestIntake();
    const sockets = await it.acceptInTurns(4, 5);
    assert.deepEqual(it.served, sockets.slice(0, 1));
    await nextTurn();
    assert.deepEqual(it.served.slice(1), sockets.slice(1).reverse());
});

test("while connections keep coming, those that wait are served too", async () => {
    const it = new TestIntake();
    await it.acceptInTurns(100, 5);
    assert.ok(it.served.length > 50, `${it.served.length} served`);
});

test("a connection accepted in each turn may have waited since the last turn without one", async () => {
    const it = new TestIntake();
    const sockets = await it.acceptInTurns(3, 10);
    await nextTurn();
    assert.deepEqual(it.served.length, 3);
    assert.deepEqual(
        sockets.map(socket => it.intake.waitMs(socket)),
        [0, 30, 30],
    );
    await nextTurn();
    await nextTurn();
    assert.equal(it.intake.waitMs(it.accept()), 0, "after a turn that accepted none");
});

test("all requests that are read directly after a connection was accepted waited for it, later ones didn't", async () => {
    const it = new TestIntake();
    const [, socket] = await it.acceptInTurns(2, 40);
    assert.ok(socket);
    await nextTurn();
    assert.equal(it.intake.waitMs(socket), 80);
    await nextTurn();
    assert.equal(it.intake.waitMs(socket), 80, "read in the turn after");
    assert.equal(it.intake.waitMs(socket), 80, "pipelined");
    await drainPendingInput();
    assert.equal(it.intake.waitMs(socket), 0);
});

test("a connection that can't be served in time is closed unread", async () => {
    const it = new TestIntake();
    const sockets = await it.acceptInTurns(40, 1);
    it.now += 1_000;
    await nextTurn();
    const closed = sockets.filter(socket => socket.destroyed);
    assert.ok(closed.length > 0);
    assert.ok(closed.every(socket => !it.served.includes(socket)));
    assert.equal(it.unread.length, closed.length);
    assert.ok(it.unread.every(waitMs => waitMs > 1_000 && waitMs <= 1_100));
});

/** Starts an HTTP server that answers each request after `turnMs` of processor time, behind an intake. */
const startServer = async (t: TestContext, turnMs: number): Promise<number> => {
    const server = createServer((_, res) => {
        blockEventLoop(turnMs);
        res.end("ok");
    });
    Intake.attach(server, {
        onAccepted: () => undefined,
        onUnread: () => undefined,
        clock: () => performance.now(),
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
};

test("connections that wait unread get their responses", async t => {
    const port = await startServer(t, 1);
    let received = 0;
    const sockets = Array.from({ length: 100 }, () => {
        const socket = connect(port, "127.0.0.1", () => socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
        socket.once("data", () => received++);
        return socket;
    });
    t.after(() => sockets.forEach(it => it.destroy()));
    blockEventLoop(50);
    await waitUntil(() => received === sockets.length);
});
