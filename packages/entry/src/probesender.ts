/** Sends the probes that the services' probers ask for. */

import { Agent, request, type IncomingMessage } from "node:http";
import { probeDefaults } from "@bramleymoor/probing/budget";
import type { ServiceLoadView } from "@bramleymoor/probing/prober";
import { loadReportSchema, type LoadReport } from "@bramleymoor/protocol/messages";
import { loadPath } from "@bramleymoor/protocol/headers";
import type { HostedService } from "./hostedservice.js";

const maxReportBytes = 4_096;
const headBytesEstimate = 120;

/** Stands for a service without requests; nothing is probed then, but the prober notices that the process runs. */
const idle: ServiceLoadView = { queued: 0, inFlight: 0, servers: [] };

/** What one probe brought. */
interface ProbeAnswer {
    readonly report: LoadReport | undefined;
    readonly bytes: number;
}

/** Probes backend servers' load endpoints. */
export class ProbeSender {
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
    readonly #timeoutMs: number;
    readonly #clock: () => number;
    readonly #probed: (service: string, serverMs: number, bytes: number) => void;

    /**
     * @param timeoutMs a probe without an answer is cancelled after this
     * @param probed told the cost of each probe
     */
    constructor(
        timeoutMs: number,
        clock: () => number,
        probed: (service: string, serverMs: number, bytes: number) => void,
    ) {
        this.#timeoutMs = timeoutMs;
        this.#clock = clock;
        this.#probed = probed;
    }

    /** Sends the service's next probe, if one is due and its budget allows. */
    async probeNext(hosted: HostedService): Promise<void> {
        const { prober, dispatcher, service } = hosted;
        const now = this.#clock();
        const belief = dispatcher.hasRequestsInFlight ? dispatcher.view(now) : idle;
        const address = prober.nextServer(belief, now);
        if (address === undefined) {
            return;
        }
        const answer = await this.#ask(address);
        const after = this.#clock();
        prober.recordResult(answer.report !== undefined, after - now, answer.bytes);
        this.#probed(service.name, probeDefaults.probeCostMs, answer.bytes);
        if (answer.report) {
            dispatcher.recordLoad(address, answer.report, after - now, after);
        }
    }

    /** Ends every connection. */
    close(): void {
        this.#agent.destroy();
    }

    async #ask(address: string): Promise<ProbeAnswer> {
        try {
            const text = await this.#get(address);
            const report = loadReportSchema.parse(JSON.parse(text));
            return { report, bytes: text.length + 2 * headBytesEstimate };
        } catch {
            return { report: undefined, bytes: headBytesEstimate };
        }
    }

    async #get(address: string): Promise<string> {
        const signal = AbortSignal.timeout(this.#timeoutMs);
        const res = await new Promise<IncomingMessage>((resolve, reject) => {
            const req = request(`http://${address}${loadPath}`, { agent: this.#agent, signal }, resolve);
            req.on("error", reject);
            req.end();
        });
        let text = "";
        for await (const chunk of res as AsyncIterable<Buffer>) {
            text += chunk.toString("latin1");
            if (text.length > maxReportBytes) {
                throw new RangeError(`a load report is over ${maxReportBytes} bytes`);
            }
        }
        return text;
    }
}
