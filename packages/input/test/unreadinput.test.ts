import assert from "node:assert/strict";
import { request, type IncomingMessage } from "node:http";
import { createServer, type AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PacedAgent } from "../src/pacedagent.js";
import { ReadPacer } from "../src/pacer.js";

const firstPieceBytes = 4_096;
const head = "HTTP/1.1 200 OK\r\nContent-Length: ";
const response = `${head}${firstPieceBytes - head.length - 8}\r\n\r\n`.padEnd(firstPieceBytes, "x");

for (const costMs of [0, 3]) {
    test(`a connection on which part of a copy has arrived directly behind a piece that ends a response isn't used again, if reading costs ${costMs} ms`, async t => {
        let now = 0;
        const agent = new PacedAgent({ keepAlive: true }, new ReadPacer(() => (now += costMs)));
        t.after(() => agent.destroy());
        let connections = 0;
        const server = createServer(socket => {
            connections++;
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write(response + response.slice(0, 600)));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        t.after(() => server.close());
        const { port } = server.address() as AddressInfo;
        for (let i = 1; i <= 2; i++) {
            const res = await new Promise<IncomingMessage>((resolve, reject) => {
                const req = request({ host: "127.0.0.1", port, agent }, resolve);
                req.on("error", reject);
                req.end();
            });
            // As long as a response waits for its turn at its caller.
            await delay(20);
            await new Promise(resolve => res.resume().on("close", resolve));
            await delay(5);
            assert.equal(connections, i);
        }
    });
}
