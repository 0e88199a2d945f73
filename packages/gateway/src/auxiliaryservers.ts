/** The HTTP servers for readiness checks, address queries and metrics. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { CallMetrics } from "@bramleymoor/observe/metrics";
import { hostOf } from "@bramleymoor/routing/table";
import { SimpleHttpServer, type SimpleHandler } from "./frontend.js";
import type { GatewaySettings } from "./settings.js";
import type { WireFormat } from "./wireformat.js";

/** Dependencies of the auxiliary servers. */
export interface AuxiliaryServersOptions {
    readonly wire: WireFormat;
    readonly metrics: CallMetrics;
    readonly isReady: () => boolean;
    /** Returns the entry VMs for a host's callers in one failure domain. */
    readonly entryVmsFor: (host: string, domain: string) => readonly EntryVm[];
    /** Returns how long callers may cache the response to an address query, in milliseconds. */
    readonly addressTtlMs: () => number;
    /** Reads the connections. */
    readonly pacer: ReadPacer;
    /** Called for each error that isn't the caller's. */
    readonly onInternalError: (doing: string, err: unknown) => void;
}

/** Serves readiness, addresses and metrics, each on its own port. */
export class AuxiliaryServers {
    readonly #options: AuxiliaryServersOptions;
    readonly #ready: SimpleHttpServer;
    readonly #addresses: SimpleHttpServer;
    readonly #metrics: SimpleHttpServer;

    constructor(options: AuxiliaryServersOptions) {
        this.#options = options;
        const { onInternalError, pacer } = options;
        const create = (handler: SimpleHandler): SimpleHttpServer =>
            new SimpleHttpServer(handler, onInternalError, pacer);
        this.#ready = create((req, res) => this.#serveReadiness(req, res));
        this.#addresses = create((req, res) => this.#serveAddresses(req, res));
        this.#metrics = create((_, res) => this.#serveMetrics(res));
    }

    async listen({ ready, directory, metrics }: GatewaySettings): Promise<void> {
        await Promise.all([
            this.#ready.listen(ready.port, ready.host),
            this.#addresses.listen(directory.port, directory.host),
            this.#metrics.listen(metrics.port, metrics.host),
        ]);
    }

    /** Stops listening and closes all connections. */
    close(): void {
        [this.#ready, this.#addresses, this.#metrics].forEach(it => it.close());
    }

    #serveReadiness(req: IncomingMessage, res: ServerResponse): void {
        const isReadyPath = req.url === this.#options.wire.readyPath;
        res.writeHead(isReadyPath ? (this.#options.isReady() ? 200 : 503) : 404, { "Content-Length": "0" });
        res.end();
    }

    #serveAddresses(req: IncomingMessage, res: ServerResponse): void {
        const { wire, entryVmsFor, addressTtlMs } = this.#options;
        const query = wire.parseAddressQuery(req.url ?? "");
        const vms = query ? entryVmsFor(hostOf(query.host), query.domain) : [];
        if (!query || vms.length === 0) {
            res.writeHead(query ? 503 : 404, { "Content-Length": "0" });
            res.end();
            return;
        }
        const addresses = vms.map(vm => vm.callerAddress);
        const text = wire.formatAddresses(addresses, addressTtlMs());
        res.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        res.end(text);
    }

    async #serveMetrics(res: ServerResponse): Promise<void> {
        const text = await this.#options.metrics.text();
        res.writeHead(200, { "Content-Type": this.#options.metrics.contentType });
        res.end(text);
    }
}
