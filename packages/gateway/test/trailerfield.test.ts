import assert from "node:assert/strict";
import { test } from "node:test";
import { requestText, responseText, sendRaw, startFrontend, startRawServer } from "./setup.js";

const trailer = "Trailer: x-sum\r\n";
const close = "Connection: close\r\n";

/** Returns the text of a response in chunks with the field. */
const chunkedText = (id: string, body: string): string =>
    `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n${trailer}Transfer-Encoding: chunked\r\n\r\n` +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

for (const body of ["hello", "x".repeat(100_000)]) {
    // Guards against the end of the process at a field that Node refuses to write on a response that isn't in chunks.
    test(`a response of ${body.length} bytes with a length and the field Trailer is relayed without the field`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) =>
            socket.write(responseText(id, body, trailer)),
        );
        const { port } = await startFrontend(t, [server]);
        for (const version of ["1.1", "1.0"]) {
            const request = requestText(version, { extra: close }).replace("HTTP/1.1", `HTTP/${version}`);
            const { text, end } = await sendRaw(port, request);
            assert.match(text, /^HTTP\/1\.1 200 /);
            assert.doesNotMatch(text, /\r\ntrailer:/i);
            assert.ok(text.endsWith(`\r\n\r\n${body}`));
            assert.equal(end, "closed");
        }
    });

    // Guards against status 500 in the place of a sound response.
    test(`a response of ${body.length} bytes in chunks with the field Trailer is relayed, with the field if in chunks`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id, head }) =>
            socket.write(
                head.startsWith("HEAD")
                    ? chunkedText(id, body).split(/(?<=\r\n\r\n)/)[0]!
                    : chunkedText(id, body),
            ),
        );
        const { port } = await startFrontend(t, [server]);
        const get = await sendRaw(port, requestText("a", { extra: close }));
        assert.match(
            get.text,
            /^HTTP\/1\.1 200 [^]*\r\nTrailer: x-sum\r\n[^]*\r\nTransfer-Encoding: chunked\r\n/i,
        );
        const old = await sendRaw(port, requestText("b", { extra: close }).replace("HTTP/1.1", "HTTP/1.0"));
        assert.match(old.text, /^HTTP\/1\.1 200 /);
        assert.ok(old.text.endsWith(`\r\n\r\n${body}`));
        const head = await sendRaw(port, requestText("c", { method: "HEAD", extra: close }));
        assert.match(head.text, /^HTTP\/1\.1 200 /);
    });
}

for (const method of ["GET", "POST", "DELETE", "OPTIONS"]) {
    // Guards against status 500 for a sound request.
    test(`a request ${method} with the field Trailer and no chunks is passed on without the field`, async t => {
        const server = await startRawServer(t, "s1", ({ socket, id }) =>
            socket.write(responseText(id, "hello")),
        );
        const { port } = await startFrontend(t, [server]);
        const body = method === "POST" ? "b" : "";
        const { text } = await sendRaw(port, requestText("a", { method, body, extra: trailer }));
        assert.match(text, /^HTTP\/1\.1 200 /);
        assert.doesNotMatch(server.requests[0]?.head ?? "", /trailer/i);
    });
}
