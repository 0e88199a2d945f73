import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const heads: Readonly<Record<string, string>> = {
    "200 with a length": "200 OK\r\nt-signed: 1\r\nContent-Length: 5",
    "200 in chunks": "200 OK\r\nt-signed: 1\r\nTransfer-Encoding: chunked",
    "200 without framing": "200 OK\r\nt-signed: 1\r\nConnection: close",
    "200 after 103": "103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nt-signed: 1\r\nContent-Length: 0",
    "204": "204 No Content\r\nt-signed: 1",
    "304": "304 Not Modified\r\nt-signed: 1",
    "500": "500 Failed\r\nt-signed: 1\r\nContent-Length: 5",
    "a refusal": "503 Busy\r\nt-not-run: 1\r\nContent-Length: 0",
};

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
    closes: socket => socket.end(),
    resets: socket => setTimeout(() => socket.resetAndDestroy(), 5),
};

const status = (bytes: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(bytes)?.[1] ?? 0);

for (const [what, text] of Object.entries(heads)) {
    for (const [how, end] of Object.entries(ends)) {
        test(`a server that stops within the head of ${what} and ${how} has given no response`, async t => {
            const headOf = (id: string): string => `HTTP/1.1 ${text}\r\nt-id: ${id}\r\n\r\n`;
            const server = await startRawServer(t, "s1", ({ socket, id }) => {
                if (id.startsWith("cut")) {
                    socket.write(headOf(id).slice(0, Number(id.slice(3))));
                    end(socket);
                } else {
                    socket.write(responseText(id, "whole"));
                }
            });
            const { port } = await startFrontend(t, [server], { kind: "non-idempotent", maxAttempts: 2 });
            for (let length = 1; length < headOf(`cut${length}`).length; length++) {
                const id = `cut${length}`;
                const first = requestText(id, { method: "POST", body: "x" });
                const behind = requestText(`behind${length}`, {
                    method: "POST",
                    body: "x",
                    extra: "Connection: close\r\n",
                });
                const result = await sendRaw(port, first + behind);
                const [cut = "", next = ""] = result.text.split(/(?=HTTP\/1\.1 )/);
                assert.equal(
                    server.requests.filter(it => it.id === id).length,
                    1,
                    `${id} ran more than once`,
                );
                assert.equal(status(cut), 502, `${id}: ${result.text}`);
                assert.match(next, /^HTTP\/1.1 200 [^]*whole$/, `behind ${id}: ${result.text}`);
            }
        });
    }
}
