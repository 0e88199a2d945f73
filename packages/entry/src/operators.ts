/** The operators' port: status, explanations and histograms as JSON, metrics as text, behind the shared key. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { DispatchView } from "@bramleymoor/dispatch/types";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { SharedKey } from "./sharedkey.js";

const headerTimeoutMs = 5_000;
const explainPrefix = "/explain/";

/** State of an entry process. */
export type NodeState = "starting" | "serving" | "stopping";

/** Response of /status. */
export interface NodeStatus {
    readonly id: string;
    readonly incarnation: string;
    readonly state: NodeState;
    readonly version: { readonly number: number; readonly digest: string } | undefined;
    readonly members: readonly EntryVm[];
    readonly services: readonly DispatchView[];
    /** Bytes of control traffic sent and received since the start. */
    readonly controlBytes: number;
    /** Resident memory in bytes. */
    readonly rssBytes: number;
    /** Processor time since the start, in milliseconds. */
    readonly cpuMs: number;
}

/** Response of /explain/SERVICE. */
export interface Explanation {
    readonly service: string;
    /** Ids of the entry VMs that dispatch the service, in order of preference. */
    readonly dispatchers: readonly string[];
    /** This entry VM's view of the service; undefined if it doesn't dispatch it. */
    readonly view: DispatchView | undefined;
    readonly notes: readonly string[];
}

/** The data behind the operators' port. */
export interface OperatorsApi {
    /** Returns the state of the process. */
    status(): NodeStatus;
    /** Returns how a service is dispatched; undefined if the accepted configuration doesn't have it. */
    explain(service: string): Explanation | undefined;
    /** Returns all metrics in the Prometheus text format. */
    metrics(): Promise<string>;
    /** Returns the histograms per service, tenant and class, as JSON values. */
    histograms(): Promise<unknown>;
}

/** The server on the operators' port. */
export class OperatorsServer {
    readonly #api: OperatorsApi;
    readonly #key: SharedKey;
    readonly #server: Server;

    /** @param pacer reads the connections */
    constructor(api: OperatorsApi, key: SharedKey, pacer: ReadPacer) {
        this.#api = api;
        this.#key = key;
        this.#server = createServer({ headersTimeout: headerTimeoutMs }, (req, res) => {
            void this.#handle(req, res);
        });
        pacer.attachTo(this.#server);
    }

    /** Starts to listen; resolves to the port and rejects if it can't be bound. */
    async listen(port: number, host: string): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        return (this.#server.address() as AddressInfo).port;
    }

    /** Stops listening and closes every connection. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
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
            await this.#route(req.url ?? "/", res);
        } catch (err) {
            sendJson(res, 500, { error: err instanceof Error ? err.message : String(err) });
        }
    }

    async #route(path: string, res: ServerResponse): Promise<void> {
        if (path === "/status") {
            sendJson(res, 200, this.#api.status());
        } else if (path === "/metrics") {
            res.writeHead(200, { "content-type": "text/plain; version=0.0.4", connection: "close" });
            res.end(await this.#api.metrics());
        } else if (path === "/histograms") {
            sendJson(res, 200, await this.#api.histograms());
        } else if (path.startsWith(explainPrefix)) {
            this.#explain(path.slice(explainPrefix.length), res);
        } else {
            sendJson(res, 404, { error: "Known paths: /status, /metrics, /histograms, /explain/SERVICE." });
        }
    }

    #explain(encodedService: string, res: ServerResponse): void {
        const service = decodePath(encodedService);
        if (service === undefined) {
            sendJson(res, 400, { error: `"${encodedService}" has a malformed escape; % is written as %25.` });
            return;
        }
        const explanation = this.#api.explain(service);
        if (explanation) {
            sendJson(res, 200, explanation);
        } else {
            sendJson(res, 404, { error: `The accepted text has no service "${service}".` });
        }
    }
}

const decodePath = (path: string): string | undefined => {
    try {
        return decodeURIComponent(path);
    } catch {
        // The only error is a malformed escape, which the caller reports.
        return undefined;
    }
};

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    // Requests are rare, and one sent on an idle connection that is just being closed would fail.
    res.writeHead(status, { "content-type": "application/json", connection: "close" });
    res.end(JSON.stringify(body));
};
