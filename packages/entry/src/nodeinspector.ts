/** Collects what the operators' port returns about an entry process. */

import type { EntryVm } from "@bramleymoor/model/vm";
import type { CallMetrics } from "@bramleymoor/observe/metrics";
import type { Explanation, NodeState, NodeStatus, OperatorsApi } from "./operators.js";
import type { ServiceTable } from "./services.js";

const microsecondsPerMs = 1_000;

/** Dependencies of a `NodeInspector`. */
export interface NodeInspectorOptions {
    readonly self: () => EntryVm;
    readonly state: () => NodeState;
    readonly members: () => readonly EntryVm[];
    readonly services: ServiceTable;
    readonly metrics: CallMetrics;
    /** Returns the bytes of control traffic since the start. */
    readonly controlBytes: () => number;
    /** Monotonic milliseconds. */
    readonly clock: () => number;
}

/** Implements the operators' API for one entry process. */
export class NodeInspector implements OperatorsApi {
    readonly #options: NodeInspectorOptions;

    constructor(options: NodeInspectorOptions) {
        this.#options = options;
    }

    status(): NodeStatus {
        const { self, state, members, services, controlBytes, clock } = this.#options;
        const { accepted } = services;
        const now = clock();
        const { user, system } = process.cpuUsage();
        return {
            id: self().id,
            incarnation: self().incarnation,
            state: state(),
            version: accepted && { number: accepted.number, digest: accepted.digest },
            members: members(),
            services: services.hosted.map(hosted => hosted.dispatcher.view(now)),
            controlBytes: controlBytes(),
            rssBytes: process.memoryUsage.rss(),
            cpuMs: (user + system) / microsecondsPerMs,
        };
    }

    explain(service: string): Explanation | undefined {
        const { services, clock } = this.#options;
        if (!services.accepted?.spec.services.has(service)) {
            return undefined;
        }
        const hosted = services.find(service);
        return {
            service,
            dispatchers: services.dispatchersOf(service).map(vm => vm.id),
            view: hosted?.dispatcher.view(clock()),
            notes: hosted ? [] : ["This entry VM does not dispatch the service; ask one of the dispatchers."],
        };
    }

    async metrics(): Promise<string> {
        return await this.#options.metrics.text();
    }

    async histograms(): Promise<unknown> {
        return await this.#options.metrics.histograms();
    }
}
