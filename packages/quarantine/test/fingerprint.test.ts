import assert from "node:assert/strict";
import { test } from "node:test";
import { accountOf, fingerprint, type RequestContent } from "../src/fingerprint.js";

const content = (changes: Partial<RequestContent> = {}): RequestContent => ({
    account: ["a"],
    host: "h.example",
    method: "POST",
    target: "/p/x?q=1",
    body: [Buffer.from("ab"), Buffer.from("c")],
    bodyLength: "3",
    ...changes,
});

test("attempts that carry the same request have the same fingerprint, however the body is split", () => {
    assert.equal(fingerprint(content()), fingerprint(content({ body: [Buffer.from("abc")] })));
});

test("requests that differ in account, host, method, target or body have different fingerprints", () => {
    const others = [
        content({ account: ["b"] }),
        content({ account: [] }),
        content({ host: "g.example" }),
        content({ method: "PUT" }),
        content({ target: "/p/x?q=2" }),
        content({ body: [Buffer.from("abd")] }),
        content({ host: "h.exampleP", method: "OST" }),
    ];
    const keys = new Set([content(), ...others].map(fingerprint));
    assert.equal(keys.size, others.length + 1);
});

test("the account's part of a fingerprint depends on the account alone", () => {
    const key = fingerprint(content());
    assert.equal(accountOf(key), accountOf(fingerprint(content({ target: "/other", body: [] }))));
    assert.notEqual(accountOf(key), accountOf(fingerprint(content({ account: ["b"] }))));
});
