/** Queries backend servers for their load just before a request is sent to one of them. */

import { request } from "node:http";
import type { LoadReport } from "@bramleymoor/balance/types";
import type { ServerEntry } from "@bramleymoor/model/route";
import type { KeepAliveAgent } from "./agent.js";
import { splitAddress } from "./exchange.js";
import type { WireFormat } from "./wireformat.js";

/** A server's response to a load query. */
export interface LoadResponse {
    /** undefined if the response carries no load. */
    readonly report: LoadReport | undefined;
    /** Whether another server incarnation responded at this address. */
    readonly misdirected: boolean;
}

/** Queries servers for their load. */
export interface LoadClient {
    /** Queries one server; resolves to undefined if it doesn't respond. */
    query(server: ServerEntry, healthPath: string): Promise<LoadResponse | undefined>;
}

/** Queries servers over HTTP, with at most one query in flight per server. */
export class HttpLoadClient implements LoadClient {
    readonly #wire: WireFormat;
    readonly #agent: KeepAliveAgent;
    readonly #pending = new Map<string, Promise<LoadResponse | undefined>>();
    #queriesSent = 0;

    /** @param agent connections to use; shared with requests that may be retried, as they go to the same servers */
    constructor(wire: WireFormat, agent: KeepAliveAgent) {
        this.#wire = wire;
        this.#agent = agent;
    }

    /** Number of queries sent so far. */
    get queriesSent(): number {
        return this.#queriesSent;
    }

    /** Queries one server; resolves to undefined if it doesn't respond. Concurrent callers share one query. */
    query(server: ServerEntry, healthPath: string): Promise<LoadResponse | undefined> {
        const pending = this.#pending.get(server.id);
        if (pending) {
            return pending;
        }
        const response = this.#queryWithRetry(server, healthPath).finally(() =>
            this.#pending.delete(server.id),
        );
        this.#pending.set(server.id, response);
        return response;
    }

    /** Sends a query, and sends it once more if the server had closed the reused connection. */
    async #queryWithRetry(server: ServerEntry, path: string): Promise<LoadResponse | undefined> {
        const first = await this.#sendQuery(server, path);
        return first === "closed" ? withoutClosed(await this.#sendQuery(server, path)) : first;
    }

    #sendQuery(server: ServerEntry, path: string): Promise<LoadResponse | "closed" | undefined> {
        this.#queriesSent++;
        const { host, port } = splitAddress(server.address);
        return new Promise(resolve => {
            const req = request({ host, port, path, agent: this.#agent });
            const timer = setTimeout(() => req.destroy(new QueryTimeoutError()), queryTimeoutMs);
            const done = (response: LoadResponse | "closed" | undefined): void => {
                clearTimeout(timer);
                resolve(response);
            };
            req.on("response", res => {
                if (this.#wire.isFromServer(res.headers)) {
                    // An extra response to an earlier request; what follows on this connection can't be attributed.
                    req.destroy();
                    return;
                }
                res.resume();
                const id = this.#wire.serverId(res.headers);
                done({
                    report: this.#wire.loadReport(res.headers),
                    misdirected: id !== undefined && id !== server.id,
                });
            });
            req.on("error", err => done(req.reusedSocket && !isTimeout(err) ? "closed" : undefined));
            req.on("close", () => done(undefined));
            req.end();
        });
    }
}

class QueryTimeoutError extends Error {}

const isTimeout = (err: Error): boolean => err instanceof QueryTimeoutError;

const withoutClosed = (response: LoadResponse | "closed" | undefined): LoadResponse | undefined =>
    response === "closed" ? undefined : response;

/** Far above a round trip, so that a timeout indicates a dead server. */
const queryTimeoutMs = 400;
