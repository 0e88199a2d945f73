/** Clients pipeline three requests; the first one's server has turned slow, and the route's timeout passes. */

import { Buffer } from "node:buffer";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath, URL } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, requireThat, rule, runCase } from "../lib/world.mjs";

const timeoutS = 0.8;
const clientDeadlineMs = 1_500;
const workMs = 96;
/** How much longer work takes at the server that turns slow; the site file has up to 12. */
const slowFactor = 12;
/** The first two turn slow, which is a share of 0.4 as in the site file. */
const servers = 5;
const slowServers = 2;
/** Each gets requests only once: later on, it sends fewer of them to the servers that are slow. */
const entryProcesses = 5;
const clientsAtOnce = 12;
/** The mean length of a download in the site file, whose other requests have answers of up to 30,000 bytes. */
const answerBytes = 90_000;
/** Share of the requests that has to be served for the case to say anything; two servers of five are slow, and hold up others. */
const leastServed = 0.95;
const leastServedWhileSlow = 0.2;
const routes = ["/lookups/", "/exports/"];

const bodyOf = (id, bytes) => Buffer.alloc(bytes, `${id} `);

const recordPath = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(recordPath, async (world, record) => {
    /** Every second client's answers are sent in chunks. */
    const isChunked = id => Number(id.split("-")[1]) % 2 === 1;
    let hasTurnedSlow = false;
    const answerOf = turnsSlow => async (req, res, id) => {
        const ms = turnsSlow && hasTurnedSlow ? slowFactor * workMs : workMs;
        await delay(ms);
        record.write(`${id}: has run, in ${ms} ms`);
        if (!isChunked(id)) {
            res.setHeader("Content-Length", answerBytes);
        }
        res.writeHead(200);
        res.end(bodyOf(id, answerBytes));
    };
    for (let i = 0; i < servers; i++) {
        const answer = answerOf(i < slowServers);
        const id = `i-${i}`;
        const server = await new Server(id, answer, 16).start();
        world.onEnd(() => server.close());
        register(world.store, id, "exports", server.address, 16);
    }
    configure(world.store, 1, [
        rule("exports", "/lookups/", "idempotent", timeoutS),
        rule("exports", "/exports/", "download", timeoutS),
    ]);
    await world.startEntries(entryProcesses);

    const breaches = [];
    let successes = 0;
    const runClient = async (entry, client) => {
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
            const expected = bodyOf(id, answerBytes);
            const whole = body.equals(expected);
            const signature = headers["x-server-signature"];
            successes += status === 200 && signature ? 1 : 0;
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
    };
    hasTurnedSlow = hasTrouble;
    for (const [i, entry] of world.entries.entries()) {
        const clients = Array.from({ length: clientsAtOnce }, (_, k) => i * clientsAtOnce + k);
        await Promise.all(clients.map(it => runClient(entry, it)));
    }
    const requests = 3 * clientsAtOnce * entryProcesses;
    record.write(`${successes} of ${requests} answers are successes`);
    const share = hasTrouble ? leastServedWhileSlow : leastServed;
    requireThat(successes >= requests * share, "enough successes to judge");
    return breaches;
});
