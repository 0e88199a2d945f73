/** An entry process is killed while it passes on answers that have no length. */

import { Buffer } from "node:buffer";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath, URL } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, requireThat, rule, runCase } from "../lib/world.mjs";

const clients = 10;
/** Of each client, one after the other; only the last answer has no length, which is a share of 0.05 as in the site file. */
const downloads = 20;
const pieces = 10;
const pieceBytes = 9_000;
const pieceIntervalMs = 50;

const bodyOf = id => Buffer.alloc(pieces * pieceBytes, `${id} `);

const recordPath = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(recordPath, async (world, record) => {
    const answer = async (req, res, id) => {
        const body = bodyOf(id);
        if (req.url !== "/exports/last") {
            res.setHeader("Content-Length", body.length);
            res.end(body);
            return;
        }
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
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

    const all = Array.from({ length: clients }, (_, i) => ({
        id: `export-${i}`,
        connection: new Connection(entry.host, entry.port),
    }));
    for (const { id, connection } of all) {
        for (let i = 1; i < downloads; i++) {
            connection.socket.write(requestText("GET", "/exports/new", `${id}-${i}`, 3_000));
            await connection.wait(i);
            const whole = connection.answers[i - 1]?.body.equals(bodyOf(`${id}-${i}`));
            record.write(
                `${id}-${i}: status ${connection.answers[i - 1]?.status}, ${whole ? "whole" : "not whole"}`,
            );
        }
    }
    all.forEach(({ id, connection }) =>
        connection.socket.write(requestText("GET", "/exports/last", id, 3_000)),
    );
    await delay((pieces * pieceIntervalMs) / 2);
    if (hasTrouble) {
        record.write(`${entry.host}: SIGKILL`);
        entry.process.kill("SIGKILL");
    }
    await Promise.all(all.map(it => it.connection.wait(downloads)));

    const breaches = [];
    for (const { id, connection } of all) {
        const first = connection.answers[downloads - 1];
        requireThat(first?.status === 200, `a success for ${id}`);
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
