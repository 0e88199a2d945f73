/** Client of the platform over HTTP; docs/PROTOCOL-PLATFORM.md describes the protocol. */

import { Agent, request, type ClientRequest, type IncomingMessage } from "node:http";
import { limitInterimResponses } from "@bramleymoor/input/interim";
import { BodyTooLongError, readBody } from "@bramleymoor/input/readbody";
import { receiveResponse } from "@bramleymoor/input/receive";
import * as z from "zod";
import { PlatformError, type LogBatch, type LogService } from "./log.js";
import type { ListedVm, VmList } from "./vmlist.js";

const responseTimeoutMs = 5000;
const httpNotModified = 304;
const maxResponseBytes = 16 * 1024 * 1024;

const offset = z.number().int().nonnegative();
const appendResponseSchema = z.object({ offset });
const batchResponseSchema = z.object({
    records: z.array(z.object({ offset, data: z.string(), ageMs: z.number().nonnegative() })),
    first: offset,
    next: offset,
});
const vmsResponseSchema = z.object({
    vms: z.array(
        z.object({
            id: z.string(),
            peerAddress: z.string(),
            callerAddress: z.string(),
            region: z.string(),
            domain: z.string(),
            role: z.enum(["entry", "backend"]),
            leaving: z.boolean(),
        }),
    ),
});

/** Estimated size of a request line or status line with the headers that Node adds, in bytes. */
const headBytes = 160;

interface PlatformRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    /** Entity tag of the cached response. */
    readonly cachedTag?: string | undefined;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal | undefined;
}

interface PlatformResponse {
    readonly text: string;
    /** The cached response is still current; `text` is empty. */
    readonly unchanged: boolean;
    readonly tag: string | undefined;
}

interface CachedList {
    readonly vms: readonly ListedVm[];
    readonly tag: string | undefined;
}

/** Log service and VM list at a base URL such as "http://10.0.0.5:9400". */
export class HttpPlatform implements LogService, VmList {
    readonly #base: URL;
    readonly #agent: Agent;
    #cached: CachedList = { vms: [], tag: undefined };
    #bytes = 0;

    /**
     * @param baseUrl such as "http://10.0.0.5:9400"
     * @param agent opens the connections
     */
    constructor(baseUrl: string, agent = new Agent({ keepAlive: true })) {
        this.#agent = agent;
        this.#base = new URL(baseUrl);
        if (this.#base.protocol !== "http:") {
            throw new TypeError(`the platform's URL must begin with http://, got ${baseUrl}`);
        }
    }

    /** Bytes sent and received so far, with an estimate for the heads. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Appends a record; see `LogService`. */
    async append(stream: string, data: string): Promise<number> {
        const path = recordsPath(stream);
        const response = await this.#exchange({
            method: "POST",
            path,
            body: data,
            timeoutMs: responseTimeoutMs,
        });
        return parseResponse(appendResponseSchema, response.text).offset;
    }

    /** Reads records; see `LogService`. */
    async read(
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<LogBatch> {
        const query = new URLSearchParams({ from: `${from}`, limit: `${limit}`, waitMs: `${waitMs}` });
        const path = `${recordsPath(stream)}?${query.toString()}`;
        const response = await this.#exchange({
            method: "GET",
            path,
            timeoutMs: waitMs + responseTimeoutMs,
            signal,
        });
        return parseResponse(batchResponseSchema, response.text);
    }

    /** Returns the VM list; see `VmList`. Returns the cached array while the platform responds that it is unchanged. */
    async list(): Promise<readonly ListedVm[]> {
        const options = { method: "GET", path: "/v1/vms", timeoutMs: responseTimeoutMs } as const;
        const response = await this.#exchange({ ...options, cachedTag: this.#cached.tag });
        if (!response.unchanged) {
            this.#cached = { vms: parseResponse(vmsResponseSchema, response.text).vms, tag: response.tag };
        }
        return this.#cached.vms;
    }

    /** Closes idle connections. */
    close(): void {
        this.#agent.destroy();
    }

    async #exchange(call: PlatformRequest): Promise<PlatformResponse> {
        const timeout = AbortSignal.timeout(call.timeoutMs);
        const signal = call.signal ? AbortSignal.any([call.signal, timeout]) : timeout;
        try {
            const res = await this.#send(call, signal);
            const text = (await readBody(res, maxResponseBytes)).toString("utf8");
            this.#bytes += 2 * headBytes + call.path.length + (call.body?.length ?? 0) + text.length;
            const unchanged = res.statusCode === httpNotModified && call.cachedTag !== undefined;
            if (!unchanged) {
                checkStatus(res.statusCode ?? 0, text);
            }
            return { text, unchanged, tag: res.headers.etag };
        } catch (err) {
            throw toPlatformError(err);
        }
    }

    #send(call: PlatformRequest, signal: AbortSignal): Promise<IncomingMessage> {
        const url = new URL(call.path, this.#base);
        const headers = call.cachedTag === undefined ? {} : { "if-none-match": call.cachedTag };
        return new Promise((resolve, reject) => {
            const options = { method: call.method, agent: this.#agent, signal, headers };
            const req: ClientRequest = request(url, options);
            limitInterimResponses(req, () => req.destroy(new Error("too many interim responses")));
            receiveResponse(req, resolve, problem => {
                reject(new Error(`malformed response: ${problem}`));
                req.destroy();
            });
            req.on("error", reject);
            req.end(call.body);
        });
    }
}

const recordsPath = (stream: string): string => `/v1/streams/${encodeURIComponent(stream)}/records`;

const toPlatformError = (err: unknown): PlatformError => {
    if (err instanceof PlatformError) {
        return err;
    }
    return new PlatformError(err instanceof BodyTooLongError ? "bad response" : "unavailable", String(err));
};

const checkStatus = (status: number, text: string): void => {
    if (status >= 200 && status < 300) {
        return;
    }
    const failure = status >= 400 && status < 500 && status !== 429 ? "bad response" : "unavailable";
    throw new PlatformError(failure, `status ${status}: ${text.slice(0, 200)}`);
};

const parseResponse = <T>(schema: z.ZodType<T>, text: string): T => {
    try {
        return schema.parse(JSON.parse(text));
    } catch (err) {
        throw new PlatformError("bad response", String(err));
    }
};
