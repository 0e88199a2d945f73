import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { callHeaders, answerHeaders } from "@bramleymoor/protocol/headers";
import { kinds } from "@bramleymoor/protocol/kinds";

const page = readFileSync(new URL("../../../../docs/PROTOCOL.md", import.meta.url), "utf8");

test("the protocol page's table of error kinds is the code's", () => {
    const rows = page.match(/^\| `[a-z-]+` \| \d{3} \|.*$/gm);
    const wanted = Object.entries(kinds).map(
        ([kind, row]) => `| \`${kind}\` | ${row.status} | ${row.ran} | ${row.retry} | ${row.text} |`,
    );
    assert.deepEqual(rows, wanted);
});

test("the protocol page names every header", () => {
    for (const name of [...Object.values(callHeaders), ...Object.values(answerHeaders)]) {
        assert.ok(page.includes(`\`${name}`), name);
    }
});
