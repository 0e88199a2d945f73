/** The HTTP server for callers. */

import { createServer, IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";
import { findRequestHeadProblem } from "@bramleymoor/input/heads";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { addressesPathPrefix, callPathPrefix } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import { sendError, sendJson, toCallError, rawErrorResponse } from "./responses.js";
import { BackendClient } from "./backend.js";
import { ConnectionTracker } from "./connections.js";
import { discardRequest } from "./discard.js";
import { Intake } from "./intake.js";
import { OrderedResponse } from "./orderedresponse.js";
import { ReadPauses } from "./readpauses.js";
import { RetryBudgets } from "./retries.js";
import { defaultLimits, type CallLimits, type CallServerOptions } from "./services.js";
import { TimerSet } from "./timers.js";
import { CallTask, type CallTaskOptions } from "./task.js";

type OrderedServer = Server<typeof IncomingMessage, typeof OrderedResponse>;

/** Serves address queries and calls. */
export class CallServer {
    readonly #options: CallTaskOptions;
    readonly #limits: CallLimits;
    readonly #server: OrderedServer;
    readonly #running = new Set<Promise<void>>();
    readonly #connections = new ConnectionTracker();
    readonly #intake: Intake;
    readonly #readPauses: ReadPauses;
    #lastId = 0;
    #stopping = false;

    constructor(options: CallServerOptions, limits: Partial<CallLimits> = {}) {
        this.#limits = { ...defaultLimits, ...limits };
        const timers = new TimerSet(options.clock, timerPeriodMs);
        const pacer = new ReadPacer(options.clock);
        this.#readPauses = new ReadPauses(options.clock);
        this.#options = {
            ...options,
            timers,
            client: new BackendClient(this.#limits, timers, pacer, options.clock),
            retryBudgets: new RetryBudgets(),
            extraHeaders: () => (this.#stopping ? connectionClose : noHeaders),
            nextId: () => ++this.#lastId,
            acceptWaitMs: ({ socket }) =>
                Math.max(this.#intake.waitMs(socket), this.#readPauses.waitMs(socket)),
        };
        this.#server = this.#createServer();
        pacer.attachTo(this.#server);
        this.#intake = Intake.attach(this.#server, {
            onAccepted: socket => this.#connections.track(socket),
            onUnread: waitMs => options.observer.connectionUnread(waitMs),
            clock: options.clock,
        });
    }

    /** Number of calls and address queries in progress. */
    get inFlight(): number {
        return this.#running.size;
    }

    /** Removes the retry budgets of services that the accepted configuration no longer has. */
    retainServices(services: ReadonlyMap<string, unknown>): void {
        this.#options.retryBudgets.retainServices(services);
    }

    /** Starts listening and resolves with the port; port 0 lets the system choose one. */
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
     * Shuts down gracefully: for `drainMs` milliseconds, keeps serving callers that have cached this address, with
     * "Connection: close"; then stops listening, closes idle connections and resolves when all responses are sent.
     */
    async stop(drainMs: number): Promise<void> {
        this.#stopping = true;
        await new Promise(resolve => setTimeout(resolve, drainMs));
        await this.#connections.closeAll(this.#server, it => this.#intake.isWaiting(it));
        await Promise.all(this.#running);
        this.#options.client.close();
    }

    #createServer(): OrderedServer {
        const limits = this.#limits;
        const server = createServer({
            IncomingMessage,
            ServerResponse: OrderedResponse,
            maxHeaderSize: limits.maxHeadBytes,
            headersTimeout: limits.headTimeoutMs,
            connectionsCheckingInterval: Math.min(limits.headTimeoutMs, maxCheckIntervalMs),
            keepAliveTimeout: limits.callerIdleMs,
            requestTimeout: 0,
            noDelay: true,
        });
        server.on("connection", (socket: Socket) => {
            this.#readPauses.track(socket);
        });
        server.maxConnections = limits.callerConnections;
        server.maxHeadersCount = 0;
        server.on("request", (req, res) => this.#handleRequest(req, res));
        server.on("checkContinue", (req, res) => this.#handleRequest(req, res));
        server.on("upgrade", (_req: IncomingMessage, socket: Duplex) => refuseUpgrade(socket));
        server.on("connect", (_req: IncomingMessage, socket: Duplex) => refuseUpgrade(socket));
        server.on("clientError", (err: NodeJS.ErrnoException, socket: Duplex) =>
            this.#handleClientError(err, socket),
        );
        return server;
    }

    #handleRequest(req: IncomingMessage, res: OrderedResponse): void {
        const admission = this.#connections.admit(req.socket, res);
        if (admission !== "serve") {
            discardRequest(req, maxRestBytes);
        }
        if (admission === "refuse") {
            sendError(res, new CallError("not-decided", tooManyPending, pipelinedRetryMs), connectionClose);
        }
        if (admission !== "serve") {
            return;
        }
        const problem = findHeadProblem(req);
        if (problem !== undefined) {
            sendError(res, new CallError("bad-request", problem), connectionClose);
            discardRequest(req, maxRestBytes);
            return;
        }
        const work = this.#route(req, res);
        this.#running.add(work);
        work.finally(() => this.#running.delete(work)).catch(() => undefined);
    }

    async #route(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = req.url ?? "";
        try {
            if (url.startsWith(callPathPrefix)) {
                await new CallTask(this.#options, req, res).run();
            } else {
                await this.#handleAddresses(req, res, url);
            }
        } finally {
            discardRequest(req, maxRestBytes);
        }
    }

    async #handleAddresses(req: IncomingMessage, res: ServerResponse, url: string): Promise<void> {
        const { extraHeaders, services } = this.#options;
        try {
            const service = parseAddressesTarget(req.method, url);
            sendJson(res, await services.addresses(service), extraHeaders());
        } catch (err) {
            sendError(res, toCallError(err), extraHeaders());
        }
    }

    #handleClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
        const code = err.code ?? "unknown";
        this.#options.observer.badRequest(code, (socket as Socket).remoteAddress ?? "");
        const response = this.#connections.unfinishedResponse(socket);
        // In the middle of a request, "not run" could be wrong: close the connection without a response.
        if (!socket.writable || code === "ECONNRESET" || (response && !response.isEnded)) {
            socket.destroy();
            return;
        }
        if (response) {
            return;
        }
        socket.end(
            rawErrorResponse(new CallError("bad-request", badRequestTexts[code] ?? ""), "Bad Request"),
        );
    }
}

const timerPeriodMs = 10;
/** Of a request that has been answered, the longest rest that is read so that its connection can be used again, in bytes. */
const maxRestBytes = 1024 * 1024;
const maxHeaderCount = 200;
const maxCheckIntervalMs = 5000;
const noHeaders: readonly string[] = [];
const tooManyPending = "Too many requests are pending on the connection.";
const pipelinedRetryMs = 150;
const connectionClose: readonly string[] = ["Connection", "close"];

const badRequestTexts: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "The request's head is too large.",
    ERR_HTTP_REQUEST_TIMEOUT: "The request's head took too long.",
};

/** Returns why a request that Node's parser accepts can't be forwarded safely; undefined if it can. */
const findHeadProblem = (req: IncomingMessage): string | undefined => {
    if (req.rawHeaders.length > 2 * maxHeaderCount) {
        return `The request has more than ${maxHeaderCount} headers.`;
    }
    const encoding = req.headers["transfer-encoding"];
    if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
        return "The only transfer encoding understood is chunked.";
    }
    const problem = findRequestHeadProblem(req);
    return problem === undefined ? undefined : `Malformed request: ${problem}.`;
};

const parseAddressesTarget = (method: string | undefined, url: string): string => {
    const service = url.slice(addressesPathPrefix.length);
    if (method !== "GET" || !url.startsWith(addressesPathPrefix) || !/^[\w.-]{1,64}$/.test(service)) {
        throw new CallError("unknown-path");
    }
    return service;
};

const refuseUpgrade = (socket: Duplex): void => {
    socket.end(rawErrorResponse(new CallError("upgrade-refused"), "Not Implemented"));
};
