import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../src/event-log.js";
import { reportFailedStart } from "../src/start-failure.js";

const report = (err: unknown): readonly [number, string] => {
    const lines: string[] = [];
    const events = new EventLog({
        source: "entry-1",
        format: "text",
        level: "info",
        write: line => lines.push(line),
        clock: () => 0,
    });
    const exitCode = reportFailedStart(events, err, address => `the setting of ${address}`);
    return [exitCode, lines.join("\n")];
};

const listenError = (code: string): Error =>
    Object.assign(new Error(`listen ${code}`), { code, address: "127.0.0.1", port: 7 });

test("each cause of a failed start has its own event and exit code, and names address and setting", () => {
    for (const [code, event, expected] of [
        ["EADDRINUSE", 6003, 3],
        ["EADDRNOTAVAIL", 6004, 5],
        ["EACCES", 6005, 6],
        ["EMFILE", 6006, 7],
    ] as const) {
        const [exitCode, text] = report(listenError(code));
        assert.equal(exitCode, expected);
        assert.match(
            text,
            new RegExp(` ${event} .*127.0.0.1:7, set by the setting of 127.0.0.1:7: listen ${code}`),
        );
    }
});

test("a failed start that is not about a port is not reported as one", () => {
    for (const err of [
        new Error("no seeds"),
        Object.assign(new Error("no seeds"), { code: "ENOENT" }),
        "no seeds",
    ]) {
        const [exitCode, text] = report(err);
        assert.equal(exitCode, 8);
        assert.match(text, / 5008 .*no seeds/);
    }
});
