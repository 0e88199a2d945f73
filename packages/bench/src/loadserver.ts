/**
 * Backend servers for a load, all in one process. Usage: node loadserver.js COUNT SLOTS.
 *
 * Each responds to /PATH?id=ID&bytes=N&workMs=M with N bytes of the id's pattern, after M milliseconds in one of its
 * slots. Prints {"admin": port, "ports": [...]}; GET /runs on the admin port returns how often each id
 * sent as bm-request-id has run.
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { formatLoadHeader } from "@bramleymoor/protocol/messages";
import { responseHeaders, callHeaders, loadPath } from "@bramleymoor/protocol/headers";
import { repeatSendId } from "@bramleymoor/testkit/backend";
import { delay } from "./clock.js";
import { BodyPattern } from "./loadpattern.js";

const host = "127.0.0.1";

const chunkBytes = 65_536;

/** One backend server. */
class LoadServer {
    readonly #slots: number;
    readonly #runs: Map<string, number>;
    readonly #waiting: (() => void)[] = [];
    #usedSlots = 0;
    #inFlight = 0;
    #latencyMs = 0;

    constructor(slots: number, runs: Map<string, number>) {
        this.#slots = slots;
        this.#runs = runs;
    }

    async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        repeatSendId(req, res);
        const url = new URL(req.url ?? "/", "http://load");
        if (url.pathname === loadPath) {
            res.end(
                JSON.stringify({ inFlight: this.#inFlight, latencyMs: this.#latencyMs, draining: false }),
            );
            return;
        }
        this.#inFlight++;
        try {
            await this.#handle(req, res, url.searchParams);
        } finally {
            this.#inFlight--;
        }
    }

    async #handle(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): Promise<void> {
        const received = await readLength(req);
        await this.#acquireSlot();
        try {
            this.#countRun(req.headers[callHeaders.requestId]);
            const workMs = Number(query.get("workMs"));
            this.#latencyMs = workMs;
            await delay(workMs);
            const report = { inFlight: this.#inFlight, latencyMs: this.#latencyMs, draining: false };
            const bytes = Number(query.get("bytes"));
            res.writeHead(200, {
                [responseHeaders.load]: formatLoadHeader(report),
                "content-length": bytes,
                "x-received-bytes": received,
            });
            await writeBody(res, query.get("id") ?? "", bytes);
        } finally {
            this.#releaseSlot();
        }
    }

    #countRun(id: string | readonly string[] | undefined): void {
        if (typeof id === "string") {
            this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
        }
    }

    async #acquireSlot(): Promise<void> {
        if (this.#usedSlots >= this.#slots) {
            await new Promise<void>(resolve => this.#waiting.push(resolve));
            return;
        }
        this.#usedSlots++;
    }

    #releaseSlot(): void {
        const next = this.#waiting.shift();
        if (next) {
            next();
        } else {
            this.#usedSlots--;
        }
    }
}

const readLength = async (req: IncomingMessage): Promise<number> => {
    let bytes = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    return bytes;
};

const writeBody = async (res: ServerResponse, id: string, bytes: number): Promise<void> => {
    const pattern = new BodyPattern(id);
    for (let offset = 0; offset < bytes && !res.destroyed; offset += chunkBytes) {
        const hasRoom = res.write(pattern.bytes(offset, Math.min(chunkBytes, bytes - offset)));
        if (!hasRoom) {
            await new Promise<void>(resolve => {
                res.once("drain", resolve);
                res.once("close", resolve);
            });
        }
    }
    res.end();
};

const listen = async (server: Server): Promise<number> => {
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return (server.address() as AddressInfo).port;
};

const start = async (count: number, slots: number): Promise<void> => {
    const runs = new Map<string, number>();
    const ports: number[] = [];
    for (let i = 0; i < count; i++) {
        const backend = new LoadServer(slots, runs);
        const server = createServer({ requestTimeout: 0 }, (req, res) => {
            backend.serve(req, res).catch(() => res.destroy());
        });
        ports.push(await listen(server));
    }
    const admin = createServer((_req, res) => res.end(JSON.stringify(Object.fromEntries(runs))));
    console.log(JSON.stringify({ admin: await listen(admin), ports }));
};

const [count = "1", slots = "2"] = process.argv.slice(2);
await start(Number(count), Number(slots));
