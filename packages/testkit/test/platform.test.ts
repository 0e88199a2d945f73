import assert from "node:assert/strict";
import test from "node:test";
import { HttpPlatform } from "@bramleymoor/platform/http";
import { PlatformError } from "@bramleymoor/platform/log";
import { startPlatformServer, type PlatformServer } from "@bramleymoor/testkit/platform";

const withPlatform = async (
    run: (server: PlatformServer, client: HttpPlatform) => Promise<void>,
): Promise<void> => {
    const server = await startPlatformServer({ port: 0 });
    const client = new HttpPlatform(server.url);
    try {
        await run(server, client);
    } finally {
        client.close();
        await server.close();
    }
};

const isUnavailable = (err: unknown): boolean =>
    err instanceof PlatformError && err.failure === "unavailable";

test("the HTTP client appends records, reads them and fetches the VM list", () =>
    withPlatform(async (server, client) => {
        assert.equal(await client.append("a/b", "erste"), 0);
        assert.equal(await client.append("a/b", "zweite ü"), 1);
        const batch = await client.read("a/b", 1, 10, 0);
        assert.deepEqual([batch.first, batch.next], [0, 2]);
        assert.deepEqual(
            batch.records.map(record => [record.offset, record.data]),
            [[1, "zweite ü"]],
        );
        assert.deepEqual(await client.read("other", 0, 10, 0), { records: [], first: 0, next: 0 });
        const vm = {
            id: "e1",
            peerAddress: "127.0.0.1:1",
            callerAddress: "127.0.0.1:2",
            region: "r",
            domain: "d",
            role: "entry" as const,
            leaving: true,
        };
        server.memory.setVms([vm]);
        assert.deepEqual(await client.list(), [vm]);
    }));

test("a waiting read returns the next appended record and rejects when its signal is aborted", () =>
    withPlatform(async (_server, client) => {
        const waitingRead = client.read("s", 0, 10, 60_000);
        await client.read("s", 0, 10, 0);
        await client.append("s", "x");
        assert.equal((await waitingRead).records[0]?.data, "x");
        const controller = new AbortController();
        const abortedRead = client.read("s", 1, 10, 60_000, controller.signal);
        controller.abort();
        await assert.rejects(abortedRead, isUnavailable);
    }));

test("calls reject during an outage, and an append whose response is lost leaves its record in the stream", () =>
    withPlatform(async (server, client) => {
        server.setBehavior({ down: true });
        await assert.rejects(client.append("s", "never"), isUnavailable);
        server.setBehavior({ down: false, loseAnswers: 1 });
        await assert.rejects(client.append("s", "kept"), isUnavailable);
        const batch = await client.read("s", 0, 10, 0);
        assert.deepEqual(
            batch.records.map(record => record.data),
            ["kept"],
        );
    }));

test("a malformed request is reported as a bad response", () =>
    withPlatform(async (_server, client) => {
        const read = client.read("s", -1, 10, 0);
        await assert.rejects(read, err => err instanceof PlatformError && err.failure === "bad response");
    }));
