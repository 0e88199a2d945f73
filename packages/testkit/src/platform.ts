/** Simulated platform with the HTTP interface of docs/PROTOCOL-PLATFORM.md and with faults on demand. */

import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { sleep } from "@bramleymoor/platform/timers";
import type { ListedVm } from "@bramleymoor/platform/vmlist";

/** Simulated faults and delays, which may be changed at any time. */
export interface PlatformBehavior {
    /** Whether every connection is closed without a response. */
    readonly down: boolean;
    /** Delay before each request is processed, in milliseconds. */
    readonly slowMs: number;
    /** Number of the next appends that take effect but get no response. */
    readonly loseAnswers: number;
    /** Retention of records, in milliseconds. */
    readonly retentionMs: number;
    /** Age of the VM list in responses, in milliseconds. */
    readonly listLagMs: number;
}

/** Listening address and initial behavior of a PlatformServer. */
export interface PlatformServerOptions extends Partial<PlatformBehavior> {
    /** TCP port; 0 lets the system choose. */
    readonly port: number;
    /** IP address; 127.0.0.1 if absent. */
    readonly host?: string;
}

/** HTTP server in front of a MemoryPlatform. */
export class PlatformServer {
    /** The platform behind the server; direct calls to it are not affected by `down` and `slowMs`. */
    readonly memory: MemoryPlatform;

    readonly #server: Server;
    #down = false;
    #slowMs = 0;

    constructor(options: PlatformServerOptions) {
        this.memory = new MemoryPlatform({ now: () => performance.now() });
        this.#server = createServer((req, res) => {
            this.#handle(req, res).catch(() => req.socket.destroy());
        });
        this.setBehavior(options);
    }

    /** "http://IP:port". */
    get url(): string {
        const { address, port } = this.#server.address() as AddressInfo;
        return `http://${address}:${port}`;
    }

    /** Changes the given fields of the behavior and keeps the others. */
    setBehavior(behavior: Partial<PlatformBehavior>): void {
        this.#down = behavior.down ?? this.#down;
        this.#slowMs = behavior.slowMs ?? this.#slowMs;
        this.memory.loseResponses = behavior.loseAnswers ?? this.memory.loseResponses;
        this.memory.retentionMs = behavior.retentionMs ?? this.memory.retentionMs;
        this.memory.listLagMs = behavior.listLagMs ?? this.memory.listLagMs;
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

    /** Stops the server and closes open connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = new URL(req.url ?? "/", "http://platform");
        if (url.pathname.startsWith("/test/")) {
            await this.#handleTestRequest(url.pathname, req, res);
            return;
        }
        await sleep(this.#slowMs);
        if (this.#down) {
            req.socket.destroy();
            return;
        }
        await this.#handlePlatformRequest(url, req, res);
    }

    async #handlePlatformRequest(url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const stream = /^\/v1\/streams\/([^/]{1,200})\/records$/.exec(url.pathname)?.[1];
        if (stream !== undefined && req.method === "POST") {
            await this.#append(decodeURIComponent(stream), req, res);
        } else if (stream !== undefined && req.method === "GET") {
            await this.#read(decodeURIComponent(stream), url.searchParams, req, res);
        } else if (url.pathname === "/v1/vms" && req.method === "GET") {
            sendJsonWithEtag(req, res, { vms: await this.memory.list() });
        } else {
            sendJson(res, 404, { error: "no such path" });
        }
    }

    async #append(stream: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const data = await readBody(req);
        sendJson(res, 201, { offset: await this.memory.append(stream, data) });
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
            sendJson(res, 400, { error: "from, limit and waitMs have to be whole numbers" });
            return;
        }
        const disconnected = new AbortController();
        res.once("close", () => disconnected.abort());
        const batch = await this.memory.read(stream, from, limit, waitMs, disconnected.signal);
        if (this.#down) {
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, batch);
    }

    async #handleTestRequest(path: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body: unknown = JSON.parse(await readBody(req));
        if (path === "/test/knobs") {
            this.setBehavior(body as Partial<PlatformBehavior>);
        } else if (path === "/test/vms") {
            this.memory.setVms(body as readonly ListedVm[]);
        }
        sendJson(res, 200, {});
    }
}

/** Starts a simulated platform; resolves once it listens. */
export const startPlatformServer = async (options: PlatformServerOptions): Promise<PlatformServer> => {
    const server = new PlatformServer(options);
    await server.listen(options.port, options.host ?? "127.0.0.1");
    return server;
};

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/** Sends a JSON body with its ETag, or status 304 if the client already has it. */
const sendJsonWithEtag = (req: IncomingMessage, res: ServerResponse, body: unknown): void => {
    const text = JSON.stringify(body);
    const etag = `"${createHash("sha256").update(text).digest("base64url")}"`;
    if (req.headers["if-none-match"] === etag) {
        res.writeHead(304, { etag }).end();
        return;
    }
    res.writeHead(200, { "content-type": "application/json", etag });
    res.end(text);
};

const readBody = async (req: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};
