/** Asks entry VMs through their operators' ports. */

import { request, type IncomingMessage } from "node:http";
import * as z from "zod";
import { CliError } from "./exit.js";
import type { Settings } from "./settings.js";

const serverSchema = z.object({
    address: z.string(),
    inFlight: z.number(),
    limit: z.number(),
    state: z.string(),
    why: z.string(),
});

const viewSchema = z.object({
    service: z.string(),
    queued: z.number(),
    inFlight: z.number(),
    servers: z.array(serverSchema),
});

const statusSchema = z.object({
    id: z.string(),
    incarnation: z.string(),
    state: z.string(),
    version: z.object({ number: z.number(), digest: z.string() }).optional(),
    members: z.array(z.object({ id: z.string(), state: z.string(), callerAddress: z.string() })),
    services: z.array(viewSchema),
    rssBytes: z.number().optional(),
});

const explanationSchema = z.object({
    service: z.string(),
    dispatchers: z.array(z.string()).default([]),
    view: viewSchema.optional(),
    notes: z.array(z.string()).default([]),
});

const histogramSchema = z.object({
    service: z.string(),
    by: z.enum(["class", "tenant"]),
    label: z.string(),
    part: z.enum(["queue", "server", "added", "total"]),
    count: z.number(),
    sumMs: z.number(),
    buckets: z.array(z.object({ upToMs: z.number().optional(), count: z.number() })).readonly(),
});

/** What an entry VM sees of one service. */
export type ServiceView = Readonly<z.infer<typeof viewSchema>>;

/** An entry VM's answer to /status. */
export type EntryStatus = Readonly<z.infer<typeof statusSchema>>;

/** An entry VM's answer to /explain/SERVICE. */
export type Explanation = Readonly<z.infer<typeof explanationSchema>>;

/** One histogram of an entry VM's answer to /histograms. */
export type EntryHistogram = Readonly<z.infer<typeof histogramSchema>>;

/** An entry VM's answer, or why there is none. */
export interface Answer<T> {
    /** Operators' port that was asked. */
    readonly address: string;
    readonly value: T | undefined;
    /** Why there is no value. */
    readonly failure: string;
    /** HTTP status; 0 if there was none. */
    readonly status: number;
}

/** Every entry VM of the settings. */
export class Entries {
    readonly #addresses: readonly string[];
    readonly #key: string;

    /**
     * @param settings name the entry VMs and the key
     * @throws CliError if they name none
     */
    constructor(settings: Settings) {
        if (settings.entries.length === 0) {
            const how = "Give --entry IP:PORT, or a line entry = IP:PORT in the settings file.";
            throw new CliError("usage", `No entry VM to ask. ${how}`);
        }
        if (settings.key === undefined) {
            const how = "Give --key-file FILE, or a line key-file = FILE in the settings file.";
            throw new CliError("usage", `No key to show to the entry VMs. ${how}`);
        }
        this.#addresses = settings.entries;
        this.#key = settings.key;
    }

    /** How many entry VMs are asked. */
    get count(): number {
        return this.#addresses.length;
    }

    /** Status of every entry VM. */
    status(): Promise<readonly Answer<EntryStatus>[]> {
        return this.#all("/status", statusSchema);
    }

    /** What every entry VM says about a service. */
    explain(service: string): Promise<readonly Answer<Explanation>[]> {
        return this.#all(`/explain/${encodeURIComponent(service)}`, explanationSchema);
    }

    /** Histograms of every entry VM. */
    histograms(): Promise<readonly Answer<readonly EntryHistogram[]>[]> {
        return this.#all("/histograms", z.array(histogramSchema));
    }

    #all<T>(path: string, schema: z.ZodType<T>): Promise<readonly Answer<T>[]> {
        return Promise.all(this.#addresses.map(address => this.#ask(address, path, schema)));
    }

    async #ask<T>(address: string, path: string, schema: z.ZodType<T>): Promise<Answer<T>> {
        const answer = { address, value: undefined, status: 0 };
        try {
            const res = await get(address, path, this.#key);
            const text = await readBody(res);
            const status = res.statusCode ?? 0;
            if (status !== httpOk) {
                return { ...answer, status, failure: failureOf(status, text) };
            }
            return { address, status, value: schema.parse(JSON.parse(text)), failure: "" };
        } catch (err) {
            return {
                ...answer,
                failure: err instanceof z.ZodError ? "answers in another form" : reason(err),
            };
        }
    }
}

/** The values of the answers that have one; fails if there is none at all. */
export const values = <T>(answers: readonly Answer<T>[]): readonly T[] => {
    const found = answers.flatMap(({ value }) => (value === undefined ? [] : [value]));
    if (found.length === 0) {
        const lines = answers.map(({ address, failure }) => `${address}: ${failure}`);
        throw new CliError("entry-unreachable", `No entry VM answered.\n${lines.join("\n")}`);
    }
    return found;
};

const httpOk = 200;

const httpUnauthorized = 401;

const answerTimeoutMs = 5_000;

const maxAnswerBytes = 64 * 1024 * 1024;

const get = (address: string, path: string, key: string): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        const headers = { authorization: `Bearer ${key}`, connection: "close" };
        const signal = AbortSignal.timeout(answerTimeoutMs);
        const req = request(`http://${address}${path}`, { headers, signal }, resolve);
        req.on("error", reject);
        req.end();
    });

const readBody = async (res: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of res as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxAnswerBytes) {
            res.destroy();
            throw new Error(`answers with more than ${maxAnswerBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const failureOf = (status: number, text: string): string =>
    status === httpUnauthorized ? "refuses the key" : `answers ${status}: ${text.slice(0, 200)}`;

const reason = (err: unknown): string => {
    const { code, name, message } = err as NodeJS.ErrnoException;
    return networkReasons[code ?? name] ?? networkReasons[name] ?? code ?? message;
};

const networkReasons: Readonly<Record<string, string>> = {
    ECONNREFUSED: "nothing listens there",
    ECONNRESET: "broke the connection off",
    EHOSTUNREACH: "no way leads there",
    ENETUNREACH: "no way leads there",
    AbortError: "does not answer",
    TimeoutError: "does not answer",
    SyntaxError: "answers in another form",
};
