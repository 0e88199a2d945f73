/** The platform over HTTP; the protocol is described in docs/PROTOCOL-PLATFORM.md. */

import { Agent, request, type ClientRequest, type IncomingMessage } from "node:http";
import * as z from "zod";
import { PlatformError, type LogBatch, type LogService } from "./log.js";
import type { ListedVm, VmList } from "./vmlist.js";

const answerTimeoutMs = 5000;
const notModified = 304;
const maxAnswerBytes = 16 * 1024 * 1024;

const offset = z.number().int().nonnegative();
const appendAnswer = z.object({ offset });
const batchAnswer = z.object({
    records: z.array(z.object({ offset, data: z.string(), ageMs: z.number().nonnegative() })),
    first: offset,
    next: offset,
});
const vmsAnswer = z.object({
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

/** Request line, status line and the headers that Node adds, in bytes. */
const headBytes = 160;

interface Question {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    /** Entity tag of an answer that is still held. */
    readonly held?: string | undefined;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal | undefined;
}

interface Answer {
    readonly text: string;
    /** The held answer is still right; `text` is empty. */
    readonly unchanged: boolean;
    readonly tag: string | undefined;
}

interface HeldList {
    readonly vms: readonly ListedVm[];
    readonly tag: string | undefined;
}

/** Log service and VM list at a base URL such as "http://10.0.0.5:9400". */
export class HttpPlatform implements LogService, VmList {
    readonly #base: URL;
    readonly #agent = new Agent({ keepAlive: true });
    #held: HeldList = { vms: [], tag: undefined };
    #bytes = 0;

    constructor(baseUrl: string) {
        this.#base = new URL(baseUrl);
        if (this.#base.protocol !== "http:") {
            throw new TypeError(`the platform's address has to begin with http://, not ${baseUrl}`);
        }
    }

    /** Bytes sent and received so far, heads included as far as they are known. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Appends a record; see LogService. */
    async append(stream: string, data: string): Promise<number> {
        const path = recordsPath(stream);
        const answer = await this.#ask({ method: "POST", path, body: data, timeoutMs: answerTimeoutMs });
        return parse(appendAnswer, answer.text).offset;
    }

    /** Reads records; see LogService. */
    async read(
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<LogBatch> {
        const query = new URLSearchParams({ from: `${from}`, limit: `${limit}`, waitMs: `${waitMs}` });
        const path = `${recordsPath(stream)}?${query.toString()}`;
        const answer = await this.#ask({ method: "GET", path, timeoutMs: waitMs + answerTimeoutMs, signal });
        return parse(batchAnswer, answer.text);
    }

    /** Answers the VM list; see VmList. The same list again while the platform says that it has not changed. */
    async list(): Promise<readonly ListedVm[]> {
        const question = { method: "GET", path: "/v1/vms", timeoutMs: answerTimeoutMs } as const;
        const answer = await this.#ask({ ...question, held: this.#held.tag });
        if (!answer.unchanged) {
            this.#held = { vms: parse(vmsAnswer, answer.text).vms, tag: answer.tag };
        }
        return this.#held.vms;
    }

    /** Closes idle connections. */
    close(): void {
        this.#agent.destroy();
    }

    async #ask(question: Question): Promise<Answer> {
        const timeout = AbortSignal.timeout(question.timeoutMs);
        const signal = question.signal ? AbortSignal.any([question.signal, timeout]) : timeout;
        try {
            const res = await this.#send(question, signal);
            const text = await readAll(res);
            this.#bytes += 2 * headBytes + question.path.length + (question.body?.length ?? 0) + text.length;
            const unchanged = res.statusCode === notModified && question.held !== undefined;
            if (!unchanged) {
                checkStatus(res.statusCode ?? 0, text);
            }
            return { text, unchanged, tag: res.headers.etag };
        } catch (err) {
            throw err instanceof PlatformError ? err : new PlatformError("unavailable", String(err));
        }
    }

    #send(question: Question, signal: AbortSignal): Promise<IncomingMessage> {
        const url = new URL(question.path, this.#base);
        const headers = question.held === undefined ? {} : { "if-none-match": question.held };
        return new Promise((resolve, reject) => {
            const options = { method: question.method, agent: this.#agent, signal, headers };
            const req: ClientRequest = request(url, options);
            req.on("response", resolve);
            req.on("error", reject);
            req.end(question.body);
        });
    }
}

const recordsPath = (stream: string): string => `/v1/streams/${encodeURIComponent(stream)}/records`;

const readAll = async (res: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of res as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxAnswerBytes) {
            res.destroy();
            throw new PlatformError("bad response", `more than ${maxAnswerBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const checkStatus = (status: number, text: string): void => {
    if (status >= 200 && status < 300) {
        return;
    }
    const failure = status >= 400 && status < 500 && status !== 429 ? "bad response" : "unavailable";
    throw new PlatformError(failure, `status ${status}: ${text.slice(0, 200)}`);
};

const parse = <T>(schema: z.ZodType<T>, text: string): T => {
    try {
        return schema.parse(JSON.parse(text));
    } catch (err) {
        throw new PlatformError("bad response", String(err));
    }
};
