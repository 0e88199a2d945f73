/** Sizes of the deployments whose services are simulated. */

import type { BackendServer, Service } from "@bramleymoor/model/spec";

/** One simulated deployment. */
export interface Deployment {
    readonly service: Service;
    /** Recorded calls to replay. */
    readonly trace: URL;
    readonly durationMs: number;
    /** Entry VMs that dispatch the service. */
    readonly dispatchers: number;
    /** Share of the calls that arrives at the first of them. */
    readonly firstDispatcherShare: number;
}

/**
 * Returns a deployment by its name.
 *
 * @throws Error if there is none of that name
 */
export const deploymentOf = (name: string): Deployment => {
    const found = deployments.get(name);
    if (!found) {
        throw new Error(`unknown deployment "${name}"; known: ${[...deployments.keys()].join(", ")}`);
    }
    return found;
};

const createServers = (count: number, slots: number, connections: number): readonly BackendServer[] =>
    Array.from({ length: count }, (_, at) => {
        const host = `10.0.0.${at + 1}`;
        const domain = "abc".charAt(at % 3);
        return { address: `${host}:80`, host, port: 80, domain, slots, connections, leaving: false };
    });

const service: Service = {
    name: "reads",
    dependsOn: [],
    servers: [],
    classes: [
        { name: "read", methods: ["GET"], path: "/", idempotent: true, priority: 1, deadlineMs: 1_000 },
    ],
    chooser: "late-binding",
    queueLimit: 1_000,
    probeBudget: 0.002,
    retryBudget: 0.1,
    hedgeBudget: 0.02,
    ejectShare: 0.3,
};

const ratiba: Deployment = {
    trace: new URL("../../traces/stops.txt", import.meta.url),
    durationMs: 20_000,
    dispatchers: 2,
    firstDispatcherShare: 1,
    service: { ...service, name: "stops", servers: createServers(14, 2, 200) },
};

const aqrl: Deployment = {
    trace: new URL("../../traces/catalogue.txt", import.meta.url),
    durationMs: 6_000,
    dispatchers: 3,
    firstDispatcherShare: 1 / 3,
    service: { ...service, name: "catalogue", servers: createServers(25, 6, 250) },
};

const deployments: ReadonlyMap<string, Deployment> = new Map([
    ["ratiba", ratiba],
    ["aqrl", aqrl],
]);
