/** Fake backend server over HTTP, with configurable load and faults and with counts of the requests that it ran. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { formatLoadHeader, type LoadReport } from "@bramleymoor/protocol/messages";
import { responseHeaders, callHeaders, loadPath } from "@bramleymoor/protocol/headers";

/** Point in a request's processing at which the server resets the connection, if any. */
export type ResetPoint =
    | "never"
    /** After the request head, without reading the body; the request isn't run. */
    | "before-reading"
    /** After the first chunk of the body; the request isn't run. */
    | "while-reading"
    /** After the whole request; the request is run. */
    | "after-reading"
    /** Halfway through the response body; the request is run. */
    | "while-answering";

/** Behavior of a fake backend server, which may be changed while the server runs. */
export interface BackendBehavior {
    /** Processing time of a request once it has a slot, in milliseconds. */
    serviceMs: number;
    /** Number of requests processed at the same time; others wait. */
    slots: number;
    /** Whether every request is answered with `failStatus` at once, without being run. */
    failFast: boolean;
    /** HTTP status code for `failFast`. */
    failStatus: number;
    /** Number of requests in progress from which new ones are refused with "shed". */
    shedAt: number;
    /** Whether every request is refused with "drain". */
    draining: boolean;
    /** When the server resets the connection of each request. */
    cut: ResetPoint;
    /** Size of the response body in bytes; if undefined, the body is the text "ran REQUEST-ID". */
    answerBytes: number | undefined;
    /** Text of the response body if `answerBytes` is undefined, instead of "ran REQUEST-ID". */
    answerText: string | undefined;
    /** Delay after each chunk of a body of `answerBytes`, in milliseconds. */
    chunkPauseMs: number;
    /** Whether responses have the bm-load header. */
    reportsLoad: boolean;
    /** Whether responses repeat the id of the send. */
    repeatsSendId: boolean;
    /** Keep-alive timeout of an idle connection, in milliseconds; read at startup only. */
    idleMs: number;
}

/** Counters of a fake backend server. */
export interface BackendCounts {
    /** Number of times that each request id was run. */
    readonly runs: Readonly<Record<string, number>>;
    /** Number of requests that were run, with or without a request id. */
    readonly ran: number;
    readonly refused: number;
    /** Number of requests to the load endpoint. */
    readonly probes: number;
    /** Number of requests whose connection closed before the whole response was sent. */
    readonly cancelled: number;
    readonly inFlight: number;
    readonly maxInFlight: number;
    /** Number of requests that were run while the server was draining; refused ones are not counted. */
    readonly ranWhileDraining: number;
    readonly connections: number;
}

/** Behavior of a fast server without faults. */
export const defaultBehavior: Readonly<BackendBehavior> = {
    serviceMs: 0,
    slots: 2,
    failFast: false,
    failStatus: 500,
    shedAt: Infinity,
    draining: false,
    cut: "never",
    answerBytes: undefined,
    answerText: undefined,
    chunkPauseMs: 0,
    reportsLoad: true,
    repeatsSendId: true,
    idleMs: 5000,
};

/** A fake backend server. */
export class FakeBackend {
    readonly behavior: BackendBehavior;
    readonly #server: Server;
    readonly #runs = new Map<string, number>();
    readonly #slotWaiters: (() => void)[] = [];
    #usedSlots = 0;
    #ran = 0;
    #refused = 0;
    #probes = 0;
    #cancelled = 0;
    #inFlight = 0;
    #maxInFlight = 0;
    #ranWhileDraining = 0;
    #connections = 0;
    #port = 0;

    constructor(behavior: BackendBehavior) {
        this.behavior = behavior;
        this.#server = createServer({ keepAliveTimeout: behavior.idleMs, requestTimeout: 0, noDelay: true });
        this.#server.on("request", (req: IncomingMessage, res: ServerResponse) => {
            this.#handle(req, res).catch(() => res.destroy());
        });
        this.#server.on("connection", () => this.#connections++);
    }

    /** TCP port of the server; 0 before `listen`. */
    get port(): number {
        return this.#port;
    }

    /** "IP:port". */
    get address(): string {
        return `127.0.0.1:${this.#port}`;
    }

    /** Current values of the counters. */
    get counts(): BackendCounts {
        return {
            runs: Object.fromEntries(this.#runs),
            ran: this.#ran,
            refused: this.#refused,
            probes: this.#probes,
            cancelled: this.#cancelled,
            inFlight: this.#inFlight,
            maxInFlight: this.#maxInFlight,
            ranWhileDraining: this.#ranWhileDraining,
            connections: this.#connections,
        };
    }

    /** Starts listening on the loopback interface; port 0 lets the system choose. */
    listen(port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, "127.0.0.1", () => {
                this.#port = (this.#server.address() as AddressInfo).port;
                resolve();
            });
        });
    }

    /** Stops the server and closes every connection at once. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.#server.close(() => resolve());
            this.#server.closeAllConnections();
        });
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (this.behavior.repeatsSendId) {
            repeatSendId(req, res);
        }
        if (req.url === loadPath) {
            this.#probes++;
            sendResponse(res, 200, [], JSON.stringify(this.#loadReport()));
            return;
        }
        if (this.behavior.draining || this.#inFlight >= this.behavior.shedAt) {
            this.#refuse(req, res);
            return;
        }
        this.#inFlight++;
        this.#maxInFlight = Math.max(this.#maxInFlight, this.#inFlight);
        res.on("close", () => {
            this.#inFlight--;
            this.#cancelled += res.writableFinished ? 0 : 1;
        });
        await this.#process(req, res);
    }

    #refuse(req: IncomingMessage, res: ServerResponse): void {
        this.#refused++;
        req.resume();
        const reason = this.behavior.draining ? "drain" : "shed";
        sendResponse(res, 503, [responseHeaders.refused, reason, responseHeaders.retryAfter, "50"], "");
    }

    async #process(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (this.behavior.failFast) {
            req.resume();
            sendResponse(res, this.behavior.failStatus, this.#loadHeader(), "failed");
            return;
        }
        if (!(await this.#readBody(req))) {
            return;
        }
        await this.#acquireSlot();
        try {
            this.#countRun(req);
            if (this.behavior.cut === "after-reading") {
                req.socket.resetAndDestroy();
                return;
            }
            await delayUnlessClosed(this.behavior.serviceMs, res);
            if (!res.destroyed) {
                await this.#respond(req, res);
            }
        } finally {
            this.#releaseSlot();
        }
    }

    /** Reads the request body; returns false if `cut` reset the connection. */
    async #readBody(req: IncomingMessage): Promise<boolean> {
        const { cut } = this.behavior;
        if (cut === "before-reading") {
            req.socket.resetAndDestroy();
            return false;
        }
        for await (const chunk of req as AsyncIterable<Buffer>) {
            if (cut === "while-reading" && chunk.length > 0) {
                req.socket.resetAndDestroy();
                return false;
            }
        }
        return true;
    }

    #countRun(req: IncomingMessage): void {
        const id = req.headers[callHeaders.requestId];
        this.#ran++;
        this.#ranWhileDraining += this.behavior.draining ? 1 : 0;
        if (typeof id === "string") {
            this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
        }
    }

    async #respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { answerBytes, cut } = this.behavior;
        const id = req.headers[callHeaders.requestId];
        const text = this.behavior.answerText ?? `ran ${typeof id === "string" ? id : "-"}`;
        const size = answerBytes ?? Buffer.byteLength(text);
        res.writeHead(200, [...this.#loadHeader(), "Content-Length", String(size)]);
        if (cut === "while-answering") {
            res.write(Buffer.alloc(Math.floor(size / 2), "x"), () => req.socket.resetAndDestroy());
            return;
        }
        if (answerBytes === undefined || req.method === "HEAD") {
            res.end(req.method === "HEAD" ? undefined : text);
            return;
        }
        await this.#sendChunks(res, answerBytes);
    }

    async #sendChunks(res: ServerResponse, bytes: number): Promise<void> {
        const chunk = Buffer.alloc(Math.min(bytes, chunkBytes), "x");
        for (let remaining = bytes; remaining > 0 && !res.destroyed; remaining -= chunk.length) {
            const hasBufferSpace = res.write(remaining < chunk.length ? chunk.subarray(0, remaining) : chunk);
            if (!hasBufferSpace) {
                await waitForDrain(res);
            }
            if (this.behavior.chunkPauseMs > 0) {
                await delayUnlessClosed(this.behavior.chunkPauseMs, res);
            }
        }
        res.end();
    }

    #loadHeader(): string[] {
        return this.behavior.reportsLoad ? [responseHeaders.load, formatLoadHeader(this.#loadReport())] : [];
    }

    #loadReport(): LoadReport {
        const { serviceMs, draining } = this.behavior;
        return { inFlight: this.#inFlight, latencyMs: serviceMs, draining };
    }

    #acquireSlot(): Promise<void> {
        if (this.#usedSlots < this.behavior.slots) {
            this.#usedSlots++;
            return Promise.resolve();
        }
        return new Promise(resolve => this.#slotWaiters.push(resolve));
    }

    #releaseSlot(): void {
        const next = this.#slotWaiters.shift();
        if (next) {
            next();
        } else {
            this.#usedSlots--;
        }
    }
}

const chunkBytes = 65_536;

/** Waits `ms` milliseconds, or until the connection of the response closes. */
const delayUnlessClosed = (ms: number, res: ServerResponse): Promise<void> =>
    new Promise(resolve => {
        if (ms <= 0 || res.destroyed) {
            resolve();
            return;
        }
        const done = (): void => {
            clearTimeout(timer);
            res.off("close", done);
            resolve();
        };
        const timer = setTimeout(done, ms);
        res.once("close", done);
    });

/** Waits until the write buffer of the response is drained or its connection closes. */
const waitForDrain = (res: ServerResponse): Promise<void> =>
    new Promise(resolve => {
        const done = (): void => {
            res.off("drain", done);
            res.off("close", done);
            resolve();
        };
        res.once("drain", done);
        res.once("close", done);
    });

/** Repeats the id of the send in the response, which proves whose response it is. */
export const repeatSendId = (req: IncomingMessage, res: ServerResponse): void => {
    const id = req.headers[callHeaders.sendId];
    if (id !== undefined) {
        res.setHeader(responseHeaders.sendId, id);
    }
};

const sendResponse = (
    res: ServerResponse,
    status: number,
    headers: readonly string[],
    text: string,
): void => {
    res.writeHead(status, [...headers, "Content-Length", String(Buffer.byteLength(text))]);
    res.end(text);
};

/** Starts a fake backend server on `port`; 0 lets the system choose. */
export const startFakeBackend = async (
    behavior: Partial<BackendBehavior> = {},
    port = 0,
): Promise<FakeBackend> => {
    const backend = new FakeBackend({ ...defaultBehavior, ...behavior });
    await backend.listen(port);
    return backend;
};
