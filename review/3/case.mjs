/** One entry process is killed and started again just as a server's entry is removed from the store. */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath, URL } from "node:url";
import { Connection, requestText } from "../lib/client.mjs";
import { plainAnswer, Server } from "../lib/server.mjs";
import { configure, hasTrouble, register, requireThat, rule, runCase } from "../lib/world.mjs";

const rounds = 8;
const drainMs = 2_000;
/** A server that has left serves for `drain_s` and a while longer, then exits. */
const servesOnMs = 6_000;
const workMs = 150;
const requestIntervalMs = 25;
const restartDelayMs = 100;

const recordPath = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(recordPath, async (world, record) => {
    let lastServer = 0;
    const addServer = async () => {
        const id = `i-${++lastServer}`;
        const server = await new Server(id, plainAnswer(workMs, Buffer.from("ordered")), 8).start();
        world.onEnd(() => server.close());
        server.unregister = register(world.store, id, "orders", server.address, 8);
        return server;
    };
    const servers = [await addServer(), await addServer(), await addServer()];
    configure(world.store, 1, [rule("orders", "/orders/", "non_idempotent")]);
    await world.startEntries(2);

    const sentAt = new Map();
    const statuses = new Map();
    let target = world.entries[0];
    let isSending = true;
    const sendOne = async () => {
        const id = `order-${sentAt.size}`;
        const connection = new Connection(target.host, target.port);
        sentAt.set(id, performance.now());
        connection.socket.write(requestText("POST", "/orders/new", id, 2_000, "an order"));
        await connection.wait(1);
        statuses.set(id, connection.answers[0]?.status ?? connection.ended);
        connection.socket.destroy();
    };
    const sending = (async () => {
        while (isSending) {
            void sendOne();
            await delay(requestIntervalMs);
        }
    })();

    const breaches = [];
    for (let round = 0; round < rounds; round++) {
        // Only one of the entry processes, the one that reads the store for all, matters; the case doesn't know which.
        const killed = world.entries[round % 2];
        target = world.entries[(round + 1) % 2];
        servers.push(await addServer());
        await delay(2_000 + Math.random() * 600);
        const leaving = servers.shift();
        leaving.unregister();
        const removedAt = performance.now();
        record.write(`${leaving.id}: its entry is removed, which the store acknowledges`);
        if (hasTrouble) {
            record.write(`${killed.host}: killed, and started again after ${restartDelayMs} ms`);
            await world.restart(killed, restartDelayMs);
        }
        await delay(removedAt + servesOnMs - performance.now());
        const late = leaving.runs.filter(it => sentAt.get(it) > removedAt + drainMs);
        leaving.close();
        await delay(300);
        const lost = late.filter(it => statuses.get(it) !== 200);
        const lastMs = late.length > 0 ? Math.round(sentAt.get(late.at(-1)) - removedAt) : 0;
        record.write(
            `${leaving.id}: has run ${late.length} requests that ${target.host}, undisturbed since the round before, was sent later than ` +
                `${drainMs} ms after; the last one ${lastMs} ms after. ${lost.length} were at work when it exited and got ` +
                `no success (${lost.map(it => `${it}: ${statuses.get(it)}`).join(", ")})`,
        );
        if (late.length > 0) {
            breaches.push(`DRAIN ${leaving.id}: ${late.length} requests, the last one ${lastMs} ms after`);
        }
    }
    isSending = false;
    await sending;
    const served = [...statuses.values()].filter(it => it === 200).length;
    record.write(`${sentAt.size} requests, ${served} served`);
    requireThat(served > sentAt.size * 0.9, "a success for nine requests in ten");
    return breaches;
});
