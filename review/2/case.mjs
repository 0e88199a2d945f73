/** One malformed answer to a look-up, while orders are at work on kept connections; another kind for each entry process. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath, URL } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { plainAnswer, Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, requireThat, rule, runCase } from "../lib/world.mjs";

const orderMs = 1_500;
const keptConnections = 10;
/** Of the rule: closed without an answer more often than this. */
const allowedLost = 3;

/** One in so many answers of the faulty server is malformed; the site file has up to 0.03 of the answers, at 0.6 of the servers. */
const answersPerFault = 50;
/** Look-ups that are served before the orders are sent, and sent at most after that. */
const answersBeforeOrders = 45;
const maxLookups = 1_000;

const sound = { name: "sound", status: "200 OK", header: "" };
/** Bytes that are no response of HTTP, as there is no such status and no such header name. */
const malformed = [
    { name: "status 000", status: "000 OK", header: "" },
    { name: "header name with a space", status: "200 OK", header: "X Trace: 1\r\n" },
];

/** Answers look-ups at once; every 50th answer is malformed if the server is faulty, in the way that the path names. */
class LookupServer {
    answers = 0;
    #id;
    #isFaulty;
    #record;

    constructor(id, isFaulty, record) {
        this.#id = id;
        this.#isFaulty = isFaulty;
        this.#record = record;
    }

    async start(world) {
        const server = createServer(socket => {
            let input = "";
            socket.on("error", () => undefined);
            socket.on("data", data => {
                input += data.toString("latin1");
                for (let end = input.indexOf("\r\n\r\n"); end >= 0; end = input.indexOf("\r\n\r\n")) {
                    socket.write(this.#answer(input.slice(0, end)));
                    input = input.slice(end + 4);
                }
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        world.onEnd(() => server.close());
        register(world.store, this.#id, "lookups", `127.0.0.1:${server.address().port}`);
        return this;
    }

    #answer(head) {
        const load = "X-Server-Load: 0,0,8,100\r\n";
        if (head.startsWith("GET /healthz ")) {
            return `HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.#id}\r\n${load}Content-Length: 0\r\n\r\n`;
        }
        const [, kind] = /^GET \/lookups\/(\d) /.exec(head);
        const [, requestId] = /^x-request-id: (.*)$/im.exec(head);
        this.answers++;
        const isSpoilt = this.#isFaulty && this.answers % answersPerFault === 0;
        const { name, status, header } = isSpoilt ? malformed[kind] : sound;
        this.#record.write(`${requestId}: ran at ${this.#id}, answer ${this.answers}: ${name}`);
        return (
            `HTTP/1.1 ${status}\r\nX-Request-Id: ${requestId}\r\nX-Server-Signature: s-${requestId}\r\n${header}` +
            `${load}Content-Length: 5\r\n\r\nboard`
        );
    }
}

const recordPath = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(recordPath, async (world, record) => {
    const work = (req, res, id) => plainAnswer(id.startsWith("first") ? 20 : orderMs, body)(req, res);
    const body = Buffer.from("ordered");
    const orders = await new Server("i-orders", work, 32).start();
    world.onEnd(() => orders.close());
    register(world.store, "i-orders", "orders", orders.address, 32);
    const faulty = await new LookupServer("i-lookups-1", hasTrouble, record).start(world);
    await new LookupServer("i-lookups-2", false, record).start(world);
    configure(world.store, 1, [
        rule("orders", "/orders/", "non_idempotent"),
        rule("lookups", "/lookups/", "idempotent"),
    ]);
    await world.startEntries(malformed.length);

    const breaches = [];
    for (const [kind, entry] of world.entries.entries()) {
        const { host, port } = entry;
        /** Sends look-ups one by one until the first server has answered `count` in all, or the connection ends. */
        const lookUp = async (name, count) => {
            const connection = new Connection(host, port);
            for (let i = 1; i <= maxLookups && faulty.answers < count && !connection.ended; i++) {
                connection.socket.write(
                    requestText("GET", `/lookups/${kind}`, `${name}-${kind}-${i}`, 2_000),
                );
                await connection.wait(i);
            }
            const statuses = connection.answers.map(it => it.status);
            record.write(
                `${name}-${kind}: ${statuses.filter(it => it === 200).length} of ${statuses.length} answers are 200; ` +
                    `connection ${connection.ended ?? "open"}`,
            );
            connection.socket.destroy();
        };
        const answersBefore = kind * answersPerFault;
        await lookUp("before", answersBefore + answersBeforeOrders);
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
        await delay(orderMs / 8);
        await lookUp("meanwhile", answersBefore + answersPerFault);
        requireThat(faulty.answers === answersBefore + answersPerFault, "the 50th answer of the server");
        await Promise.all(kept.map(it => it.wait(2)));
        await delay(100);

        let lost = 0;
        for (const [i, { answers, ended }] of kept.entries()) {
            const id = `order-${kind}-${i}`;
            const runs = orders.runs.filter(it => it === id).length;
            requireThat(runs === 1, `a run of ${id}`);
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
