/** A sound backend server, whose answers a case can shape. */

import { once } from "node:events";
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

export class Server {
    id;
    /** Ids of the requests that it has begun to run, in order. */
    runs = [];
    address = "";
    #server;
    #slots;
    #running = 0;

    /** @param answer is called as answer(req, res, id) for each request that runs; it ends `res` */
    constructor(id, answer, slots = 8) {
        this.id = id;
        this.#slots = slots;
        this.#server = createServer((req, res) => this.#handle(req, res, answer));
        this.#server.keepAliveTimeout = 10_000;
    }

    async start(host = "127.0.0.1") {
        this.#server.listen(0, host);
        await once(this.#server, "listening");
        this.address = `${host}:${this.#server.address().port}`;
        return this;
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    get load() {
        return `${this.#running},0,${this.#slots},100`;
    }

    async #handle(req, res, answer) {
        res.setHeader("X-Server-Load", this.load);
        if (req.url === "/healthz") {
            res.setHeader("X-Instance-Id", this.id);
            res.end();
            return;
        }
        const id = String(req.headers["x-request-id"]);
        res.setHeader("X-Request-Id", id);
        if (req.headers["x-expect-instance"] !== this.id) {
            res.statusCode = 421;
            res.setHeader("X-Not-Executed", "1");
            res.end();
            return;
        }
        req.resume();
        this.runs.push(id);
        this.#running++;
        res.once("close", () => this.#running--);
        res.setHeader("X-Server-Signature", `sig-${id}`);
        res.setHeader("X-Server-Load", this.load);
        await answer(req, res, id);
    }
}

/** An answer after some work. */
export const plainAnswer = (workMs, body) => async (req, res) => {
    await delay(workMs);
    res.setHeader("Content-Length", body.length);
    res.end(body);
};
