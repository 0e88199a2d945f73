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
    new OnceTable({ maxEntries: 10, maxStoredBodyBytes: 100, maxTotalStoredBytes: 150, ...limits });

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

const kind = (expected: ErrorKind) => (err: unknown) => err instanceof CallError && err.kind === expected;

const completeRun = (run: Run, text: string): void => {
    run.setBodyDigest("d");
    run.execution.start();
    run.complete(200, ["a", "b"], Buffer.from(text));
};

test("a duplicate waits for the response of the run, and a later one gets the same response", async () => {
    const onceTable = table();
    const run = runOf(onceTable.claim(request("r"), 0));
    const waiting = duplicateOf(onceTable.claim(request("r"), 1)).outcome("d");
    completeRun(run, "done");
    const expected = { kind: "answered", status: 200, headers: "a\nb", body: "done" };
    assert.deepEqual(await waiting, expected);
    assert.deepEqual(await duplicateOf(onceTable.claim(request("r"), 2)).outcome("d"), expected);
});

test("the same request id of another caller is another request", () => {
    const onceTable = table();
    runOf(onceTable.claim(request("r"), 0));
    runOf(onceTable.claim(request("r", { callerPart: "other" }), 0));
});

test("a duplicate with another body or target is a conflict and gets no response", async () => {
    const onceTable = table();
    completeRun(runOf(onceTable.claim(request("r"), 0)), "secret");
    await assert.rejects(
        duplicateOf(onceTable.claim(request("r"), 1)).outcome("e"),
        kind("request-conflict"),
    );
    assert.throws(
        () => onceTable.claim(request("r", { target: "PUT desk/orders" }), 1),
        kind("request-conflict"),
    );
});

test("a refused request never runs for that attempt or a lower one, and a higher attempt runs it again", async () => {
    const onceTable = table();
    const run = runOf(onceTable.claim(request("r", { attempt: 2 }), 0));
    const waiting = duplicateOf(onceTable.claim(request("r", { attempt: 4 }), 0));
    run.fail(new CallError("overloaded"));
    for (const attempt of [1, 2, 3, 4]) {
        const outcome = await duplicateOf(onceTable.claim(request("r", { attempt }), 1)).outcome("d");
        assert.equal(outcome.kind, "refused");
    }
    assert.equal((await waiting.outcome("d")).kind, "refused");
    const second = runOf(onceTable.claim(request("r", { attempt: 5 }), 2));
    completeRun(second, "done");
    assert.equal(
        (await duplicateOf(onceTable.claim(request("r", { attempt: 6 }), 3)).outcome("d")).kind,
        "answered",
    );
});

test("an unknown outcome stays unknown for every attempt", async () => {
    const onceTable = table();
    const run = runOf(onceTable.claim(request("r"), 0));
    run.execution.start();
    run.fail(new CallError("server-lost"));
    const outcome = await duplicateOf(onceTable.claim(request("r", { attempt: 9 }), 1)).outcome("d");
    assert.equal(outcome.kind, "unknown");
});

test("a request that may have run can't fail as not run, and a run can end only once", () => {
    const run = runOf(table().claim(request("r"), 0));
    run.execution.start();
    assert.throws(() => run.fail(new CallError("overloaded")), /can't be refused/);
    run.execution.settle("not run");
    run.fail(new CallError("server-refused"));
    assert.throws(() => run.fail(new CallError("internal")), /only once/);
});

test("a full table refuses and stores the refusal, until there is no room for refusals either", async () => {
    const onceTable = table({ maxEntries: 1 });
    const run = runOf(onceTable.claim(request("r", { expiresAt: 1000 }), 0));
    assert.throws(() => onceTable.claim(request("s", { attempt: 2 }), 1), kind("table-full"));
    assert.throws(() => onceTable.claim(request("t"), 1), kind("not-decided"));
    duplicateOf(onceTable.claim(request("r", { attempt: 2 }), 1));
    const still = duplicateOf(onceTable.claim(request("s", { attempt: 3 }), 2));
    assert.equal((await still.outcome("d")).kind, "refused");
    run.fail(new CallError("overloaded"));
    for (const attempt of [1, 2, 3]) {
        assert.equal(onceTable.claim(request("s", { attempt }), 1500).kind, "duplicate");
    }
    runOf(onceTable.claim(request("s", { attempt: 4 }), 1500));
});

test("an entry is kept until its ticket expires, and a running one until it ends", () => {
    const onceTable = table();
    completeRun(runOf(onceTable.claim(request("r"), 0)), "done");
    const running = runOf(onceTable.claim(request("s"), 0));
    onceTable.sweep(9999);
    assert.deepEqual([onceTable.size, onceTable.storedBytes], [2, 4]);
    onceTable.sweep(10_000);
    assert.deepEqual([onceTable.size, onceTable.storedBytes], [1, 0]);
    running.fail(new CallError("internal"));
    onceTable.sweep(500_000);
    assert.equal(onceTable.size, 0);
});

test("a response that is too large, or exceeds the total size, is not stored", async () => {
    const onceTable = table();
    completeRun(runOf(onceTable.claim(request("large"), 0)), "x".repeat(101));
    completeRun(runOf(onceTable.claim(request("first"), 0)), "x".repeat(100));
    completeRun(runOf(onceTable.claim(request("second"), 0)), "x".repeat(51));
    const kinds = ["large", "first", "second"].map(id =>
        duplicateOf(onceTable.claim(request(id), 1))
            .outcome("d")
            .then(outcome => outcome.kind),
    );
    assert.deepEqual(await Promise.all(kinds), ["not-stored", "answered", "not-stored"]);
});
