/** An entry process is killed while it passes on answers that have no length. */

import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, rule, runCase } from "../lib/world.mjs";

const downloads = 10;
const pieces = 10;
const pieceBytes = 9_000;
const pieceIntervalMs = 50;

const bodyOf = id => Buffer.alloc(pieces * pieceBytes, `${id} `);

await runCase(dirname(fileURLToPath(import.meta.url)), async (world, record) => {
    const answer = async (req, res, id) => {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        const body = bodyOf(id);
        for (let at = 0; at < body.length && !res.destroyed; at += pieceBytes) {
            res.write(body.subarray(at, at + pieceBytes));
            await delay(pieceIntervalMs);
        }
        res.end();
    };
    const server = await new Server("i-a", answer, 32).start();
    world.onEnd(() => server.close());
    register(world.store, "i-a", "exports", server.address, 32);
    configure(world.store, 1, [rule("exports", "/exports/", "download")]);
    await world.startEntries(2);
    const [entry] = world.entries;

    const all = Array.from({ length: downloads }, (_, i) => {
        const id = `export-${i}`;
        const connection = new Connection(entry.host, entry.port);
        connection.socket.write(requestText("GET", `/exports/${i}`, id, 3_000));
        return { id, connection };
    });
    await delay((pieces * pieceIntervalMs) / 2);
    if (hasTrouble) {
        record.write(`${entry.host}: SIGKILL`);
        entry.process.kill("SIGKILL");
    }
    await Promise.all(all.map(it => it.connection.wait(1)));

    const breaches = [];
    for (const { id, connection } of all) {
        const [first] = connection.answers;
        const whole = first !== undefined && first.body.equals(bodyOf(id));
        record.write(
            `${id}: status ${first?.status}, signature ${first?.headers["x-server-signature"]}, ` +
                `Content-Length ${first?.headers["content-length"]}, Transfer-Encoding ${first?.headers["transfer-encoding"]}, ` +
                `${first?.body.length} of ${pieces * pieceBytes} bytes; connection ${connection.ended}`,
        );
        if (
            first?.status === 200 &&
            first.headers["x-server-signature"] &&
            first.end === "closed" &&
            !whole
        ) {
            breaches.push(
                `MIXED ${id}: a success that ended in order after ${first.body.length} of ${pieces * pieceBytes} bytes`,
            );
        }
    }
    return breaches;
});
