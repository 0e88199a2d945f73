/** Sends the probes that the services' probers select. */

import { request, type Agent, type IncomingMessage } from "node:http";
import { limitInterimResponses } from "@bramleymoor/input/interim";
import { PacedAgent } from "@bramleymoor/input/pacedagent";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import { readBody } from "@bramleymoor/input/readbody";
import { receiveResponse } from "@bramleymoor/input/receive";
import { probeDefaults } from "@bramleymoor/probing/budget";
import type { ServiceLoadView } from "@bramleymoor/probing/prober";
import { loadReportSchema, type LoadReport } from "@bramleymoor/protocol/messages";
import { callHeaders, loadPath } from "@bramleymoor/protocol/headers";
import { isResponseTo, SendIds } from "@bramleymoor/proxy/sendid";
import { startTimeout } from "@bramleymoor/proxy/timers";
import type { HostedService } from "./hostedservice.js";

const maxReportBytes = 4_096;
/** Estimated size of the head of a request or response. */
const estimatedHeadBytes = 120;

/** View of a service without requests: nothing is probed, but the prober sees that the process wasn't paused. */
const idleView: ServiceLoadView = { queued: 0, inFlight: 0, servers: [] };

/** Result of one probe. */
interface ProbeResult {
    /** undefined if there was no valid response. */
    readonly report: LoadReport | undefined;
    readonly bytes: number;
}

/** Probes the load endpoints of backend servers over HTTP. */
export class ProbeSender {
    readonly #agent: Agent;
    readonly #sendIds = new SendIds();
    readonly #timeoutMs: number;
    readonly #clock: () => number;
    readonly #onProbe: (service: string, serverMs: number, bytes: number) => void;

    /**
     * @param timeoutMs timeout of each probe, in milliseconds
     * @param clock monotonic milliseconds
     * @param pacer reads the connections
     * @param onProbe called with the service and the cost of each probe: charged server time and estimated bytes
     */
    constructor(
        timeoutMs: number,
        clock: () => number,
        pacer: ReadPacer,
        onProbe: (service: string, serverMs: number, bytes: number) => void,
    ) {
        this.#agent = new PacedAgent({ keepAlive: true, maxSockets: 1 }, pacer);
        this.#timeoutMs = timeoutMs;
        this.#clock = clock;
        this.#onProbe = onProbe;
    }

    /** Sends the service's next probe, if one is due and the budget allows it, and records its result. */
    async probeNext(hosted: HostedService): Promise<void> {
        const { prober, dispatcher, service } = hosted;
        const startedAt = this.#clock();
        const loadView = dispatcher.hasRequestsInFlight ? dispatcher.view(startedAt) : idleView;
        const address = prober.nextServer(loadView, startedAt);
        if (address === undefined) {
            return;
        }
        const result = await this.#probe(address);
        const endedAt = this.#clock();
        prober.recordResult(result.report !== undefined, endedAt - startedAt, result.bytes);
        this.#onProbe(service.name, probeDefaults.probeCostMs, result.bytes);
        if (result.report) {
            dispatcher.recordLimit(address, result.report.limit ?? Infinity, startedAt, endedAt);
            dispatcher.recordLoad(address, result.report, endedAt - startedAt, endedAt);
        }
    }

    /** Closes every connection. */
    close(): void {
        this.#agent.destroy();
    }

    async #probe(address: string): Promise<ProbeResult> {
        try {
            const text = await this.#get(address);
            const report = loadReportSchema.parse(JSON.parse(text));
            return { report, bytes: text.length + 2 * estimatedHeadBytes };
        } catch {
            return { report: undefined, bytes: estimatedHeadBytes };
        }
    }

    async #get(address: string): Promise<string> {
        const timeout = new AbortController();
        const cancelTimeout = startTimeout(this.#timeoutMs, () => timeout.abort());
        try {
            return await this.#read(address, timeout.signal);
        } finally {
            cancelTimeout();
        }
    }

    async #read(address: string, signal: AbortSignal): Promise<string> {
        const res = await new Promise<IncomingMessage>((resolve, reject) => {
            const id = this.#sendIds.next();
            const options = { agent: this.#agent, signal, headers: { [callHeaders.sendId]: id } };
            const req = request(`http://${address}${loadPath}`, options);
            const fail = (reason: string): void => {
                reject(new Error(reason));
                req.destroy();
            };
            const onResponse = (it: IncomingMessage): void => {
                if (isResponseTo(it, req, id)) {
                    resolve(it);
                } else {
                    fail("the response to another send");
                }
            };
            receiveResponse(req, onResponse, problem => fail(`malformed response: ${problem}`));
            limitInterimResponses(req, () => req.destroy(new Error("too many interim responses")));
            req.on("error", reject);
            req.end();
        });
        return (await readBody(res, maxReportBytes)).toString("latin1");
    }
}
