/** Clients pipeline three requests; the first one's server has turned slow, and the route's timeout passes. */

import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, rule, runCase } from "../lib/world.mjs";

const timeoutS = 0.8;
const clientDeadlineMs = 1_500;
const workMs = 96;
/** Five times the work, as of a server that has turned slow, of a request that takes more than twice the mean. */
const slowWorkMs = 5 * 220;
const clients = 12;
const firstBytes = 20_000;
/** The mean length of a download in the site file. */
const nextBytes = 90_000;
const routes = ["/lookups/", "/exports/"];

const bodyOf = (id, bytes) => Buffer.alloc(bytes, `${id} `);

await runCase(dirname(fileURLToPath(import.meta.url)), async (world, record) => {
    const bytesOf = id => (id.startsWith("first") ? firstBytes : nextBytes);
    /** Every second client's answers are sent in chunks. */
    const isChunked = id => Number(id.split("-")[1]) % 2 === 1;
    const answer = async (req, res, id) => {
        await delay(hasTrouble && id.startsWith("first") ? slowWorkMs : workMs);
        record.write(`${id}: has run`);
        if (!isChunked(id)) {
            res.setHeader("Content-Length", bytesOf(id));
        }
        res.writeHead(200);
        res.end(bodyOf(id, bytesOf(id)));
    };
    const server = await new Server("i-a", answer, 64).start();
    world.onEnd(() => server.close());
    register(world.store, "i-a", "exports", server.address, 64);
    configure(world.store, 1, [
        rule("exports", "/lookups/", "idempotent", timeoutS),
        rule("exports", "/exports/", "download", timeoutS),
    ]);
    await world.startEntries(2);
    const [entry] = world.entries;

    const breaches = [];
    for (let client = 0; client < clients; client++) {
        const connection = new Connection(entry.host, entry.port);
        const ids = ["first", "second", "third"].map(it => `${it}-${client}`);
        const route = routes[Math.floor(client / 2) % 2];
        connection.socket.write(
            ids.map(id => requestText("GET", `${route}${id}`, id, clientDeadlineMs)).join(""),
        );
        await Promise.race([connection.wait(ids.length), delay(clientDeadlineMs)]);
        connection.socket.destroy();
        const { answers, ended, incompleteBytes } = connection;
        for (const [i, id] of ids.entries()) {
            const found = answers[i];
            if (!found) {
                record.write(
                    `${id}: no complete answer; connection ${ended ?? "open"}, ${incompleteBytes} bytes of one`,
                );
                continue;
            }
            const { status, headers, body, end } = found;
            const expected = bodyOf(id, bytesOf(id));
            const whole = body.equals(expected);
            const signature = headers["x-server-signature"];
            record.write(
                `${route}${id}: status ${status}, signature ${signature}, ended by its ${end} after ${body.length} bytes` +
                    (signature ? `, ${whole ? "the server's body" : "NOT THE SERVER'S BODY"}` : ""),
            );
            if (status === 200 && signature && !whole) {
                const at = body.indexOf("HTTP/1.1 ");
                breaches.push(
                    `MIXED ${route}${id}: a success whose ${body.length} bytes aren't the server's ${expected.length}` +
                        (at < 0
                            ? ""
                            : `; from byte ${at} on they are another answer: ` +
                              JSON.stringify(body.subarray(at, at + 70).toString("latin1"))),
                );
            }
        }
    }
    return breaches;
});
