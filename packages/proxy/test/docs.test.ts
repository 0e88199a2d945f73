import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { callHeaders, responseHeaders } from "@bramleymoor/protocol/headers";
import { errorKinds } from "@bramleymoor/protocol/errors";

const page = readFileSync(new URL("../../../../docs/PROTOCOL.md", import.meta.url), "utf8");

test("the protocol page's table of error kinds matches the code", () => {
    const rows = page.match(/^\| `[a-z-]+` \| \d{3} \|.*$/gm);
    const expected = Object.entries(errorKinds).map(
        ([kind, row]) => `| \`${kind}\` | ${row.status} | ${row.ran} | ${row.retry} | ${row.text} |`,
    );
    assert.deepEqual(rows, expected);
});

test("the protocol page documents every header", () => {
    for (const name of [...Object.values(callHeaders), ...Object.values(responseHeaders)]) {
        assert.ok(page.includes(`\`${name}`), name);
    }
});
