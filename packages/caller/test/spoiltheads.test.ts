import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { spoiltHeads } from "@bramleymoor/testkit/spoiltheads";
import { startTextServer } from "@bramleymoor/testkit/textserver";
import { Caller, CallerError } from "../src/caller.js";

const responseText = (body: string): string =>
    `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

/** Starts an entry VM whose responses to queries and to calls the functions change. */
const startEntryVm = async (
    t: TestContext,
    { query = (text: string) => text, call = (text: string) => text },
): Promise<string> => {
    const address = await startTextServer(t, request => {
        const service = { service: "s", addresses: [address], ttlMs: 60_000, ticket: "t", version: 1 };
        return request.startsWith("GET /v1/addresses/")
            ? query(responseText(JSON.stringify(service)))
            : call(responseText(request.startsWith("HEAD") ? "" : "done"));
    });
    return address;
};

const startCaller = (t: TestContext, entryAddresses: readonly string[]): Caller => {
    const caller = new Caller({
        entryAddresses,
        clock: () => performance.now(),
        random: () => 0,
        newRequestId: () => "id-1",
        maxAttempts: 1,
    });
    t.after(() => caller.close());
    return caller;
};

const request = { service: "s", path: "/x", deadlineMs: 2_000 };

for (const [what, spoil] of Object.entries(spoiltHeads)) {
    // Guards against a response that isn't one, and a body that isn't the server's.
    test(`a response to a call with ${what} is none`, async t => {
        const caller = startCaller(t, [await startEntryVm(t, { call: spoil })]);
        for (const method of ["GET", "POST", "HEAD"]) {
            await assert.rejects(
                caller.call({ ...request, method }),
                (err: unknown) => err instanceof CallerError && err.ran === "outcome unknown",
                method,
            );
        }
    });

    test(`for an address response with ${what}, the next entry VM is asked`, async t => {
        const spoilt = await startEntryVm(t, { query: spoil });
        const sound = await startEntryVm(t, {});
        const caller = startCaller(t, [spoilt, sound]);
        const { addresses } = await caller.getAddresses("s", performance.now() + 2_000);
        assert.deepEqual(addresses, [sound]);
    });
}
