/** Probes backend servers for their load just before a request is sent to one of them. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { ServerStatement } from "@bramleymoor/balance/statement";
import type { LoadReport } from "@bramleymoor/balance/types";
import { distinctHeaders } from "@bramleymoor/input/heads";
import { limitInterimResponses } from "@bramleymoor/input/interim";
import { receiveResponse } from "@bramleymoor/input/receive";
import type { ServerEntry } from "@bramleymoor/model/route";
import { contained } from "@bramleymoor/proxy/contained";
import { discardResponse } from "@bramleymoor/proxy/discard";
import { startTimeout } from "@bramleymoor/proxy/timers";
import type { KeepAliveAgent } from "./agent.js";
import { splitAddress } from "./exchange.js";
import type { ForwardOptions } from "./forwardoptions.js";
import type { WireFormat } from "./wireformat.js";

/** A server's response to a probe. */
export interface ProbeResponse {
    /** undefined if the response carries no load. */
    readonly report: LoadReport | undefined;
    /** What the server says of itself. */
    readonly statement: ServerStatement;
    /** Whether another server incarnation responded at this address. */
    readonly misdirected: boolean;
}

/** How a server is probed. */
export interface ProbeOptions {
    /** Whether to use a new connection, on which nothing but the response to the probe can arrive. */
    readonly onNewConnection: boolean;
    /** Called if the probe is sent a second time. */
    readonly onResend: () => void;
}

/** Probes servers for their load. */
export interface ProbeClient {
    /** Probes one server; resolves to undefined if it doesn't respond. */
    probe(server: ServerEntry, healthPath: string, options: ProbeOptions): Promise<ProbeResponse | undefined>;
}

/** What became of a probe; undefined if the server didn't respond. */
type ProbeResult =
    | ProbeResponse
    /** The server had closed the reused connection. */
    | "closed"
    /** The reused connection carried something that isn't the response to the probe. */
    | "other-response"
    | undefined;

/** Probes servers over HTTP, with at most one probe in flight per server and kind of connection. */
export class HttpProbeClient implements ProbeClient {
    readonly #wire: WireFormat;
    readonly #agents: ForwardOptions["agents"];
    readonly #onInternalError: ForwardOptions["onInternalError"];
    readonly #pending = new Map<string, Promise<ProbeResponse | undefined>>();
    #probesSent = 0;

    /**
     * @param agents connections to use; the pooled ones are shared with requests, as they go to the same servers
     * @param onInternalError called for an error in the examination of a response, which then counts as none
     */
    constructor(
        wire: WireFormat,
        agents: ForwardOptions["agents"],
        onInternalError: ForwardOptions["onInternalError"],
    ) {
        this.#wire = wire;
        this.#agents = agents;
        this.#onInternalError = onInternalError;
    }

    /** Number of probes sent so far. */
    get probesSent(): number {
        return this.#probesSent;
    }

    /** Probes one server; resolves to undefined if it doesn't respond. Concurrent callers share one probe. */
    probe(
        server: ServerEntry,
        healthPath: string,
        options: ProbeOptions,
    ): Promise<ProbeResponse | undefined> {
        const key = `${server.id} ${options.onNewConnection}`;
        const pending = this.#pending.get(key);
        if (pending) {
            return pending;
        }
        const response = this.#probeWithRetry(server, healthPath, options).finally(() =>
            this.#pending.delete(key),
        );
        this.#pending.set(key, response);
        return response;
    }

    /** Sends a probe, and sends it once more if the reused connection told nothing of the server. */
    async #probeWithRetry(
        server: ServerEntry,
        path: string,
        { onNewConnection, onResend }: ProbeOptions,
    ): Promise<ProbeResponse | undefined> {
        const { pooled, unpooled } = this.#agents;
        const first = await this.#sendProbe(server, path, onNewConnection ? unpooled : pooled);
        if (typeof first !== "string") {
            return first;
        }
        onResend();
        const second = await this.#sendProbe(server, path, first === "closed" ? pooled : unpooled);
        return typeof second === "string" ? undefined : second;
    }

    #sendProbe(server: ServerEntry, path: string, agent: KeepAliveAgent): Promise<ProbeResult> {
        this.#probesSent++;
        const { host, port } = splitAddress(server.address);
        return new Promise(resolve => {
            const req = request({ host, port, path, agent });
            const cancelTimeout = startTimeout(probeTimeoutMs, () => req.destroy(new ProbeTimeoutError()));
            const done = (result: ProbeResult): void => {
                cancelTimeout();
                resolve(result);
            };
            const onResponse = (res: IncomingMessage): void => {
                const response = this.#examine(req, res, server);
                if (response) {
                    discardResponse(res);
                    done(response);
                } else {
                    onOther();
                }
            };
            const onOther = (): void => {
                done(req.reusedSocket ? "other-response" : undefined);
                // What follows on this connection can't be attributed.
                req.destroy();
            };
            const onError = (err: unknown): void => {
                this.#onInternalError("examining a probe's response", err);
                req.destroy();
            };
            receiveResponse(req, contained(onResponse, onError), onOther);
            limitInterimResponses(req, () => req.destroy());
            req.on("error", err => done(req.reusedSocket && !isTimeout(err) ? "closed" : undefined));
            req.on("close", () => done(undefined));
            req.end();
        });
    }

    /** Returns what a server has responded to a probe; undefined if the response is one to a request. */
    #examine(req: ClientRequest, res: IncomingMessage, server: ServerEntry): ProbeResponse | undefined {
        const { rawHeaders, headers, statusCode: status = 0 } = res;
        if (this.#wire.requestId(headers) !== undefined || this.#wire.isFromServer(headers)) {
            return undefined;
        }
        if (this.#wire.refusal(status, headers)) {
            // It has no id, so a copy of it couldn't be told from a refusal of the next request.
            req.shouldKeepAlive = false;
        }
        const statement = this.#wire.statement(status, distinctHeaders(rawHeaders));
        const { serverId: id, load: report } = statement;
        return { report, statement, misdirected: id !== undefined && id !== server.id };
    }
}

class ProbeTimeoutError extends Error {}

const isTimeout = (err: Error): boolean => err instanceof ProbeTimeoutError;

/** Far above a round trip, so that a timeout indicates a dead server. */
const probeTimeoutMs = 400;
