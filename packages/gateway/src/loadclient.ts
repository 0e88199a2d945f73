/** Asks backend servers for their load just before a request is placed. */

import { request } from "node:http";
import type { LoadReport } from "@bramleymoor/balance/types";
import type { ServerEntry } from "@bramleymoor/model/route";
import type { KeepAliveAgent } from "./agent.js";
import { splitAddress } from "./exchange.js";
import type { WireFormat } from "./wireformat.js";

/** What a server answered. */
export interface LoadResponse {
    readonly report: LoadReport | undefined;
    /** The server that answers there now is another one. */
    readonly misdirected: boolean;
}

/** Asks a server for its load; undefined if it doesn't answer. */
export interface LoadClient {
    query(server: ServerEntry, healthPath: string): Promise<LoadResponse | undefined>;
}

/** Asks servers over HTTP, one question at a time to each. */
export class HttpLoadClient implements LoadClient {
    readonly #wire: WireFormat;
    readonly #agent: KeepAliveAgent;
    readonly #pending = new Map<string, Promise<LoadResponse | undefined>>();
    #asked = 0;

    /** @param agent its connections; those of requests that may be repeated, as they ask the same servers */
    constructor(wire: WireFormat, agent: KeepAliveAgent) {
        this.#wire = wire;
        this.#agent = agent;
    }

    /** Questions sent so far. */
    get queriesSent(): number {
        return this.#asked;
    }

    /** Asks one server; undefined if it doesn't answer. A question under way is shared. */
    query(server: ServerEntry, healthPath: string): Promise<LoadResponse | undefined> {
        const known = this.#pending.get(server.id);
        if (known) {
            return known;
        }
        const asking = this.#send(server, healthPath).finally(() => this.#pending.delete(server.id));
        this.#pending.set(server.id, asking);
        return asking;
    }

    /** Asks; once more over a new connection if the server had closed the one that was used before. */
    async #send(server: ServerEntry, path: string): Promise<LoadResponse | undefined> {
        const first = await this.#exchange(server, path);
        return first === "closed" ? asAnswer(await this.#exchange(server, path)) : first;
    }

    #exchange(server: ServerEntry, path: string): Promise<LoadResponse | "closed" | undefined> {
        this.#asked++;
        const { host, port } = splitAddress(server.address);
        return new Promise(resolve => {
            const req = request({ host, port, path, agent: this.#agent });
            const timer = setTimeout(() => req.destroy(new AskTimeoutError()), answerTimeoutMs);
            const done = (answer: LoadResponse | "closed" | undefined): void => {
                clearTimeout(timer);
                resolve(answer);
            };
            req.on("response", res => {
                if (this.#wire.isFromServer(res.headers)) {
                    // An extra answer to an earlier request on this connection; what comes next can't be told.
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
            req.on("error", err => done(req.reusedSocket && !timedOut(err) ? "closed" : undefined));
            req.on("close", () => done(undefined));
            req.end();
        });
    }
}

class AskTimeoutError extends Error {}

const timedOut = (err: Error): boolean => err instanceof AskTimeoutError;

const asAnswer = (answer: LoadResponse | "closed" | undefined): LoadResponse | undefined =>
    answer === "closed" ? undefined : answer;

/** A question without an answer is given up after this; far above a round trip, so that it shows a dead server. */
const answerTimeoutMs = 400;
