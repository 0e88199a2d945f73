import assert from "node:assert/strict";
import { test } from "node:test";
import type { Destination, Route } from "@bramleymoor/model/route";
import { TrafficSplit, TrafficSplits } from "../src/split.js";
import { RouteTable } from "../src/table.js";

const route = (host: string, pathPrefix: string, destinations: readonly Destination[] = []): Route => ({
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: "idempotent",
    destinations,
    timeoutMs: 1_000,
    targetLatencyMs: 300,
    maxAttempts: 2,
    priority: 1,
});

const table = new RouteTable([
    route("a.example", "/"),
    route("a.example", "/x/"),
    route("a.example", "/x/y/"),
]);

test("the longest matching path prefix wins", () => {
    assert.equal(table.find("a.example", "/x/y/z")?.pathPrefix, "/x/y/");
    assert.equal(table.find("a.example", "/x/yz")?.pathPrefix, "/x/");
    assert.equal(table.find("a.example", "/x")?.pathPrefix, "/");
    assert.equal(table.find("a.example", "/x/?q=/x/y/")?.pathPrefix, "/x/");
});

test("hosts are compared without regard to case and port", () => {
    assert.equal(table.find("A.Example:8080", "/x/")?.pathPrefix, "/x/");
    assert.equal(table.find("b.example", "/x/"), undefined);
});

test("no route is found if no prefix of the host matches the path", () => {
    assert.equal(new RouteTable([route("a.example", "/x/")]).find("a.example", "/y"), undefined);
});

test("a path prefix without its final slash is rejected", () => {
    assert.throws(() => new RouteTable([route("a.example", "/x")]), TypeError);
});

test("a table of 50,000 routes is built and searched within the timeout", { timeout: 5_000 }, () => {
    const routes = Array.from({ length: 50_000 }, (_, i) => route("a.example", `/r${i}/`));
    const many = new RouteTable(routes);
    assert.equal(many.find("a.example", "/r49999/x")?.pathPrefix, "/r49999/");
});

test("requests are split by weight to within one request at every point", () => {
    const split = new TrafficSplit(
        [
            { service: "a", weight: 90 },
            { service: "b", weight: 10 },
        ],
        0.3,
    );
    let b = 0;
    for (let i = 1; i <= 200; i++) {
        b += split.next() === "b" ? 1 : 0;
        assert.ok(Math.abs(b - i / 10) <= 1, `${b} of ${i}`);
    }
});

test("changed weights apply to the next request", () => {
    const splits = new TrafficSplits();
    const before = route("a.example", "/", [
        { service: "a", weight: 1 },
        { service: "b", weight: 0 },
    ]);
    const after = route("a.example", "/", [
        { service: "a", weight: 0 },
        { service: "b", weight: 1 },
    ]);
    assert.equal(
        splits.chooseService(before, () => 0),
        "a",
    );
    assert.equal(
        splits.chooseService(after, () => 0),
        "b",
    );
});
