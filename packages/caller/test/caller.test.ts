import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import fc from "fast-check";
import {
    errorKindNames,
    errorKinds,
    type ErrorKind,
    type ExecutionState,
} from "@bramleymoor/protocol/errors";
import { retryDelayMs } from "../src/backoff.js";
import { Caller, CallerError, type CallResponse } from "../src/caller.js";

type Reply = "ok" | "reset" | ErrorKind;

interface ReceivedCall {
    /** Index of the entry VM that received the call. */
    readonly entryVm: number;
    readonly headers: IncomingMessage["headers"];
}

/** Fake entry VMs that send the n-th reply to the n-th call to any of them, and "ok" after the last reply. */
class FakeEntryVms {
    readonly calls: ReceivedCall[] = [];
    readonly addresses: string[] = [];
    addressQueries = 0;
    ttlMs = 60_000;
    retryAfterMs = 1;
    readonly #replies: readonly Reply[];

    constructor(replies: readonly Reply[]) {
        this.#replies = replies;
    }

    async start(t: TestContext, count: number): Promise<void> {
        for (let entryVm = 0; entryVm < count; entryVm++) {
            const server = createServer((req, res) => this.#handle(entryVm, req, res));
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            this.addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
            t.after(() => {
                server.close();
                server.closeAllConnections();
            });
        }
    }

    #handle(entryVm: number, req: IncomingMessage, res: ServerResponse): void {
        if (req.url?.startsWith("/v1/addresses/")) {
            this.addressQueries++;
            const { addresses, ttlMs } = this;
            res.end(
                JSON.stringify({
                    service: "s",
                    addresses,
                    ttlMs,
                    ticket: `t${this.addressQueries}`,
                    version: 1,
                }),
            );
            return;
        }
        const reply = this.#replies[this.calls.length] ?? "ok";
        this.calls.push({ entryVm, headers: req.headers });
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

interface TestSetup {
    readonly entryVms: FakeEntryVms;
    readonly caller: Caller;
    readonly time: { now: number };
    readonly call: () => Promise<CallResponse>;
}

/** Starts two fake entry VMs and a caller that is configured with them after the `unreachable` addresses. */
const setUp = async (
    t: TestContext,
    replies: readonly Reply[],
    unreachable: readonly string[] = [],
): Promise<TestSetup> => {
    const entryVms = new FakeEntryVms(replies);
    await entryVms.start(t, 2);
    const time = { now: 0 };
    const caller = new Caller({
        entryAddresses: [...unreachable, ...entryVms.addresses],
        clock: () => time.now,
        random: () => 0,
        newRequestId: () => "id-1",
    });
    t.after(() => caller.close());
    const call = async (): Promise<CallResponse> => {
        const response = await caller.call({
            service: "s",
            path: "/x",
            method: "POST",
            body: "b",
            deadlineMs: 60_000,
        });
        response.body.resume();
        return response;
    };
    return { entryVms, caller, time, call };
};

const ranOf = (reply: Reply): ExecutionState => {
    if (reply === "ok") {
        return "ran";
    }
    return reply === "reset" ? "outcome unknown" : errorKinds[reply].ran;
};

const headerValues = (calls: readonly ReceivedCall[], name: string) =>
    calls.map(({ headers }) => headers[name]);

test("an address response is cached for its time to live", async t => {
    const { entryVms, time, call } = await setUp(t, []);
    await call();
    await call();
    assert.equal(entryVms.addressQueries, 1);
    time.now = 60_000;
    await call();
    assert.equal(entryVms.addressQueries, 2);
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1", "t2"]);
});

test("a cached address response is refreshed before it expires, and calls don't wait for the refresh", async t => {
    const { entryVms, time, call } = await setUp(t, []);
    await call();
    time.now = 50_000;
    await call();
    while (entryVms.addressQueries < 2) {
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1"]);
});

test("concurrent calls share one address query", async t => {
    const { entryVms, call } = await setUp(t, []);
    await Promise.all([call(), call(), call()]);
    assert.equal(entryVms.addressQueries, 1);
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1", "t1"]);
});

test("an unreachable entry VM is skipped in address queries", async t => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const { port } = closed.address() as AddressInfo;
    await new Promise(resolve => closed.close(resolve));
    const { call } = await setUp(t, [], [`127.0.0.1:${port}`]);
    assert.equal((await call()).status, 200);
});

test("after a lost connection the call is retried at the next address with the same ticket and request id", async t => {
    const { entryVms, call } = await setUp(t, ["reset"]);
    const response = await call();
    assert.deepEqual([response.status, response.attempts], [200, 2]);
    assert.deepEqual(
        entryVms.calls.map(({ entryVm }) => entryVm),
        [0, 1],
    );
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1"]);
    assert.deepEqual(headerValues(entryVms.calls, "bm-request-id"), ["id-1", "id-1"]);
    assert.deepEqual(headerValues(entryVms.calls, "bm-attempt"), ["1", "2"]);
});

test("the error kind decides the address of the next attempt", async t => {
    const { entryVms, call } = await setUp(t, ["overloaded", "not-ready", "stopping"]);
    assert.equal((await call()).status, 200);
    assert.deepEqual(
        entryVms.calls.map(({ entryVm }) => entryVm),
        [0, 0, 1, 0],
    );
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1", "t1", "t2"]);
    assert.equal(entryVms.addressQueries, 2);
});

test("the ticket is kept while an attempt with it may have run", async t => {
    const { entryVms, call } = await setUp(t, ["reset", "server-lost", "ok"]);
    await call();
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1", "t1"]);
});

test("a refusal after a lost attempt keeps the ticket, so that no other entry VM runs the request again", async t => {
    const { entryVms, call } = await setUp(t, ["reset", "stopping"]);
    await call();
    assert.equal(entryVms.addressQueries, 2);
    assert.deepEqual(headerValues(entryVms.calls, "bm-ticket"), ["t1", "t1", "t1"]);
});

test("if only refusals followed an attempt that may have run, the call reports outcome unknown", async t => {
    const refused = await setUp(t, ["reset", "overloaded", "overloaded", "overloaded"]);
    const response = await refused.call();
    assert.deepEqual([response.error, response.ran], ["overloaded", "outcome unknown"]);
    const lost = await setUp(t, ["server-lost", "overloaded", "overloaded", "reset"]);
    await assert.rejects(
        lost.call(),
        (err: unknown) => err instanceof CallerError && err.ran === "outcome unknown",
    );
});

test("whatever series of results a call gets, it is not run only if all say so, and then only a new ticket is used", async t => {
    const replyArbitrary = fc.constantFrom<Reply>("ok", "reset", ...errorKindNames);
    const runs = fc.sample(fc.array(replyArbitrary, { minLength: 4, maxLength: 4 }), {
        numRuns: 60,
        seed: 19,
    });
    for (const replies of runs) {
        const { entryVms, call } = await setUp(t, replies);
        const ran = await call().then(
            response => response.ran,
            (err: CallerError) => err.ran,
        );
        const received = replies.slice(0, entryVms.calls.length);
        const states = received.map(ranOf);
        const unknown = states.includes("outcome unknown") ? "outcome unknown" : "not run";
        assert.equal(ran, states.includes("ran") ? "ran" : unknown, String(received));
        const tickets = headerValues(entryVms.calls, "bm-ticket");
        const firstUnknown = states.findIndex(state => state !== "not run");
        if (firstUnknown !== -1) {
            assert.equal(new Set(tickets.slice(firstUnknown)).size, 1, String(received));
        }
    }
});

test("an error kind that forbids retries is returned at once", async t => {
    const { entryVms, call } = await setUp(t, ["issuer-gone"]);
    assert.equal((await call()).error, "issuer-gone");
    assert.equal(entryVms.calls.length, 1);
});

test("after the last attempt the call returns the last response or throws the execution state", async t => {
    const overloaded = await setUp(t, Array<Reply>(9).fill("overloaded"));
    assert.equal((await overloaded.call()).error, "overloaded");
    assert.equal(overloaded.entryVms.calls.length, 4);
    const lost = await setUp(t, Array<Reply>(9).fill("reset"));
    await assert.rejects(
        lost.call(),
        (err: unknown) =>
            err instanceof CallerError && err.ran === "outcome unknown" && err.requestId === "id-1",
    );
});

test("a call isn't retried if the delay would end after the deadline", async t => {
    const { entryVms, call } = await setUp(t, ["overloaded"]);
    entryVms.retryAfterMs = 60_000;
    assert.equal((await call()).error, "overloaded");
    assert.equal(entryVms.calls.length, 1);
});

test("retry delays: a requested delay is a lower bound with jitter, a backoff has full jitter up to its maximum", () => {
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
