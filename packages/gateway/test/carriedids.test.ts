import assert from "node:assert/strict";
import { test } from "node:test";
import { CarriedIds } from "../src/carriedids.js";

test("a connection's ids are known until they take too much memory, however long they are", () => {
    const short = new CarriedIds();
    short.add("a");
    short.add("a");
    assert.ok(short.has("a") && !short.has("b"));
    assert.equal(short.size, 1);
    assert.ok(!short.isFull);
    const long = new CarriedIds();
    long.add("x".repeat(40_000));
    assert.ok(long.isFull);
    const many = new CarriedIds();
    for (let i = 0; i < 1_000; i++) {
        many.add(String(i));
    }
    assert.ok(many.isFull);
});
