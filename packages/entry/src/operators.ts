/** The operators' port: metrics, status and explanations, as JSON over HTTP behind the shared key. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { DispatchView } from "@bramleymoor/dispatch/types";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { SharedKey } from "./sharedkey.js";

const headerTimeoutMs = 5_000;
const explainPrefix = "/explain/";

/** Where an entry process is in its life. */
export type NodeState = "starting" | "serving" | "stopping";

/** Answer of /status. */
export interface NodeStatus {
    readonly id: string;
    readonly incarnation: string;
    readonly state: NodeState;
    readonly version: { readonly number: number; readonly digest: string } | undefined;
    readonly members: readonly EntryVm[];
    readonly services: readonly DispatchView[];
    /** Bytes of control traffic since the start. */
    readonly controlBytes: number;
    /** Resident memory in bytes. */
    readonly rssBytes: number;
    /** Processor time since the start, in milliseconds. */
    readonly cpuMs: number;
}

/** Answer of /explain/SERVICE. */
export interface Explanation {
    readonly service: string;
    /** Entry VMs that dispatch the service, first one first. */
    readonly dispatchers: readonly string[];
    /** What this entry VM sees; undefined if it doesn't dispatch the service. */
    readonly view: DispatchView | undefined;
    readonly notes: readonly string[];
}

/** What the operators' port shows. */
export interface OperatorsApi {
    status(): NodeStatus;
    /** undefined for a service that the accepted text doesn't have. */
    explain(service: string): Explanation | undefined;
    /** Metrics in Prometheus' text form. */
    metrics(): Promise<string>;
    /** Histograms per service, tenant and class, as JSON. */
    histograms(): Promise<unknown>;
}

/** The operators' port. */
export class OperatorsServer {
    readonly #operations: OperatorsApi;
    readonly #key: SharedKey;
    readonly #server: Server;

    constructor(operations: OperatorsApi, key: SharedKey) {
        this.#operations = operations;
        this.#key = key;
        this.#server = createServer({ headersTimeout: headerTimeoutMs }, (req, res) => {
            void this.#answer(req, res);
        });
    }

    /** Starts to listen; resolves to the port. */
    async listen(port: number, host: string): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        return (this.#server.address() as AddressInfo).port;
    }

    /** Stops listening and ends every connection. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }

    async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            if (!this.#key.accepts(req.headers.authorization)) {
                sendJson(res, 401, {
                    error: "The shared key is missing or wrong: authorization: Bearer KEY.",
                });
                return;
            }
            if (req.method !== "GET") {
                sendJson(res, 405, { error: "Only GET is answered here." });
                return;
            }
            await this.#show(req.url ?? "/", res);
        } catch (err) {
            sendJson(res, 500, { error: err instanceof Error ? err.message : String(err) });
        }
    }

    async #show(path: string, res: ServerResponse): Promise<void> {
        if (path === "/status") {
            sendJson(res, 200, this.#operations.status());
        } else if (path === "/metrics") {
            res.writeHead(200, { "content-type": "text/plain; version=0.0.4", connection: "close" });
            res.end(await this.#operations.metrics());
        } else if (path === "/histograms") {
            sendJson(res, 200, await this.#operations.histograms());
        } else if (path.startsWith(explainPrefix)) {
            this.#explain(decodeURIComponent(path.slice(explainPrefix.length)), res);
        } else {
            sendJson(res, 404, { error: "Known paths: /status, /metrics, /histograms, /explain/SERVICE." });
        }
    }

    #explain(service: string, res: ServerResponse): void {
        const found = this.#operations.explain(service);
        if (found) {
            sendJson(res, 200, found);
        } else {
            sendJson(res, 404, { error: `The accepted text has no service "${service}".` });
        }
    }
}

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    // Questions are rare, and one that meets the end of an idle connection would fail.
    res.writeHead(status, { "content-type": "application/json", connection: "close" });
    res.end(JSON.stringify(body));
};
