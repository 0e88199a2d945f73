/** Stand-in of the platform over HTTP: docs/PROTOCOL-PLATFORM.md, and knobs for faults. */

import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { sleep } from "@bramleymoor/platform/timers";
import type { ListedVm } from "@bramleymoor/platform/vmlist";

/** Faults that can be put in at any time. */
export interface PlatformBehavior {
    /** Break every connection without an answer. */
    readonly down: boolean;
    /** Extra time before each call takes effect, in milliseconds. */
    readonly slowMs: number;
    /** How many of the next appends take effect but lose their answers. */
    readonly loseAnswers: number;
    /** How long records are kept, in milliseconds. */
    readonly retentionMs: number;
    /** Age of the VM list that is answered, in milliseconds. */
    readonly listLagMs: number;
}

/** Where the stand-in listens, and its first knobs. */
export interface PlatformServerOptions extends Partial<PlatformBehavior> {
    /** 0 lets the system choose. */
    readonly port: number;
    /** IP number; loopback if absent. */
    readonly host?: string;
}

/** A running stand-in. */
export class PlatformServer {
    /** The same data in this process, past the knobs `down` and `slowMs`. */
    readonly memory: MemoryPlatform;

    readonly #server: Server;
    #down = false;
    #slowMs = 0;

    constructor(options: PlatformServerOptions) {
        this.memory = new MemoryPlatform({ now: () => performance.now() });
        this.#server = createServer((req, res) => {
            this.#answer(req, res).catch(() => req.socket.destroy());
        });
        this.setBehavior(options);
    }

    /** "http://IP:port". */
    get url(): string {
        const { address, port } = this.#server.address() as AddressInfo;
        return `http://${address}:${port}`;
    }

    /** Turns the given knobs and leaves the others. */
    setBehavior(knobs: Partial<PlatformBehavior>): void {
        this.#down = knobs.down ?? this.#down;
        this.#slowMs = knobs.slowMs ?? this.#slowMs;
        this.memory.loseAnswers = knobs.loseAnswers ?? this.memory.loseAnswers;
        this.memory.retentionMs = knobs.retentionMs ?? this.memory.retentionMs;
        this.memory.listLagMs = knobs.listLagMs ?? this.memory.listLagMs;
        if (this.#down) {
            this.#server.closeAllConnections();
        }
    }

    /** Starts listening. */
    async listen(port: number, host: string): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
    }

    /** Stops, breaking open connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }

    async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = new URL(req.url ?? "/", "http://platform");
        if (url.pathname.startsWith("/test/")) {
            await this.#turn(url.pathname, req, res);
            return;
        }
        await sleep(this.#slowMs);
        if (this.#down) {
            req.socket.destroy();
            return;
        }
        await this.#serve(url, req, res);
    }

    async #serve(url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const stream = /^\/v1\/streams\/([^/]{1,200})\/records$/.exec(url.pathname)?.[1];
        if (stream !== undefined && req.method === "POST") {
            await this.#append(decodeURIComponent(stream), req, res);
        } else if (stream !== undefined && req.method === "GET") {
            await this.#read(decodeURIComponent(stream), url.searchParams, req, res);
        } else if (url.pathname === "/v1/vms" && req.method === "GET") {
            sendTagged(req, res, { vms: await this.memory.list() });
        } else {
            send(res, 404, { error: "no such path" });
        }
    }

    async #append(stream: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const data = await readAll(req);
        send(res, 201, { offset: await this.memory.append(stream, data) });
    }

    async #read(
        stream: string,
        query: URLSearchParams,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<void> {
        const from = Number(query.get("from"));
        const limit = Number(query.get("limit"));
        const waitMs = Number(query.get("waitMs"));
        if (![from, limit, waitMs].every(value => Number.isSafeInteger(value) && value >= 0)) {
            send(res, 400, { error: "from, limit and waitMs have to be whole numbers" });
            return;
        }
        const gone = new AbortController();
        res.once("close", () => gone.abort());
        const batch = await this.memory.read(stream, from, limit, waitMs, gone.signal);
        if (this.#down) {
            req.socket.destroy();
            return;
        }
        send(res, 200, batch);
    }

    async #turn(path: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body: unknown = JSON.parse(await readAll(req));
        if (path === "/test/knobs") {
            this.setBehavior(body as Partial<PlatformBehavior>);
        } else if (path === "/test/vms") {
            this.memory.setVms(body as readonly ListedVm[]);
        }
        send(res, 200, {});
    }
}

/** Starts a stand-in and answers once it listens. */
export const startPlatformServer = async (options: PlatformServerOptions): Promise<PlatformServer> => {
    const server = new PlatformServer(options);
    await server.listen(options.port, options.host ?? "127.0.0.1");
    return server;
};

const send = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/** Sends a body with its entity tag, or 304 to one who holds it. */
const sendTagged = (req: IncomingMessage, res: ServerResponse, body: unknown): void => {
    const text = JSON.stringify(body);
    const tag = `"${createHash("sha256").update(text).digest("base64url")}"`;
    if (req.headers["if-none-match"] === tag) {
        res.writeHead(304, { etag: tag }).end();
        return;
    }
    res.writeHead(200, { "content-type": "application/json", etag: tag });
    res.end(text);
};

const readAll = async (req: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};
