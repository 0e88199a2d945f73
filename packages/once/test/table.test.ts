import assert from "node:assert/strict";
import { test } from "node:test";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import {
    OnceTable,
    type Claim,
    type Duplicate,
    type OnceLimits,
    type OnceRequest,
    type Run,
} from "../src/table.js";

const table = (limits: Partial<OnceLimits> = {}): OnceTable =>
    new OnceTable({ maxEntries: 10, maxKeptBodyBytes: 100, maxTotalKeptBytes: 150, ...limits });

const request = (id: string, more: Partial<OnceRequest> = {}): OnceRequest => ({
    callerPart: "caller",
    requestId: id,
    expiresAt: 10_000,
    attempt: 1,
    target: "POST desk/orders",
    ...more,
});

const runOf = (claim: Claim): Run => {
    assert.equal(claim.kind, "run");
    return (claim as { readonly run: Run }).run;
};

const duplicateOf = (claim: Claim): Duplicate => {
    assert.equal(claim.kind, "duplicate");
    return (claim as { readonly duplicate: Duplicate }).duplicate;
};

const kind = (wanted: ErrorKind) => (err: unknown) => err instanceof CallError && err.kind === wanted;

const answer = (run: Run, text: string): void => {
    run.setBodyDigest("d");
    run.markSending();
    run.complete(200, ["a", "b"], Buffer.from(text));
};

test("a duplicate waits for the answer of the run, and a later one gets it again", async () => {
    const once = table();
    const run = runOf(once.claim(request("r"), 0));
    const waiting = duplicateOf(once.claim(request("r"), 1)).outcome("d");
    answer(run, "done");
    const wanted = { kind: "answered", status: 200, headers: "a\nb", body: "done" };
    assert.deepEqual(await waiting, wanted);
    assert.deepEqual(await duplicateOf(once.claim(request("r"), 2)).outcome("d"), wanted);
});

test("another caller's request of the same id is another request", () => {
    const once = table();
    runOf(once.claim(request("r"), 0));
    runOf(once.claim(request("r", { callerPart: "other" }), 0));
});

test("another body or another target is a conflict, and leaks no answer", async () => {
    const once = table();
    answer(runOf(once.claim(request("r"), 0)), "secret");
    await assert.rejects(duplicateOf(once.claim(request("r"), 1)).outcome("e"), kind("request-conflict"));
    assert.throws(() => once.claim(request("r", { target: "PUT desk/orders" }), 1), kind("request-conflict"));
});

test("what was refused as not run never runs for that attempt or an older one; a higher one starts afresh", async () => {
    const once = table();
    const run = runOf(once.claim(request("r", { attempt: 2 }), 0));
    const waiting = duplicateOf(once.claim(request("r", { attempt: 4 }), 0));
    run.fail(new CallError("overloaded"));
    for (const attempt of [1, 2, 3, 4]) {
        const outcome = await duplicateOf(once.claim(request("r", { attempt }), 1)).outcome("d");
        assert.equal(outcome.kind, "refused");
    }
    assert.equal((await waiting.outcome("d")).kind, "refused");
    const second = runOf(once.claim(request("r", { attempt: 5 }), 2));
    answer(second, "done");
    assert.equal(
        (await duplicateOf(once.claim(request("r", { attempt: 6 }), 3)).outcome("d")).kind,
        "answered",
    );
});

test("an unknown outcome stays unknown for every attempt", async () => {
    const once = table();
    const run = runOf(once.claim(request("r"), 0));
    run.markSending();
    run.fail(new CallError("server-lost"));
    const outcome = await duplicateOf(once.claim(request("r", { attempt: 9 }), 1)).outcome("d");
    assert.equal(outcome.kind, "unknown");
});

test("a request that may have run can't be refused as not run", () => {
    const run = runOf(table().claim(request("r"), 0));
    run.markSending();
    assert.throws(() => run.fail(new CallError("overloaded")), /can't be refused/);
    run.markNotStarted();
    run.fail(new CallError("server-refused"));
    assert.throws(() => run.fail(new CallError("internal")), /only once/);
});

test("a full table refuses as not run and keeps to it, until it has no room even for that", async () => {
    const once = table({ maxEntries: 1 });
    const run = runOf(once.claim(request("r", { expiresAt: 1000 }), 0));
    assert.throws(() => once.claim(request("s", { attempt: 2 }), 1), kind("table-full"));
    assert.throws(() => once.claim(request("t"), 1), kind("not-decided"));
    duplicateOf(once.claim(request("r", { attempt: 2 }), 1));
    const still = duplicateOf(once.claim(request("s", { attempt: 3 }), 2));
    assert.equal((await still.outcome("d")).kind, "refused");
    run.fail(new CallError("overloaded"));
    for (const attempt of [1, 2, 3]) {
        assert.equal(once.claim(request("s", { attempt }), 1500).kind, "duplicate");
    }
    runOf(once.claim(request("s", { attempt: 4 }), 1500));
});

test("an entry stays until its ticket has expired, and a running one until it has ended", () => {
    const once = table();
    answer(runOf(once.claim(request("r"), 0)), "done");
    const running = runOf(once.claim(request("s"), 0));
    once.sweep(9999);
    assert.deepEqual([once.size, once.keptBytes], [2, 4]);
    once.sweep(10_000);
    assert.deepEqual([once.size, once.keptBytes], [1, 0]);
    running.fail(new CallError("internal"));
    once.sweep(500_000);
    assert.equal(once.size, 0);
});

test("an answer that is too large, or finds no room, is told as ran but not kept", async () => {
    const once = table();
    answer(runOf(once.claim(request("large"), 0)), "x".repeat(101));
    answer(runOf(once.claim(request("first"), 0)), "x".repeat(100));
    answer(runOf(once.claim(request("second"), 0)), "x".repeat(51));
    const kinds = ["large", "first", "second"].map(id =>
        duplicateOf(once.claim(request(id), 1))
            .outcome("d")
            .then(outcome => outcome.kind),
    );
    assert.deepEqual(await Promise.all(kinds), ["not-kept", "answered", "not-kept"]);
});
