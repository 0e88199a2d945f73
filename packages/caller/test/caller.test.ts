import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { errorKinds, type ErrorKind } from "@bramleymoor/protocol/errors";
import { retryDelayMs } from "../src/backoff.js";
import { Caller, CallerError, type CallResponse } from "../src/caller.js";

type Reply = "ok" | "reset" | ErrorKind;

interface Seen {
    readonly entry: number;
    readonly headers: IncomingMessage["headers"];
}

/** Entry VMs that answer the n-th call to any of them with the n-th reply, "ok" after the last. */
class Entries {
    readonly seen: Seen[] = [];
    readonly addresses: string[] = [];
    asked = 0;
    ttlMs = 60_000;
    retryAfterMs = 1;
    readonly #replies: readonly Reply[];

    constructor(replies: readonly Reply[]) {
        this.#replies = replies;
    }

    async start(t: TestContext, count: number): Promise<void> {
        for (let entry = 0; entry < count; entry++) {
            const server = createServer((req, res) => this.#answer(entry, req, res));
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            this.addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
            t.after(() => {
                server.close();
                server.closeAllConnections();
            });
        }
    }

    #answer(entry: number, req: IncomingMessage, res: ServerResponse): void {
        if (req.url?.startsWith("/v1/addresses/")) {
            this.asked++;
            const { addresses, ttlMs } = this;
            res.end(JSON.stringify({ service: "s", addresses, ttlMs, ticket: `t${this.asked}`, version: 1 }));
            return;
        }
        const reply = this.#replies[this.seen.length] ?? "ok";
        this.seen.push({ entry, headers: req.headers });
        req.resume();
        if (reply === "reset") {
            req.socket.resetAndDestroy();
            return;
        }
        if (reply !== "ok") {
            res.writeHead(errorKinds[reply].status, {
                "bm-error": reply,
                "bm-retry-after-ms": String(this.retryAfterMs),
            });
        }
        res.end("done");
    }
}

interface Scene {
    readonly entries: Entries;
    readonly caller: Caller;
    readonly time: { now: number };
    readonly call: () => Promise<CallResponse>;
}

const scene = async (
    t: TestContext,
    replies: readonly Reply[],
    dead: readonly string[] = [],
): Promise<Scene> => {
    const entries = new Entries(replies);
    await entries.start(t, 2);
    const time = { now: 0 };
    const caller = new Caller({
        entryAddresses: [...dead, ...entries.addresses],
        clock: () => time.now,
        random: () => 0,
        newRequestId: () => "id-1",
    });
    t.after(() => caller.close());
    const call = async (): Promise<CallResponse> => {
        const answer = await caller.call({
            service: "s",
            path: "/x",
            method: "POST",
            body: "b",
            deadlineMs: 60_000,
        });
        answer.body.resume();
        return answer;
    };
    return { entries, caller, time, call };
};

const header = (seen: readonly Seen[], name: string) => seen.map(({ headers }) => headers[name]);

test("an answer to which addresses is kept for its time to live", async t => {
    const { entries, time, call } = await scene(t, []);
    await call();
    await call();
    assert.equal(entries.asked, 1);
    time.now = 60_000;
    await call();
    assert.equal(entries.asked, 2);
    assert.deepEqual(header(entries.seen, "bm-ticket"), ["t1", "t1", "t2"]);
});

test("a new answer is asked for before the kept one expires, without calls waiting for it", async t => {
    const { entries, time, call } = await scene(t, []);
    await call();
    time.now = 50_000;
    await call();
    while (entries.asked < 2) {
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.deepEqual(header(entries.seen, "bm-ticket"), ["t1", "t1"]);
});

test("calls that come while addresses are being asked share the one question", async t => {
    const { entries, call } = await scene(t, []);
    await Promise.all([call(), call(), call()]);
    assert.equal(entries.asked, 1);
    assert.deepEqual(header(entries.seen, "bm-ticket"), ["t1", "t1", "t1"]);
});

test("an entry VM that can't be reached is passed over", async t => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const { port } = closed.address() as AddressInfo;
    await new Promise(resolve => closed.close(resolve));
    const { call } = await scene(t, [], [`127.0.0.1:${port}`]);
    assert.equal((await call()).status, 200);
});

test("a lost connection is retried elsewhere with the same ticket and request id", async t => {
    const { entries, call } = await scene(t, ["reset"]);
    const answer = await call();
    assert.deepEqual([answer.status, answer.attempts], [200, 2]);
    assert.deepEqual(
        entries.seen.map(({ entry }) => entry),
        [0, 1],
    );
    assert.deepEqual(header(entries.seen, "bm-ticket"), ["t1", "t1"]);
    assert.deepEqual(header(entries.seen, "bm-request-id"), ["id-1", "id-1"]);
    assert.deepEqual(header(entries.seen, "bm-attempt"), ["1", "2"]);
});

test("each kind decides where the next attempt goes", async t => {
    const { entries, call } = await scene(t, ["overloaded", "not-ready", "stopping"]);
    assert.equal((await call()).status, 200);
    assert.deepEqual(
        entries.seen.map(({ entry }) => entry),
        [0, 0, 1, 0],
    );
    assert.deepEqual(header(entries.seen, "bm-ticket"), ["t1", "t1", "t1", "t2"]);
    assert.equal(entries.asked, 2);
});

test("a ticket is kept when asking again while an attempt may have run", async t => {
    const { entries, call } = await scene(t, ["reset", "server-lost", "ok"]);
    await call();
    assert.deepEqual(header(entries.seen, "bm-ticket"), ["t1", "t1", "t1"]);
});

test("what says never is given to the program at once", async t => {
    const { entries, call } = await scene(t, ["issuer-gone"]);
    assert.equal((await call()).error, "issuer-gone");
    assert.equal(entries.seen.length, 1);
});

test("attempts end with the last answer, or with what is known of the request", async t => {
    const full = await scene(t, Array<Reply>(9).fill("overloaded"));
    assert.equal((await full.call()).error, "overloaded");
    assert.equal(full.entries.seen.length, 4);
    const lost = await scene(t, Array<Reply>(9).fill("reset"));
    await assert.rejects(
        lost.call(),
        (err: unknown) =>
            err instanceof CallerError && err.ran === "outcome unknown" && err.requestId === "id-1",
    );
});

test("no attempt begins that couldn't end before the deadline", async t => {
    const { entries, call } = await scene(t, ["overloaded"]);
    entries.retryAfterMs = 60_000;
    assert.equal((await call()).error, "overloaded");
    assert.equal(entries.seen.length, 1);
});

test("pauses: what was asked for is the least, and both kinds are spread", () => {
    assert.equal(
        retryDelayMs(1, 100, () => 0),
        100,
    );
    assert.equal(
        retryDelayMs(1, 100, () => 0.5),
        125,
    );
    assert.equal(
        retryDelayMs(3, undefined, () => 0.5),
        40,
    );
    assert.equal(
        retryDelayMs(30, undefined, () => 0.5),
        1000,
    );
});
