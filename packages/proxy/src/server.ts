/** The HTTP server for callers. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";
import { addressesPrefix, callPrefix } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/kinds";
import { answerError, answerJson, asCallError, rawError } from "./answers.js";
import { BackendClient } from "./backend.js";
import { Connections } from "./connections.js";
import { Retries } from "./retries.js";
import { defaultLimits, type CallLimits, type CallParts } from "./services.js";
import { Sweep } from "./sweep.js";
import { CallTask, type TaskParts } from "./task.js";

/** Serves callers: answers "which addresses" and runs calls. */
export class CallServer {
    readonly #parts: TaskParts;
    readonly #limits: CallLimits;
    readonly #server: Server;
    readonly #running = new Set<Promise<void>>();
    readonly #connections = new Connections();
    #lastId = 0;
    #stopping = false;

    constructor(parts: CallParts, limits: Partial<CallLimits> = {}) {
        this.#limits = { ...defaultLimits, ...limits };
        const sweep = new Sweep(parts.clock, sweepPeriodMs);
        this.#parts = {
            ...parts,
            sweep,
            client: new BackendClient(this.#limits, sweep, parts.clock),
            retries: new Retries(),
            extraHeaders: () => (this.#stopping ? closing : open),
            nextId: () => ++this.#lastId,
        };
        this.#server = this.#createServer();
    }

    /** Calls and questions being answered. */
    get inFlight(): number {
        return this.#running.size;
    }

    /** Starts to listen; port 0 lets the system choose. Gives the port. */
    listen(port: number, host: string): Promise<number> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, () => {
                this.#server.off("error", reject);
                resolve((this.#server.address() as AddressInfo).port);
            });
        });
    }

    /**
     * Planned stop: goes on serving the holders of old answers for `drainMs`, with "Connection: close", then
     * closes the port and idle connections, and resolves when the last byte in flight has gone out.
     */
    async stop(drainMs: number): Promise<void> {
        this.#stopping = true;
        await new Promise(resolve => setTimeout(resolve, drainMs));
        await this.#connections.closeAll(this.#server);
        await Promise.all(this.#running);
        this.#parts.client.close();
    }

    #createServer(): Server {
        const limits = this.#limits;
        const server = createServer({
            maxHeaderSize: limits.maxHeadBytes,
            headersTimeout: limits.headTimeoutMs,
            connectionsCheckingInterval: Math.min(limits.headTimeoutMs, checkIntervalMs),
            keepAliveTimeout: limits.callerIdleMs,
            requestTimeout: 0,
            noDelay: true,
        });
        server.on("connection", (socket: Socket) => this.#connections.opened(socket));
        server.maxConnections = limits.callerConnections;
        server.maxHeadersCount = 0;
        server.on("request", (req: IncomingMessage, res: ServerResponse) => this.#take(req, res));
        server.on("checkContinue", (req: IncomingMessage, res: ServerResponse) => this.#take(req, res));
        server.on("upgrade", (_req: IncomingMessage, socket: Duplex) => refuseUpgrade(socket));
        server.on("connect", (_req: IncomingMessage, socket: Duplex) => refuseUpgrade(socket));
        server.on("clientError", (err: NodeJS.ErrnoException, socket: Duplex) =>
            this.#badRequest(err, socket),
        );
        return server;
    }

    #take(req: IncomingMessage, res: ServerResponse): void {
        this.#connections.answering(req.socket, res);
        const problem = headProblem(req);
        if (problem !== undefined) {
            answerError(res, new CallError("bad-request", problem), closing);
            return;
        }
        const work = this.#serve(req, res);
        this.#running.add(work);
        work.finally(() => this.#running.delete(work)).catch(() => undefined);
    }

    async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = req.url ?? "";
        if (url.startsWith(callPrefix)) {
            await new CallTask(this.#parts, req, res).run();
        } else {
            await this.#answer(req, res, url);
        }
    }

    async #answer(req: IncomingMessage, res: ServerResponse, url: string): Promise<void> {
        const { extraHeaders, services } = this.#parts;
        try {
            const service = addressesOf(req.method, url);
            answerJson(res, await services.addresses(service), extraHeaders());
        } catch (err) {
            answerError(res, asCallError(err), extraHeaders());
        }
    }

    #badRequest(err: NodeJS.ErrnoException, socket: Duplex): void {
        const code = err.code ?? "unknown";
        this.#parts.observer.badRequest(code, (socket as Socket).remoteAddress ?? "");
        const answer = this.#connections.unfinished(socket);
        // Mid-request, "not run" could be false: break the connection without an answer.
        if (!socket.writable || code === "ECONNRESET" || (answer && !answer.writableEnded)) {
            socket.destroy();
            return;
        }
        if (answer) {
            return;
        }
        socket.end(rawError(new CallError("bad-request", badRequestTexts[code] ?? ""), "Bad Request"));
    }
}

const sweepPeriodMs = 10;
const maxHeaders = 200;
const checkIntervalMs = 5000;
const open: readonly string[] = [];
const closing: readonly string[] = ["Connection", "close"];

const badRequestTexts: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "The request's head is too large.",
    ERR_HTTP_REQUEST_TIMEOUT: "The request's head took too long.",
};

/** What Node's parser lets pass but can't be sent on safely. */
const headProblem = (req: IncomingMessage): string | undefined => {
    if (req.rawHeaders.length > 2 * maxHeaders) {
        return `The request has more than ${maxHeaders} headers.`;
    }
    const encoding = req.headers["transfer-encoding"];
    return encoding === undefined || encoding.toLowerCase() === "chunked"
        ? undefined
        : "The only transfer encoding understood is chunked.";
};

const addressesOf = (method: string | undefined, url: string): string => {
    const service = url.slice(addressesPrefix.length);
    if (method !== "GET" || !url.startsWith(addressesPrefix) || !/^[\w.-]{1,64}$/.test(service)) {
        throw new CallError("unknown-path");
    }
    return service;
};

const refuseUpgrade = (socket: Duplex): void => {
    socket.end(rawError(new CallError("upgrade-refused"), "Not Implemented"));
};
