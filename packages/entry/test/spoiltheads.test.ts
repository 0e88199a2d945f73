import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { spoiltHeads } from "@bramleymoor/testkit/spoiltheads";
import { startTextServer } from "@bramleymoor/testkit/textserver";
import type { HostedService } from "../src/hostedservice.js";
import { PeerClient } from "../src/peerclient.js";
import { ProbeSender } from "../src/probesender.js";
import { SharedKey } from "../src/sharedkey.js";
import { sharedKey } from "./setup.js";

const clock = (): number => performance.now();
const sound = { "a sound head": (it: string): string => it };

const responseText = (fields: string, body: unknown): string => {
    const text = JSON.stringify(body);
    return `HTTP/1.1 200 OK\r\n${fields}Content-Length: ${text.length}\r\n\r\n${text}`;
};

for (const [what, spoil] of Object.entries({ ...sound, ...spoiltHeads })) {
    // Guards against a load that no server has reported.
    test(`a load report with ${what} counts only if its response is one`, async t => {
        const address = await startTextServer(t, request => {
            const echo = /bm-send-id: \S+\r\n/.exec(request)?.[0] ?? "";
            return spoil(responseText(echo, { inFlight: 1, latencyMs: 1, draining: false }));
        });
        const seen: unknown[] = [];
        const hosted = {
            service: { name: "desk" },
            prober: { nextServer: () => address, recordResult: (isValid: boolean) => seen.push(isValid) },
            dispatcher: {
                hasRequestsInFlight: false,
                recordLimit: () => undefined,
                recordLoad: () => seen.push("load"),
            },
        } as unknown as HostedService;
        const sender = new ProbeSender(500, clock, new ReadPacer(clock), () => undefined);
        t.after(() => sender.close());
        await sender.probeNext(hosted);
        assert.deepEqual(seen, what in sound ? [true, "load"] : [false]);
    });

    // Guards against what no peer has said.
    test(`a peer's reply with ${what} counts only if its response is one`, async t => {
        const value = { service: "s", addresses: ["192.0.2.1:1"], ttlMs: 1, ticket: "t", version: 1 };
        const address = await startTextServer(t, () =>
            spoil(responseText("Content-Type: application/json\r\n", { result: { data: value } })),
        );
        const client = new PeerClient(new SharedKey(sharedKey), 500, new ReadPacer(clock));
        t.after(() => client.close());
        if (what in sound) {
            assert.deepEqual(await client.addresses(address, "s"), value);
        } else {
            await assert.rejects(client.addresses(address, "s"));
        }
    });
}
