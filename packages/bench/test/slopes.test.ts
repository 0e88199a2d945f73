import assert from "node:assert/strict";
import { test } from "node:test";
import { withTable } from "../src/slopes.js";
import { Slope } from "../src/slopes-fit.js";
import { marginOf } from "../src/slopes-capacity.js";

const lineOf = (valueOf: (size: number) => number): Slope =>
    new Slope(
        "memory",
        "B",
        "server",
        [1, 2, 3, 4].map(size => ({ size, value: valueOf(size) })),
    );

test("the fit of exact points is their line, with no residual", () => {
    const line = lineOf(size => 7 + 3 * size);
    assert.ok(Math.abs(line.slope - 3) < 1e-9);
    assert.ok(Math.abs(line.valueAt(100) - 307) < 1e-6);
    assert.ok(line.residual < 1e-9);
});

test("points on a curve give a large residual", () => {
    assert.ok(lineOf(size => size ** 3).residual > 4);
});

test("fewer than four different sizes are rejected", () => {
    const points = [1, 2, 3, 3].map(size => ({ size, value: size }));
    assert.throws(() => new Slope("memory", "B", "server", points), RangeError);
});

test("withTable replaces the table and keeps the rest of the page", () => {
    const start = "<!-- slopes: written by `npm run -s measure -- slopes` -->";
    const end = "<!-- end of slopes -->";
    const page = withTable(`before\n${start}\nold\n${end}\nafter\n`, "new");
    assert.equal(page, `before\n${start}\n\nnew\n\n${end}\nafter\n`);
    assert.equal(withTable(page, "new"), page);
    assert.throws(() => withTable(`before\n${start}\nold\n`, "new"), /lacks the markers/);
});

test("the margin of a value above its limit is MISSED", () => {
    const row = { role: "r", what: "w", formula: "f", unit: "B/s", limit: 4_096 };
    assert.equal(marginOf({ ...row, value: 8_192 }), "MISSED, 2.0 times over");
    assert.equal(marginOf({ ...row, value: 2_048 }), "2.0 times below");
});
