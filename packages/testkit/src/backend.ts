/** An HTTP stand-in of a backend server, with knobs for what may go wrong, and counts of what it ran. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { formatLoadHeader, type LoadReport } from "@bramleymoor/protocol/messages";
import { responseHeaders, callHeaders, loadPath } from "@bramleymoor/protocol/headers";

/** When a stand-in breaks a request's connection. */
export type ResetPoint =
    | "never"
    /** As soon as the request's head has come, without reading its body; it has not run. */
    | "before-reading"
    /** After the first part of the body; it has not run. */
    | "while-reading"
    /** After the whole request; it has run. */
    | "after-reading"
    /** In the middle of the answer's body; it has run. */
    | "while-answering";

/** Knobs; any may be changed while the stand-in runs. */
export interface BackendBehavior {
    /** Time that a request takes once it has a slot, in milliseconds. */
    serviceMs: number;
    /** Requests worked on at the same time; others wait. */
    slots: number;
    /** Answers `failStatus` at once, without working. */
    failFast: boolean;
    failStatus: number;
    /** Refuses with "shed" beyond this number of requests in progress. */
    shedAt: number;
    /** Refuses every request with "drain". */
    draining: boolean;
    cut: ResetPoint;
    /** Body bytes of an answer; the text "ran REQUEST-ID" if undefined. */
    answerBytes: number | undefined;
    /** Text of an answer of no fixed size, instead of "ran REQUEST-ID". */
    answerText: string | undefined;
    /** Pause between parts of a long answer, in milliseconds. */
    chunkPauseMs: number;
    /** Whether answers carry the bm-load header. */
    reportsLoad: boolean;
    /** An idle connection is closed after this time, in milliseconds. */
    idleMs: number;
}

/** What a stand-in has seen. */
export interface BackendCounts {
    /** Times that each request id has run. */
    readonly runs: Readonly<Record<string, number>>;
    /** Requests that were run, with or without an id. */
    readonly ran: number;
    readonly refused: number;
    readonly probes: number;
    /** Requests whose connection closed before the whole answer was out. */
    readonly cancelled: number;
    readonly inFlight: number;
    readonly maxInFlight: number;
    /** Requests that began after the stand-in started to drain, refusals excepted. */
    readonly ranWhileDraining: number;
    readonly connections: number;
}

/** Knobs of a well-behaved, fast server. */
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
    idleMs: 5000,
};

/** One running stand-in. */
export class FakeBackend {
    readonly behavior: BackendBehavior;
    readonly #server: Server;
    readonly #runs = new Map<string, number>();
    readonly #waiting: (() => void)[] = [];
    #working = 0;
    #ran = 0;
    #refused = 0;
    #probes = 0;
    #cancelled = 0;
    #inFlight = 0;
    #maxInFlight = 0;
    #ranWhileDraining = 0;
    #connections = 0;
    #port = 0;

    constructor(knobs: BackendBehavior) {
        this.behavior = knobs;
        this.#server = createServer({ keepAliveTimeout: knobs.idleMs, requestTimeout: 0, noDelay: true });
        this.#server.on("request", (req: IncomingMessage, res: ServerResponse) => {
            this.#take(req, res).catch(() => res.destroy());
        });
        this.#server.on("connection", () => this.#connections++);
    }

    /** Port that it listens on. */
    get port(): number {
        return this.#port;
    }

    /** "IP:port". */
    get address(): string {
        return `127.0.0.1:${this.#port}`;
    }

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

    /** Starts to listen on loopback. */
    listen(port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, "127.0.0.1", () => {
                this.#port = (this.#server.address() as AddressInfo).port;
                resolve();
            });
        });
    }

    /** Stops at once, breaking every connection. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.#server.close(() => resolve());
            this.#server.closeAllConnections();
        });
    }

    async #take(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (req.url === loadPath) {
            this.#probes++;
            answer(res, 200, [], JSON.stringify(this.#report()));
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
        await this.#work(req, res);
    }

    #refuse(req: IncomingMessage, res: ServerResponse): void {
        this.#refused++;
        req.resume();
        const reason = this.behavior.draining ? "drain" : "shed";
        answer(res, 503, [responseHeaders.refused, reason, responseHeaders.retryAfter, "50"], "");
    }

    async #work(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (this.behavior.failFast) {
            req.resume();
            answer(res, this.behavior.failStatus, this.#loadHeader(), "failed");
            return;
        }
        if (!(await this.#read(req))) {
            return;
        }
        await this.#slot();
        try {
            this.#count(req);
            if (this.behavior.cut === "after-reading") {
                req.socket.resetAndDestroy();
                return;
            }
            await pause(this.behavior.serviceMs, res);
            if (!res.destroyed) {
                await this.#answer(req, res);
            }
        } finally {
            this.#free();
        }
    }

    /** Reads the request; false if the connection was cut. */
    async #read(req: IncomingMessage): Promise<boolean> {
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

    #count(req: IncomingMessage): void {
        const id = req.headers[callHeaders.requestId];
        this.#ran++;
        this.#ranWhileDraining += this.behavior.draining ? 1 : 0;
        if (typeof id === "string") {
            this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
        }
    }

    async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
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
        await this.#stream(res, answerBytes);
    }

    async #stream(res: ServerResponse, bytes: number): Promise<void> {
        const part = Buffer.alloc(Math.min(bytes, partBytes), "x");
        for (let left = bytes; left > 0 && !res.destroyed; left -= part.length) {
            const taken = res.write(left < part.length ? part.subarray(0, left) : part);
            if (!taken) {
                await drained(res);
            }
            if (this.behavior.chunkPauseMs > 0) {
                await pause(this.behavior.chunkPauseMs, res);
            }
        }
        res.end();
    }

    #loadHeader(): string[] {
        return this.behavior.reportsLoad ? [responseHeaders.load, formatLoadHeader(this.#report())] : [];
    }

    #report(): LoadReport {
        const { serviceMs, draining } = this.behavior;
        return { inFlight: this.#inFlight, latencyMs: serviceMs, draining };
    }

    #slot(): Promise<void> {
        if (this.#working < this.behavior.slots) {
            this.#working++;
            return Promise.resolve();
        }
        return new Promise(resolve => this.#waiting.push(resolve));
    }

    #free(): void {
        const next = this.#waiting.shift();
        if (next) {
            next();
        } else {
            this.#working--;
        }
    }
}

const partBytes = 65_536;

/** Waits, but not past the request's cancellation. */
const pause = (ms: number, res: ServerResponse): Promise<void> =>
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

const drained = (res: ServerResponse): Promise<void> =>
    new Promise(resolve => {
        const done = (): void => {
            res.off("drain", done);
            res.off("close", done);
            resolve();
        };
        res.once("drain", done);
        res.once("close", done);
    });

const answer = (res: ServerResponse, status: number, headers: readonly string[], text: string): void => {
    res.writeHead(status, [...headers, "Content-Length", String(Buffer.byteLength(text))]);
    res.end(text);
};

/** Starts a stand-in on `port`; 0 lets the system choose. */
export const startFakeBackend = async (
    knobs: Partial<BackendBehavior> = {},
    port = 0,
): Promise<FakeBackend> => {
    const backend = new FakeBackend({ ...defaultBehavior, ...knobs });
    await backend.listen(port);
    return backend;
};
