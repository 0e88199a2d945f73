/** The small servers beside the front: readiness, the question which addresses to use, metrics. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { CallMetrics } from "@bramleymoor/observe/metrics";
import { hostOf } from "@bramleymoor/routing/table";
import { SimpleHttpServer } from "./frontend.js";
import type { GatewaySettings } from "./settings.js";
import type { WireFormat } from "./wireformat.js";

/** What the small servers tell. */
export interface AuxiliaryServersOptions {
    readonly wire: WireFormat;
    readonly metrics: CallMetrics;
    readonly isReady: () => boolean;
    /** Entry VMs for a host's callers in one failure domain. */
    readonly entryVmsFor: (host: string, domain: string) => readonly EntryVm[];
    /** How long callers may keep an answer, in milliseconds. */
    readonly addressTtlMs: () => number;
}

/** Listens on three ports. */
export class AuxiliaryServers {
    readonly #parts: AuxiliaryServersOptions;
    readonly #ready = new SimpleHttpServer((req, res) => this.#answerReady(req, res));
    readonly #directory = new SimpleHttpServer((req, res) => this.#answerAddresses(req, res));
    readonly #metrics = new SimpleHttpServer((_, res) => void this.#answerMetrics(res));

    constructor(parts: AuxiliaryServersOptions) {
        this.#parts = parts;
    }

    async listen({ ready, directory, metrics }: GatewaySettings): Promise<void> {
        await Promise.all([
            this.#ready.listen(ready.port, ready.host),
            this.#directory.listen(directory.port, directory.host),
            this.#metrics.listen(metrics.port, metrics.host),
        ]);
    }

    /** Closes the ports. */
    close(): void {
        [this.#ready, this.#directory, this.#metrics].forEach(it => it.close());
    }

    #answerReady(req: IncomingMessage, res: ServerResponse): void {
        const known = req.url === this.#parts.wire.readyPath;
        res.writeHead(known ? (this.#parts.isReady() ? 200 : 503) : 404, { "Content-Length": "0" });
        res.end();
    }

    #answerAddresses(req: IncomingMessage, res: ServerResponse): void {
        const { wire, entryVmsFor: dispatchers, addressTtlMs } = this.#parts;
        const question = wire.parseAddressQuery(req.url ?? "");
        const vms = question ? dispatchers(hostOf(question.host), question.domain) : [];
        if (!question || vms.length === 0) {
            res.writeHead(question ? 503 : 404, { "Content-Length": "0" });
            res.end();
            return;
        }
        const addresses = vms.map(vm => vm.callerAddress);
        const text = wire.formatAddresses(addresses, addressTtlMs());
        res.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        res.end(text);
    }

    async #answerMetrics(res: ServerResponse): Promise<void> {
        const text = await this.#parts.metrics.text();
        res.writeHead(200, { "Content-Type": this.#parts.metrics.contentType });
        res.end(text);
    }
}
