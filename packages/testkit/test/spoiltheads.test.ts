import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpPlatform } from "@bramleymoor/platform/http";
import { PlatformError } from "@bramleymoor/platform/log";
import { spoiltHeads } from "@bramleymoor/testkit/spoiltheads";
import { startTextServer } from "@bramleymoor/testkit/textserver";

const responseText = (body: unknown): string => {
    const text = JSON.stringify(body);
    return `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
};

const isUnavailable = (err: unknown): boolean =>
    err instanceof PlatformError && err.failure === "unavailable";

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    // Guards against records, offsets and VMs that the platform hasn't sent.
    test(`a response of the platform with ${what} is none, and a call's effect is unknown`, async t => {
        const address = await startTextServer(t, request => {
            const append = request.startsWith("POST");
            const body = append ? { offset: 7 } : { records: [], first: 0, next: 0, vms: [] };
            return spoil(responseText(body));
        });
        const platform = new HttpPlatform(`http://${address}`);
        t.after(() => platform.close());
        await assert.rejects(platform.read("s", 0, 1, 0), isUnavailable);
        await assert.rejects(platform.append("s", "data"), isUnavailable);
        await assert.rejects(platform.list(), isUnavailable);
    });
}
