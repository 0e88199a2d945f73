/** The HTTP server for routed requests, and a simple one for readiness checks, address queries and metrics. */

import { createServer, IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Server as NetServer, Socket } from "node:net";
import { findRequestHeadProblem } from "@bramleymoor/input/heads";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import type { ClientLimits } from "@bramleymoor/model/route";
import { CallError } from "@bramleymoor/protocol/errors";
import { ConnectionTracker } from "@bramleymoor/proxy/connections";
import { discardRequest } from "@bramleymoor/proxy/discard";
import { Intake } from "@bramleymoor/proxy/intake";
import { OrderedResponse } from "@bramleymoor/proxy/orderedresponse";
import { ReadPauses } from "@bramleymoor/proxy/readpauses";
import { hasBody } from "@bramleymoor/proxy/request";
import { rawErrorResponse, toCallError } from "@bramleymoor/proxy/responses";
import { sendError } from "./errorresponse.js";

/** Dependencies of a `FrontendServer`. */
export interface FrontendOptions {
    /** Handles one request to its end. */
    readonly serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
    /** Called for each request that can't be parsed. */
    readonly onMalformed: (reason: string, peer: string) => void;
    /** Called for each error that isn't the caller's or a server's. */
    readonly onInternalError: (doing: string, err: unknown) => void;
    /** Called for each connection that is served, with the milliseconds that it may have waited. */
    readonly onServed: (waitMs: number) => void;
    /** Called for each connection that is closed unread, with the milliseconds that it has waited. */
    readonly onUnread: (waitMs: number) => void;
    /** Reads the connections. */
    readonly pacer: ReadPacer;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** Accepts callers' connections and passes on routed requests. */
export class FrontendServer {
    readonly #server: Server<typeof IncomingMessage, typeof OrderedResponse>;
    readonly #connections = new ConnectionTracker();
    readonly #intake: Intake;
    readonly #readPauses: ReadPauses;
    /** Requests per connection whose response isn't complete yet, in order. */
    readonly #pending = new Map<Socket, Map<OrderedResponse, IncomingMessage>>();
    readonly #running = new Set<Promise<void>>();
    readonly #serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
    readonly #onMalformed: (reason: string, peer: string) => void;
    readonly #onInternalError: (doing: string, err: unknown) => void;
    /** The request of each connection whose response closes it; later ones are ignored. */
    readonly #last = new WeakMap<Socket, IncomingMessage>();
    #maxHeadBytes = maxParserHeadBytes;
    #maxBodyBytes = 0;
    #draining = false;

    constructor({ serve, onMalformed, onInternalError, onServed, onUnread, pacer, clock }: FrontendOptions) {
        this.#serve = serve;
        this.#onMalformed = onMalformed;
        this.#onInternalError = onInternalError;
        this.#readPauses = new ReadPauses(clock);
        this.#server = createServer({
            IncomingMessage,
            ServerResponse: OrderedResponse,
            maxHeaderSize: maxParserHeadBytes,
            connectionsCheckingInterval: connectionCheckIntervalMs,
            requestTimeout: 0,
            noDelay: true,
        });
        this.#server.maxHeadersCount = 0;
        pacer.attachTo(this.#server);
        this.#server.on("connection", (socket: Socket) => {
            this.#readPauses.track(socket);
            onServed(this.#intake.waitMs(socket));
        });
        this.#intake = Intake.attach(this.#server, {
            onAccepted: socket => this.#connections.track(socket),
            onUnread,
            clock,
        });
        this.#server.on("request", (req, res) => this.#handle(req, res));
        this.#server.on("checkContinue", (req, res) => {
            res.writeContinue();
            this.#handle(req, res);
        });
        this.#server.on("clientError", (err: NodeJS.ErrnoException, socket) =>
            this.#handleClientError(err, socket as Socket),
        );
    }

    /** Whether connections have been arriving for a while faster than they can be accepted beside other work. */
    get isCrowded(): boolean {
        return this.#intake.isCrowded;
    }

    /** Number of requests in progress. */
    get inFlight(): number {
        return this.#running.size;
    }

    /**
     * Returns how long a request that is read now may have waited for its connection to be accepted, or to be read after a
     * pause, in milliseconds.
     */
    acceptWaitMs({ socket }: IncomingMessage): number {
        return Math.max(this.#intake.waitMs(socket), this.#readPauses.waitMs(socket));
    }

    /** Returns the number of pending requests on a request's connection that are to be answered before it. */
    countAhead({ socket }: IncomingMessage): number {
        return Math.max(0, (this.#pending.get(socket)?.size ?? 0) - 1);
    }

    /** Whether other requests are pending on a request's connection. */
    isPipelined({ socket }: IncomingMessage): boolean {
        return (this.#pending.get(socket)?.size ?? 0) > 1;
    }

    /** Whether later requests are pending on a request's connection. */
    isFollowed(req: IncomingMessage): boolean {
        return [...(this.#pending.get(req.socket)?.values() ?? [])].at(-1) !== req;
    }

    /** Resolves when no response before that of `req` is being streamed on its connection. */
    async endOfStreamAhead(req: IncomingMessage): Promise<void> {
        for (const [res, earlier] of this.#pending.get(req.socket) ?? []) {
            if (earlier === req) {
                return;
            }
            if (res.headersSent && !res.isEnded) {
                await new Promise(resolve => res.once("close", resolve));
            }
        }
    }

    /** Applies the limits of a newer configuration. */
    setLimits(limits: ClientLimits): void {
        this.#maxHeadBytes = limits.maxHeaderBytes;
        this.#maxBodyBytes = limits.maxBodyBytes;
        this.#server.headersTimeout = limits.headerTimeoutMs;
        this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    }

    /** Starts listening and returns the port; port 0 lets the operating system choose one. */
    listen(port: number, host: string): Promise<number> {
        return listenOn(this.#server, port, host);
    }

    /**
     * Returns the headers to add to the response to `req`. While draining, the first response of a connection decides that the
     * latest pending one closes it, so that one whose caller always has requests pending is closed too.
     */
    extraHeaders(req: IncomingMessage): readonly string[] {
        const { socket } = req;
        if (this.#draining && !this.#last.has(socket)) {
            const [res, latest] = [...(this.#pending.get(socket) ?? [])].at(-1) ?? [];
            if (latest && !res?.headersSent) {
                this.#last.set(socket, latest);
            }
        }
        return this.#last.get(socket) === req ? connectionClose : [];
    }

    /** Starts draining: from now on each connection is closed with its last pending response. */
    beginDrain(): void {
        this.#draining = true;
    }

    /** Accepts no new connections, closes idle ones, and resolves when all requests in progress have ended. */
    async drain(): Promise<void> {
        await this.#connections.closeAll(this.#server, it => this.#intake.isWaiting(it));
        await Promise.all(this.#running);
    }

    #handle(req: IncomingMessage, res: OrderedResponse): void {
        const { socket } = req;
        if (this.#last.has(socket)) {
            this.#connections.ignore(socket);
            discardRequest(req, this.#maxBodyBytes);
            return;
        }
        const admission = this.#connections.admit(socket, res);
        if (admission === "ignore") {
            discardRequest(req, this.#maxBodyBytes);
            return;
        }
        this.#addPending(req, res);
        const error = admission === "refuse" ? tooManyPending() : this.#validateHead(req);
        if (error) {
            this.#last.set(socket, req);
            sendError(res, error, connectionClose);
            discardRequest(req, this.#maxBodyBytes);
            return;
        }
        const work = this.#run(req, res).finally(() => this.#running.delete(work));
        this.#running.add(work);
    }

    async #run(req: IncomingMessage, res: OrderedResponse): Promise<void> {
        try {
            await this.#serve(req, res);
        } catch (err) {
            this.#onInternalError("handling a request", err);
            sendError(res, toCallError(err), this.extraHeaders(req));
        } finally {
            discardRequest(req, this.#maxBodyBytes);
        }
    }

    #addPending(req: IncomingMessage, res: OrderedResponse): void {
        const { socket } = req;
        const pending = this.#pending.get(socket) ?? new Map<OrderedResponse, IncomingMessage>();
        pending.set(res, req);
        this.#pending.set(socket, pending);
        res.once("close", () => {
            pending.delete(res);
            if (pending.size === 0) {
                this.#pending.delete(socket);
            }
        });
    }

    #validateHead(req: IncomingMessage): CallError | undefined {
        const encoding = req.headers["transfer-encoding"];
        if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
            return new CallError("bad-request", "The only transfer encoding understood is chunked.");
        }
        const problem = findRequestHeadProblem(req);
        if (problem !== undefined) {
            this.#onMalformed(problem, req.socket.remoteAddress ?? "");
            return new CallError("bad-request", `Malformed request: ${problem}.`);
        }
        const bytes = req.rawHeaders.reduce((sum, it) => sum + it.length + headerOverheadBytes, 0);
        return bytes > this.#maxHeadBytes ? new CallError("head-too-large") : undefined;
    }

    #handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
        const code = err.code ?? "unknown";
        this.#onMalformed(code, socket.remoteAddress ?? "");
        if (!socket.writable || code === "ECONNRESET" || this.#pending.has(socket)) {
            socket.destroy();
            return;
        }
        const kind = code === "HPE_HEADER_OVERFLOW" ? "head-too-large" : "bad-request";
        socket.end(rawErrorResponse(new CallError(kind), "Bad Request"));
    }
}

/** Handles a request of a `SimpleHttpServer`. */
export type SimpleHandler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

/** An HTTP server with a single request handler, such as the one for readiness. */
export class SimpleHttpServer {
    readonly #server: Server;

    /**
     * @param handler handles a request
     * @param onInternalError called with what it throws; the request then gets no response
     * @param pacer reads the connections
     */
    constructor(
        handler: SimpleHandler,
        onInternalError: (doing: string, err: unknown) => void,
        pacer: ReadPacer,
    ) {
        const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
            try {
                // No request here needs a body, and one may have no end.
                res.shouldKeepAlive &&= !hasBody(req);
                await handler(req, res);
            } catch (err) {
                onInternalError(`handling ${req.url}`, err);
                res.destroy();
            }
        };
        this.#server = createServer({ noDelay: true }, (req, res) => void handle(req, res));
        this.#server.keepAliveTimeout = simpleServerKeepAliveMs;
        pacer.attachTo(this.#server);
    }

    /** Starts listening and returns the port; port 0 lets the operating system choose one. */
    listen(port: number, host: string): Promise<number> {
        return listenOn(this.#server, port, host);
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }
}

const listenOn = (server: NetServer, port: number, host: string): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ port, host, backlog }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });

const connectionClose: readonly string[] = ["Connection", "close"];

const tooManyPending = (): CallError =>
    new CallError("overloaded", "Too many requests are pending on the connection.", pipelinedRetryMs);

/** Time after which a caller with too many pending requests may retry on another connection. */
const pipelinedRetryMs = 150;
/** Largest request head that the parser accepts, in bytes; the configured limit is checked after parsing. */
const maxParserHeadBytes = 64 * 1024;
/** Half of the 4 bytes of ": " and the line end, as names and values are counted separately. */
const headerOverheadBytes = 2;
/** Interval at which connection timeouts are checked; callers don't notice a delay of this length. */
const connectionCheckIntervalMs = 1_000;
/** Longer than the intervals of readiness checks (1 s) and of callers' address queries (2 s). */
const simpleServerKeepAliveMs = 5_000;
/** Maximum number of connections that wait to be accepted while the process is busy. */
const backlog = 1_024;
