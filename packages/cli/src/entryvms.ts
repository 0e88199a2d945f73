/** Client of the entry VMs' operators' ports. */

import { request, type IncomingMessage } from "node:http";
import { readBody } from "@bramleymoor/input/readbody";
import { receiveResponse } from "@bramleymoor/input/receive";
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

const serviceViewSchema = z.object({
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
    services: z.array(serviceViewSchema),
    rssBytes: z.number().optional(),
});

const explanationSchema = z.object({
    service: z.string(),
    dispatchers: z.array(z.string()).default([]),
    view: serviceViewSchema.optional(),
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

/** An entry VM's view of one service. */
export type ServiceView = Readonly<z.infer<typeof serviceViewSchema>>;

/** An entry VM's response to /status. */
export type EntryStatus = Readonly<z.infer<typeof statusSchema>>;

/** An entry VM's response to /explain/SERVICE. */
export type Explanation = Readonly<z.infer<typeof explanationSchema>>;

/** One histogram of an entry VM's response to /histograms. */
export type EntryHistogram = Readonly<z.infer<typeof histogramSchema>>;

/** An entry VM's response, or why there is none; `status --json` and `explain --json` print it as it is. */
export interface EntryVmResponse<T> {
    /** "IP:port" of the operators' port that was queried. */
    readonly address: string;
    readonly value: T | undefined;
    /** Why there is no value; empty if there is one. */
    readonly failure: string;
    /** HTTP status; 0 if there was none. */
    readonly status: number;
}

/** Queries all entry VMs of the settings at once. */
export class EntryVmClient {
    readonly #addresses: readonly string[];
    readonly #key: string;

    /**
     * @param settings addresses of the entry VMs, and the key
     * @throws CliError if either is missing
     */
    constructor(settings: Settings) {
        if (settings.entryAddresses.length === 0) {
            const how = "Give --entry IP:PORT, or add a line entry = IP:PORT to the settings file.";
            throw new CliError("usage", `No entry VM is configured. ${how}`);
        }
        if (settings.key === undefined) {
            const how = "Give --key-file FILE, or add a line key-file = FILE to the settings file.";
            throw new CliError("usage", `No key file is configured for the entry VMs. ${how}`);
        }
        this.#addresses = settings.entryAddresses;
        this.#key = settings.key;
    }

    /** Number of entry VMs that are queried. */
    get count(): number {
        return this.#addresses.length;
    }

    /** Returns the status of every entry VM. */
    status(): Promise<readonly EntryVmResponse<EntryStatus>[]> {
        return this.#queryAll("/status", statusSchema);
    }

    /** Returns every entry VM's explanation of a service. */
    explain(service: string): Promise<readonly EntryVmResponse<Explanation>[]> {
        return this.#queryAll(`/explain/${encodeURIComponent(service)}`, explanationSchema);
    }

    /** Returns the histograms of every entry VM. */
    histograms(): Promise<readonly EntryVmResponse<readonly EntryHistogram[]>[]> {
        return this.#queryAll("/histograms", z.array(histogramSchema));
    }

    #queryAll<T>(path: string, schema: z.ZodType<T>): Promise<readonly EntryVmResponse<T>[]> {
        return Promise.all(this.#addresses.map(address => this.#query(address, path, schema)));
    }

    async #query<T>(address: string, path: string, schema: z.ZodType<T>): Promise<EntryVmResponse<T>> {
        const noResponse = { address, value: undefined, status: 0 };
        try {
            const res = await sendRequest(address, path, this.#key);
            const text = (await readBody(res, maxResponseBytes)).toString("utf8");
            const status = res.statusCode ?? 0;
            if (status !== httpOk) {
                return { ...noResponse, status, failure: describeStatus(status, text) };
            }
            return { address, status, value: schema.parse(JSON.parse(text)), failure: "" };
        } catch (err) {
            return {
                ...noResponse,
                failure: err instanceof z.ZodError ? "unexpected response format" : describeError(err),
            };
        }
    }
}

/**
 * Returns the values of the successful responses.
 *
 * @throws CliError if there is none
 */
export const successfulValues = <T>(responses: readonly EntryVmResponse<T>[]): readonly T[] => {
    const found = responses.flatMap(({ value }) => (value === undefined ? [] : [value]));
    if (found.length === 0) {
        const lines = responses.map(({ address, failure }) => `${address}: ${failure}`);
        throw new CliError("entry-unreachable", `No entry VM responded.\n${lines.join("\n")}`);
    }
    return found;
};

const httpOk = 200;

const httpUnauthorized = 401;

const responseTimeoutMs = 5_000;

const maxResponseBytes = 64 * 1024 * 1024;

const sendRequest = (address: string, path: string, key: string): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        const headers = { authorization: `Bearer ${key}`, connection: "close" };
        const signal = AbortSignal.timeout(responseTimeoutMs);
        const req = request(`http://${address}${path}`, { headers, signal });
        receiveResponse(req, resolve, problem => {
            reject(new Error(`malformed response: ${problem}`));
            req.destroy();
        });
        req.on("error", reject);
        req.end();
    });

const describeStatus = (status: number, text: string): string =>
    status === httpUnauthorized ? "refuses the key" : `HTTP status ${status}: ${text.slice(0, 200)}`;

const describeError = (err: unknown): string => {
    const { code, name, message } = err as NodeJS.ErrnoException;
    return errorDescriptions[code ?? name] ?? errorDescriptions[name] ?? code ?? message;
};

const errorDescriptions: Readonly<Record<string, string>> = {
    ECONNREFUSED: "connection refused",
    ECONNRESET: "connection reset",
    EHOSTUNREACH: "host unreachable",
    ENETUNREACH: "network unreachable",
    AbortError: "no response in time",
    TimeoutError: "no response in time",
    SyntaxError: "unexpected response format",
};
