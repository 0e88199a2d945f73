/** One answer with an impossible status code, while orders are at work on kept connections. */

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

/** A server that answers each look-up at once, with a status that is not one if it is faulty. */
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
        const [, requestId] = /^x-request-id: (.*)$/im.exec(head);
        const status = hasTrouble ? "000" : "200";
        record.write(`look-up ${requestId} ran at ${id}, answered with status ${status}`);
        return (
            `HTTP/1.1 ${status} OK\r\nX-Request-Id: ${requestId}\r\nX-Server-Signature: s-${requestId}\r\n` +
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
    await world.startEntries(2);
    const [entry] = world.entries;

    const kept = Array.from({ length: keptConnections }, () => new Connection(entry.host, entry.port));
    for (const [i, connection] of kept.entries()) {
        connection.socket.write(requestText("POST", "/orders/new", `first-${i}`, 3_000, "an order"));
        await connection.wait(1);
        record.write(`first-${i}: status ${connection.answers[0]?.status}`);
    }
    kept.forEach((it, i) =>
        it.socket.write(requestText("POST", "/orders/new", `order-${i}`, 3_000, "an order")),
    );
    await delay(orderMs / 4);
    const lookup = new Connection(entry.host, entry.port);
    lookup.socket.write(requestText("GET", "/lookups/1", "lookup-1", 2_000));
    await Promise.all([...kept.map(it => it.wait(2)), lookup.wait(1)]);
    await delay(100);

    record.write(`lookup-1: status ${lookup.answers[0]?.status}, connection ${lookup.ended ?? "open"}`);
    const lost = [];
    for (const [i, { answers, ended }] of kept.entries()) {
        const runs = orders.runs.filter(it => it === `order-${i}`).length;
        record.write(`order-${i}: ran ${runs}, status ${answers[1]?.status}, connection ${ended ?? "open"}`);
        if (runs > 0 && !answers[1]) {
            lost.push(`LOST order-${i}: at work at a sound server, and its kept connection was closed`);
        }
    }
    record.write(`entry process: ${entry.ended}`);
    if (entry.ended !== "running") {
        world.logTail(entry, 9).forEach(it => record.write(`its log: ${it}`));
    }
    return lost.length > allowedLost ? lost : [];
});
