/** One malformed answer to a look-up, while orders are at work on kept connections; another kind for each entry process. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:net";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { plainAnswer, Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, rule, runCase } from "../lib/world.mjs";

const orderMs = 800;
const keptConnections = 10;
/** Of the rule: closed without an answer more often than this. */
const allowedLost = 3;

const sound = { name: "sound", status: "200 OK", header: "" };
/** Bytes that are no response of HTTP: no such status, no such header name, and a name that JavaScript objects treat apart. */
const malformed = [
    { name: "status 000", status: "000 OK", header: "" },
    { name: "header name with a space", status: "200 OK", header: "X Trace: 1\r\n" },
    { name: "header __proto__", status: "200 OK", header: "__proto__: 1\r\n" },
];

/** A server that answers look-ups at once, the one with the path /lookups/N/ with the N-th of the malformed answers if it is faulty. */
const startLookupServer = async (world, record, id) => {
    const server = createServer(socket => {
        let input = "";
        socket.on("error", () => undefined);
        socket.on("data", data => {
            input += data.toString("latin1");
            for (let end = input.indexOf("\r\n\r\n"); end >= 0; end = input.indexOf("\r\n\r\n")) {
                const head = input.slice(0, end);
                input = input.slice(end + 4);
                socket.write(answerTo(head));
            }
        });
    });
    const answerTo = head => {
        if (head.startsWith("GET /healthz ")) {
            return `HTTP/1.1 200 OK\r\nX-Instance-Id: ${id}\r\nX-Server-Load: 0,0,8,100\r\nContent-Length: 0\r\n\r\n`;
        }
        const [, kind] = /^GET \/lookups\/(\d) /.exec(head);
        const [, requestId] = /^x-request-id: (.*)$/im.exec(head);
        const { name, status, header } = hasTrouble ? malformed[kind] : sound;
        record.write(`${requestId}: ran at ${id}, answer: ${name}`);
        return (
            `HTTP/1.1 ${status}\r\nX-Request-Id: ${requestId}\r\nX-Server-Signature: s-${requestId}\r\n${header}` +
            `X-Server-Load: 0,0,8,100\r\nContent-Length: 5\r\n\r\nboard`
        );
    };
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    world.onEnd(() => server.close());
    register(world.store, id, "lookups", `127.0.0.1:${server.address().port}`);
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (world, record) => {
    const work = (req, res, id) => plainAnswer(id.startsWith("first") ? 20 : orderMs, body)(req, res);
    const body = Buffer.from("ordered");
    const orders = await new Server("i-orders", work, 32).start();
    world.onEnd(() => orders.close());
    register(world.store, "i-orders", "orders", orders.address, 32);
    await startLookupServer(world, record, "i-lookups");
    configure(world.store, 1, [
        rule("orders", "/orders/", "non_idempotent"),
        rule("lookups", "/lookups/", "idempotent"),
    ]);
    await world.startEntries(malformed.length);

    const breaches = [];
    for (const [kind, entry] of world.entries.entries()) {
        const { host, port } = entry;
        const kept = Array.from({ length: keptConnections }, () => new Connection(host, port));
        for (const [i, connection] of kept.entries()) {
            connection.socket.write(
                requestText("POST", "/orders/new", `first-${kind}-${i}`, 3_000, "an order"),
            );
            await connection.wait(1);
            record.write(`first-${kind}-${i}: status ${connection.answers[0]?.status}`);
        }
        kept.forEach((it, i) =>
            it.socket.write(requestText("POST", "/orders/new", `order-${kind}-${i}`, 3_000, "an order")),
        );
        await delay(orderMs / 4);
        const lookup = new Connection(host, port);
        lookup.socket.write(requestText("GET", `/lookups/${kind}`, `lookup-${kind}`, 2_000));
        await Promise.all([...kept.map(it => it.wait(2)), lookup.wait(1)]);
        await delay(100);

        record.write(
            `lookup-${kind}: status ${lookup.answers[0]?.status}, connection ${lookup.ended ?? "open"}`,
        );
        let lost = 0;
        for (const [i, { answers, ended }] of kept.entries()) {
            const id = `order-${kind}-${i}`;
            const runs = orders.runs.filter(it => it === id).length;
            lost += runs > 0 && !answers[1] ? 1 : 0;
            record.write(`${id}: ran ${runs}, status ${answers[1]?.status}, connection ${ended ?? "open"}`);
        }
        record.write(`entry process ${host}: ${entry.ended}`);
        if (entry.ended !== "running") {
            world.logTail(entry, 9).forEach(it => record.write(`its log: ${it}`));
        }
        if (lost > allowedLost) {
            breaches.push(
                `LOST at ${host}, after ${malformed[kind].name}: ${lost} orders at work at a sound server, their kept ` +
                    `connections closed without an answer; the process: ${entry.ended}`,
            );
        }
    }
    return breaches;
});
