import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { startFakeBackend } from "@bramleymoor/testkit/backend";
import type { HostedService } from "../src/hostedservice.js";
import { ProbeSender } from "../src/probesender.js";

const clock = (): number => performance.now();

/** A prober's owner that always probes one server, and what it records of each probe. */
const probeTarget = (address: string) => {
    const reports: (number | undefined)[] = [];
    const hosted = {
        service: { name: "desk" },
        prober: {
            nextServer: () => address,
            recordResult: (isValid: boolean) => isValid || reports.push(undefined),
        },
        dispatcher: {
            hasRequestsInFlight: false,
            recordLimit: () => undefined,
            recordLoad: (_: string, { inFlight }: { readonly inFlight: number }) => reports.push(inFlight),
        },
    } as unknown as HostedService;
    return { hosted, reports };
};

const startSender = (t: TestContext): ProbeSender => {
    const sender = new ProbeSender(1_000, clock, new ReadPacer(clock), () => undefined);
    t.after(() => sender.close());
    return sender;
};

/** Waits until the sender has put the connection of a complete response back. */
const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 20));

const reportText = (echo: string, inFlight: number): string => {
    const body = JSON.stringify({ inFlight, latencyMs: 1, draining: false });
    return `HTTP/1.1 200 OK\r\n${echo}Content-Length: ${body.length}\r\n\r\n${body}`;
};

test("a copy of an earlier load report isn't the response to the next load query", async t => {
    const sockets = new Set<Socket>();
    const echoes: string[] = [];
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            const echo = /bm-send-id: \S+\r\n/.exec(chunk.toString("latin1"))?.[0] ?? "";
            echoes.push(echo);
            if (echoes.length === 2) {
                socket.write(reportText(echoes[0] ?? "", 1));
            }
            socket.write(reportText(echo, echoes.length));
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.after(() => {
        server.close();
        sockets.forEach(it => it.destroy());
    });
    const sender = startSender(t);
    const { hosted, reports } = probeTarget(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    for (let i = 1; i <= 3; i++) {
        await sender.probeNext(hosted);
        await settle();
    }
    assert.deepEqual(reports, [1, undefined, 3]);
    assert.equal(sockets.size, 2);
});

for (const repeatsSendId of [true, false]) {
    test(`load queries to a server ${repeatsSendId ? "share a connection" : "that doesn't repeat the id don't"}`, async t => {
        const backend = await startFakeBackend({ repeatsSendId });
        t.after(() => backend.close());
        const sender = startSender(t);
        const { hosted, reports } = probeTarget(backend.address);
        for (let i = 1; i <= 3; i++) {
            await sender.probeNext(hosted);
            await settle();
        }
        assert.deepEqual(reports, [0, 0, 0]);
        assert.equal(backend.counts.connections, repeatsSendId ? 1 : 3);
    });
}
