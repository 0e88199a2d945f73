import assert from "node:assert/strict";
import { test } from "node:test";
import { formatLoadHeader, parseLoadHeader } from "../src/messages.js";
import { CallError, errorKindNames, errorKinds } from "../src/errors.js";

test("formatting and parsing a load header round-trips", () => {
    const report = { inFlight: 3, latencyMs: 12.5, draining: true };
    assert.deepEqual(parseLoadHeader(formatLoadHeader(report)), report);
});

test("a malformed load header is rejected", () => {
    for (const text of [
        "",
        "inFlight=-1 latencyMs=2",
        "inFlight=1",
        "inFlight=1 latencyMs=2 x",
        "inFlight=1e9 latencyMs=0",
    ]) {
        assert.equal(parseLoadHeader(text), undefined, text);
    }
});

test("no error kind allows a retry of a request that ran", () => {
    for (const kind of errorKindNames) {
        assert.ok(errorKinds[kind].ran !== "ran" || errorKinds[kind].retry === "never", kind);
    }
});

test("an error exposes the response of its kind", () => {
    assert.equal(new CallError("table-full").info.ran, "not run");
});

test("a load header may name a request limit", () => {
    const report = { inFlight: 3, latencyMs: 12.5, draining: true, limit: 4.5 };
    assert.equal(formatLoadHeader(report), "inFlight=3 latencyMs=12.5 limit=4.5 draining");
    assert.deepEqual(parseLoadHeader(formatLoadHeader(report)), report);
    for (const limit of ["-1", "few", "1e309", "5,3"]) {
        assert.equal(parseLoadHeader(`inFlight=3 latencyMs=12.5 limit=${limit}`), undefined);
    }
});
