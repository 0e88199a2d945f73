import assert from "node:assert/strict";
import { test } from "node:test";
import { registeredFieldNames } from "@bramleymoor/testkit/fieldnames";
import { sendOrder, sendRaw, sendRequest, setUpRaw } from "./setup.js";

const withLength = (field: string): string => `Content-Length: 5\r\n${field}\r\nhello`;
const inChunks = (field: string, trailer = ""): string =>
    `${field}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n${trailer}\r\n`;

// Guards against status 500 in the place of a response: Node refuses to write Trailer on one that isn't in chunks.
test("a response with a length is passed on without the field Trailer", async t => {
    const { proxy } = await setUpRaw(t, withLength("Trailer: x-sum\r\n"));
    const response = await sendRequest(proxy.port);
    assert.deepEqual([response.status, response.text, response.headers.trailer], [200, "hello", undefined]);
});

test("a response in chunks keeps the field Trailer, and its trailers", async t => {
    const { proxy } = await setUpRaw(t, inChunks("Trailer: x-sum\r\n", "x-sum: 2\r\n"));
    const response = await sendRequest(proxy.port);
    assert.deepEqual(
        [response.status, response.text, response.headers.trailer, response.trailers],
        [200, "hello", "x-sum", { "x-sum": "2" }],
    );
});

// Guards against the same where a response in chunks goes to a caller who gets none.
test("a response in chunks with the field Trailer reaches callers of HEAD and of HTTP/1.0", async t => {
    const { proxy } = await setUpRaw(t, inChunks("Trailer: x-sum\r\n"));
    const text = await sendRaw(proxy.port, "GET /v1/call/desk/list HTTP/1.0\r\nHost: h\r\n\r\n");
    assert.match(text, /^HTTP\/1\.1 200 [^]*\r\n\r\nhello$/);
    const pipelined = `GET /v1/call/desk/list HTTP/1.1\r\nHost: h\r\n\r\n`;
    const behind = await sendRaw(
        proxy.port,
        `${pipelined}GET /v1/call/desk/list HTTP/1.0\r\nHost: h\r\n\r\n`,
    );
    assert.match(behind, /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 200 [^]*\r\n\r\nhello$/);
});

test("a response to HEAD with the field Trailer is passed on", async t => {
    const { proxy } = await setUpRaw(t, "Trailer: x-sum\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert.equal((await sendRequest(proxy.port, { method: "HEAD" })).status, 200);
});

test("a stored response with the field Trailer is sent again, also to a caller of HTTP/1.0", async t => {
    const { proxy, requests } = await setUpRaw(t, inChunks("Trailer: x-sum\r\n"));
    const ticket = proxy.issueTicket();
    assert.equal((await sendOrder(proxy, "o-1", { ticket })).status, 200);
    assert.equal((await sendOrder(proxy, "o-1", { ticket })).status, 200);
    const again = await sendRaw(
        proxy.port,
        `POST /v1/call/desk/orders HTTP/1.0\r\nHost: h\r\nbm-ticket: ${ticket}\r\nbm-request-id: o-1\r\n` +
            `Content-Length: 9\r\n\r\norder o-1`,
    );
    assert.match(again, /^HTTP\/1\.1 200 [^]*\r\n\r\nhello$/);
    assert.equal(requests.length, 1);
});

for (const method of ["GET", "POST", "DELETE", "OPTIONS"]) {
    // Guards against status 500 for a sound request.
    test(`a request ${method} with the field Trailer is passed on without it, unless it is in chunks`, async t => {
        const { proxy, requests } = await setUpRaw(t, withLength(""));
        const framings: Readonly<Record<string, string>> = {
            "Content-Length": "Content-Length: 0\r\n\r\n",
            "Transfer-Encoding": "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "no framing": "\r\n",
        };
        for (const [framing, text] of Object.entries(framings)) {
            const response = await sendRaw(
                proxy.port,
                `${method} /v1/call/desk/list HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTrailer: x-sum\r\n${text}`,
            );
            assert.match(response, /^HTTP\/1\.1 200 /, framing);
            assert.equal(
                /\r\ntrailer: x-sum\r\n/i.test(requests.at(-1) ?? ""),
                framing === "Transfer-Encoding",
                framing,
            );
        }
    });
}

// Guards against status 500, and changed bytes: behind a length, Node decodes the value of Content-Disposition.
test("a response with any registered field and a length is passed on, before and behind the length", async t => {
    let response = "";
    const { proxy } = await setUpRaw(t, () => response);
    const value = Buffer.from('attachment; filename="é日本"').toString("latin1");
    const framingFields: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);
    for (const name of registeredFieldNames.filter(it => !framingFields.has(it.toLowerCase()))) {
        const field = `${name}: ${value}\r\n`;
        for (const head of [`Content-Length: 5\r\n${field}`, `${field}Content-Length: 5\r\n`]) {
            response = `${head}\r\nhello`;
            const { status, text, headers } = await sendRequest(proxy.port);
            assert.deepEqual([status, text], [200, "hello"], name);
            assert.ok(name !== "Content-Disposition" || headers["content-disposition"] === value);
        }
    }
});

test("a request's Content-Disposition behind its length is passed on unchanged", async t => {
    const { proxy, requests } = await setUpRaw(t, withLength(""));
    const field = `Content-Disposition: form-data; name="caf\xe9"\r\n`;
    const text = await sendRaw(
        proxy.port,
        `POST /v1/call/desk/list HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n${field}\r\nb`,
    );
    assert.match(text, /^HTTP\/1\.1 200 /);
    assert.ok(requests[0]?.includes(`\r\n${field}`));
});
