import assert from "node:assert/strict";
import { createHmac } from "node:crypto";
import { createSocket } from "node:dgram";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { publish } from "@bramleymoor/config/publisher";
import { configTextOf, sharedKey, startNode, startPlatformAndBackend } from "./setup.js";

/** Sends bytes to "IP:port" and resolves to what arrives until the connection closes. */
const sendBytes = (address: string, bytes: Buffer): Promise<string> =>
    new Promise(resolve => {
        const [host = "", port = ""] = address.split(":");
        const socket = connect(Number(port), host, () => socket.end(bytes));
        let received = "";
        socket.on("data", chunk => (received += chunk.toString("latin1")));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });

const head = (method: string, target: string, extra = ""): Buffer =>
    Buffer.from(
        `${method} ${target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${sharedKey}\r\nConnection: close\r\n${extra}\r\n`,
        "latin1",
    );

const targets: readonly string[] = [
    "",
    "/",
    "//[",
    "http://[",
    "/%",
    "/%zz",
    "/%c3%28",
    "/\xff\xfe",
    "/?%",
    "/?input=%",
    "/?batch=1&input=%zz",
    `/${"x".repeat(10_000)}`,
    `/${"x".repeat(100_000)}`,
    "*",
];

const prefixes = (base: readonly string[]): readonly string[] =>
    base.flatMap(path => targets.map(it => path + it));

const startServing = async (t: TestContext) => {
    const { platform, backend } = await startPlatformAndBackend(t);
    const node = await startNode(t, "entry-1", platform);
    await publish(platform, configTextOf(backend), 0, { id: "p1", random: () => 0.5 });
    await node.waitForEvent("ready");
    return node;
};

const statusOf = (response: string): number => Number(/^HTTP\/1\.1 (\d{3}) /.exec(response)?.[1]);

test("a malformed target gets a client error from the operators' port", async t => {
    const { addresses } = await startServing(t);
    for (const target of prefixes(["", "/explain", "/status", "/metrics", "/histograms"])) {
        const status = statusOf(await sendBytes(addresses.operators, head("GET", target)));
        assert.ok(
            (status >= 400 && status < 500) || ["/status", "/metrics", "/histograms"].includes(target),
            `${target.slice(0, 40)}: ${status}`,
        );
    }
    assert.equal(statusOf(await sendBytes(addresses.operators, head("GET", "/status"))), 200);
});

test("a malformed target or body gets a client error from the peers' port", async t => {
    const { addresses } = await startServing(t);
    for (const target of prefixes(["", "/gossip", "/config", "/addresses", "/hint", "/gossip,config"])) {
        for (const method of ["GET", "POST"]) {
            const response = await sendBytes(addresses.peers, head(method, target));
            const status = statusOf(response);
            assert.ok(
                status >= 400 && status < 500,
                `${method} ${target.slice(0, 40)}: ${response.slice(0, 500)}`,
            );
        }
    }
    const bodies = [
        "",
        "{",
        "null",
        "[]",
        '"x"',
        "\xff\xfe",
        "x".repeat(100_000),
        '{"v":1,"service":""}x',
        '{"v":1,"service":7}',
    ];
    for (const path of ["/gossip", "/config", "/addresses", "/hint"]) {
        for (const body of bodies) {
            for (const type of [
                "application/json",
                "text/plain",
                "\xff",
                "multipart/form-data",
                "multipart/form-data; boundary=x",
            ]) {
                const extra = `Content-Type: ${type}\r\nContent-Length: ${body.length}\r\n`;
                const bytes = Buffer.concat([head("POST", path, extra), Buffer.from(body, "latin1")]);
                const response = await sendBytes(addresses.peers, bytes);
                const status = statusOf(response);
                assert.ok(
                    status >= 400 && status < 500,
                    `${path} ${type} ${body.slice(0, 40)}: ${response.slice(0, 600)}`,
                );
            }
        }
    }
    const query = '{"v":1,"service":"desk"}';
    const extra = `Content-Type: application/json\r\nContent-Length: ${query.length}\r\n`;
    const valid = Buffer.concat([head("POST", "/addresses", extra), Buffer.from(query)]);
    assert.equal(statusOf(await sendBytes(addresses.peers, valid)), 200);
});

test("malformed slot datagrams are ignored", async t => {
    const { addresses } = await startServing(t);
    const [host = "", port = ""] = addresses.peers.split(":");
    const socket = createSocket("udp4");
    t.after(() => socket.close());
    const bodies = [
        "",
        "{",
        "null",
        "\xff\xfe",
        "[]",
        "x".repeat(60_000),
        '{"id":"a","service":"desk","message":{}}',
    ];
    for (const body of bodies) {
        const data = Buffer.from(body, "latin1");
        const mac = createHmac("sha256", sharedKey).update(data).digest().subarray(0, 16);
        for (const bytes of [data, Buffer.concat([mac, data]), mac]) {
            await new Promise(resolve => socket.send(bytes, Number(port), host, resolve));
        }
    }
    assert.equal(statusOf(await sendBytes(addresses.operators, head("GET", "/status"))), 200);
});
