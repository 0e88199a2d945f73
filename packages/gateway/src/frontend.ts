/** The HTTP servers towards callers: routed requests, the question which addresses to use, readiness. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { ClientLimits } from "@bramleymoor/model/route";
import { CallError } from "@bramleymoor/protocol/errors";
import { rawErrorResponse } from "@bramleymoor/proxy/responses";
import { ConnectionTracker } from "@bramleymoor/proxy/connections";
import { writeErrorResponse } from "./errorresponse.js";

/** Serves routed requests. */
export class FrontendServer {
    readonly #server: Server;
    readonly #connections = new ConnectionTracker();
    /** Requests of a connection whose answers are not out yet. */
    readonly #open = new Map<Socket, number>();
    readonly #running = new Set<Promise<void>>();
    readonly #serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
    readonly #malformed: (reason: string, peer: string) => void;
    readonly #closing = new WeakSet<Socket>();
    #maxHeadBytes = mostHeadBytes;
    #stopping = false;

    /**
     * @param serve runs one request to its end; never rejects
     * @param malformed told of requests that can't be read
     */
    constructor(
        serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
        malformed: (reason: string, peer: string) => void,
    ) {
        this.#serve = serve;
        this.#malformed = malformed;
        this.#server = createServer({
            maxHeaderSize: mostHeadBytes,
            connectionsCheckingInterval: checkIntervalMs,
            requestTimeout: 0,
            noDelay: true,
        });
        this.#server.maxHeadersCount = 0;
        this.#server.on("connection", (socket: Socket) => this.#connections.track(socket));
        this.#server.on("request", (req: IncomingMessage, res: ServerResponse) => this.#take(req, res));
        this.#server.on("checkContinue", (req: IncomingMessage, res: ServerResponse) => {
            res.writeContinue();
            this.#take(req, res);
        });
        this.#server.on("clientError", (err: NodeJS.ErrnoException, socket) =>
            this.#unreadable(err, socket as Socket),
        );
    }

    /** Requests being answered. */
    get inFlight(): number {
        return this.#running.size;
    }

    /** Follows the configuration's limits. */
    setLimits(limits: ClientLimits): void {
        this.#maxHeadBytes = limits.maxHeaderBytes;
        this.#server.headersTimeout = limits.headerTimeoutMs;
        this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    }

    /** Starts to listen; port 0 lets the system choose. Gives the port. */
    listen(port: number, host: string): Promise<number> {
        return listenOn(this.#server, port, host);
    }

    /**
     * Headers of an answer on this request's connection: during a stop the connection closes with its last
     * answer, never before one that is still owed.
     */
    extraHeaders(req: IncomingMessage): readonly string[] {
        if (!this.#stopping || (this.#open.get(req.socket) ?? 0) > 1) {
            return [];
        }
        this.#closing.add(req.socket);
        return ["Connection", "close"];
    }

    /** From now on connections are closed with the last answer owed on them. */
    beginDrain(): void {
        this.#stopping = true;
    }

    /** Takes no new connections, closes idle ones, and resolves when every answer is out. */
    async drain(): Promise<void> {
        await this.#connections.closeAll(this.#server);
        await Promise.all(this.#running);
    }

    #take(req: IncomingMessage, res: ServerResponse): void {
        const { socket } = req;
        if (this.#closing.has(socket)) {
            return;
        }
        this.#connections.setResponse(socket, res);
        this.#open.set(socket, (this.#open.get(socket) ?? 0) + 1);
        res.once("close", () => this.#answered(socket));
        const problem = this.#headProblem(req);
        if (problem) {
            writeErrorResponse(res, problem, ["Connection", "close"]);
            return;
        }
        const work = this.#serve(req, res).finally(() => this.#running.delete(work));
        this.#running.add(work);
    }

    #answered(socket: Socket): void {
        const left = (this.#open.get(socket) ?? 1) - 1;
        if (left > 0) {
            this.#open.set(socket, left);
        } else {
            this.#open.delete(socket);
        }
    }

    #headProblem(req: IncomingMessage): CallError | undefined {
        const encoding = req.headers["transfer-encoding"];
        if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
            return new CallError("bad-request", "The only transfer encoding understood is chunked.");
        }
        const bytes = req.rawHeaders.reduce((sum, it) => sum + it.length + headerOverhead, 0);
        return bytes > this.#maxHeadBytes ? new CallError("head-too-large") : undefined;
    }

    #unreadable(err: NodeJS.ErrnoException, socket: Socket): void {
        const code = err.code ?? "unknown";
        this.#malformed(code, socket.remoteAddress ?? "");
        if (!socket.writable || code === "ECONNRESET" || this.#open.has(socket)) {
            socket.destroy();
            return;
        }
        const kind = code === "HPE_HEADER_OVERFLOW" ? "head-too-large" : "bad-request";
        socket.end(rawErrorResponse(new CallError(kind), "Bad Request"));
    }
}

/** A small server of one question and answer each, such as readiness. */
export class SimpleHttpServer {
    readonly #server: Server;

    constructor(answer: (req: IncomingMessage, res: ServerResponse) => void) {
        this.#server = createServer({ noDelay: true }, answer);
        this.#server.keepAliveTimeout = answerKeepMs;
    }

    /** Starts to listen; port 0 lets the system choose. Gives the port. */
    listen(port: number, host: string): Promise<number> {
        return listenOn(this.#server, port, host);
    }

    /** Closes the port and its connections. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }
}

const listenOn = (server: Server, port: number, host: string): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ port, host, backlog }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });

/** Largest head that the parser takes; the configuration's own limit is checked after it. */
const mostHeadBytes = 64 * 1024;
/** Bytes of ": " and line end for each pair of name and value, halved. */
const headerOverhead = 2;
/** Lateness of the parser's time-outs that callers don't notice. */
const checkIntervalMs = 1_000;
/** The platform looks at readiness each second, callers ask for addresses each two. */
const answerKeepMs = 5_000;
/** Connections that wait to be accepted while the process is busy. */
const backlog = 1_024;
