/** A client stops reading a long answer for two seconds, in which the route's timeout passes. */

import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { pipeline, Readable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, rule, runCase } from "../lib/world.mjs";

const timeoutS = 1;
const clientDeadlineMs = 8_000;
const pauseMs = 2_000;
const maxDownloads = 64;
const downloadsAtOnce = 8;
const stepBytes = 8_000;
/** Downloads are this much shorter and longer than what the buffers hold. */
const shorterBytes = 40_000;
const longerBytes = 200_000;
const pieceBytes = 65_536;
/** Length of the answer to the look-up behind a download. */
const nextBytes = 64_000;
/** Longer than what the buffers between an entry process and a client hold. */
const measuringBytes = 24_000_000;

const bodyOf = (id, bytes) => Buffer.alloc(bytes, `${id} `);

await runCase(dirname(fileURLToPath(import.meta.url)), async (world, record) => {
    /** Length of the answer to each request, and whether it is sent in chunks. */
    const shapes = new Map();
    const answer = async (req, res, id) => {
        const { bytes, chunked } = shapes.get(id);
        if (!chunked) {
            res.setHeader("Content-Length", bytes);
        }
        res.writeHead(200);
        const body = bodyOf(id, bytes);
        const pieces = Array.from({ length: Math.ceil(bytes / pieceBytes) }, (_, i) =>
            body.subarray(i * pieceBytes, (i + 1) * pieceBytes),
        );
        pipeline(Readable.from(pieces), res, () => undefined);
    };
    const server = await new Server("i-a", answer, 64).start();
    world.onEnd(() => server.close());
    register(world.store, "i-a", "exports", server.address, 64);
    configure(world.store, 1, [rule("exports", "/exports/", "download", timeoutS)]);
    await world.startEntries(2);
    const [entry] = world.entries;

    const send = (connection, id, bytes, chunked) => {
        shapes.set(id, { bytes, chunked });
        connection.socket.write(requestText("GET", `/exports/${id}`, id, clientDeadlineMs));
    };
    /** Sends downloads at the same time, each with a look-up pipelined behind it. */
    const download = async (name, sizes, pauses) => {
        const all = sizes.map((bytes, i) => {
            const connection = new Connection(entry.host, entry.port);
            const id = `${name}-${i}`;
            const chunked = i % 2 === 1;
            send(connection, id, bytes, chunked);
            send(connection, `${id}-next`, nextBytes, false);
            if (pauses) {
                connection.socket.pause();
            }
            return { id, bytes, chunked, connection };
        });
        if (pauses) {
            await delay(pauseMs);
            all.forEach(it => it.connection.socket.resume());
        }
        await Promise.race([Promise.all(all.map(it => it.connection.wait(2))), delay(3_000)]);
        all.forEach(it => it.connection.socket.destroy());
        return all;
    };

    // How much of an answer the buffers between the entry process and a client hold depends on the system.
    const measured = await download("measure", [measuringBytes, measuringBytes, measuringBytes], true);
    const buffered = measured.filter((_, i) => i % 2 === 0).map(it => it.connection.incompleteBytes);
    record.write(`clients that don't read are sent ${buffered.join(", ")} bytes`);
    const sizes = [];
    for (
        let bytes = Math.min(...buffered) - shorterBytes;
        bytes < Math.max(...buffered) + longerBytes && sizes.length < maxDownloads;
        bytes += stepBytes
    ) {
        sizes.push(bytes);
    }

    const breaches = [];
    const all = [];
    for (let at = 0; at < sizes.length; at += downloadsAtOnce) {
        const some = sizes.slice(at, at + downloadsAtOnce);
        all.push(...(await download(`export-${at / downloadsAtOnce}`, some, hasTrouble)));
    }
    for (const { id, bytes, chunked, connection } of all) {
        const { answers, ended, incompleteBytes } = connection;
        const [first, second] = answers;
        const whole = first !== undefined && first.body.equals(bodyOf(id, bytes));
        record.write(
            `${id}: ${bytes} bytes ${chunked ? "in chunks" : "with a length"}; ` +
                (first
                    ? `status ${first.status}, signature ${first.headers["x-server-signature"]}, ended by its ${first.end} ` +
                      `after ${first.body.length} bytes, ${whole ? "whole" : "NOT the server's body"}`
                    : `no complete answer, ${incompleteBytes} bytes of one`) +
                `; ${second ? `next: status ${second.status}` : "no next answer"}; connection ${ended ?? "open"}`,
        );
        if (first?.status === 200 && first.headers["x-server-signature"] && first.end !== "reset" && !whole) {
            const at = first.body.indexOf("HTTP/1.1 ");
            breaches.push(
                `MIXED ${id}: a success with ${first.body.length} bytes that aren't the server's ${bytes}` +
                    (at < 0
                        ? ""
                        : `; from byte ${at} on they are the answer to the next request: ` +
                          JSON.stringify(first.body.subarray(at).toString("latin1").slice(0, 60))),
            );
        }
    }
    return breaches;
});
