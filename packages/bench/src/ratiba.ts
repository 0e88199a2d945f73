/** The brief's first deployment on loopback: its services, backend servers and traffic. */

import type { BackendsProcess, Fleet } from "./fleet.js";
import type { CallStream } from "./traffic.js";

/** One service of the deployment. */
interface ServicePlan {
    readonly name: string;
    readonly servers: number;
    readonly serviceMs: number;
    readonly answerBytes?: number;
    readonly chunkPauseMs?: number;
}

const slots = 2;
const connections = 200;
const domains = ["dar-1", "dar-2", "dar-3"] as const;
const exportBytes = 1_048_576;

const servicePlans: readonly ServicePlan[] = [
    { name: "stops-lookup", servers: 14, serviceMs: 10 },
    { name: "publish-desk", servers: 8, serviceMs: 20 },
    { name: "bulk-export", servers: 6, serviceMs: 5, answerBytes: exportBytes, chunkPauseMs: 40 },
    { name: "notice-desk", servers: 6, serviceMs: 15 },
];

/** Calls that use about half of the deployment's slots. */
export const ratibaStreams: readonly CallStream[] = [
    {
        service: "stops-lookup",
        path: "/departures",
        method: "GET",
        perSecond: 500,
        deadlineMs: 2_000,
        tenant: "apps",
    },
    {
        service: "publish-desk",
        path: "/publications",
        method: "POST",
        perSecond: 60,
        deadlineMs: 10_000,
        tenant: "agents",
    },
    {
        service: "bulk-export",
        path: "/archive",
        method: "GET",
        perSecond: 4,
        deadlineMs: 30_000,
        tenant: "partners",
        answerBytes: exportBytes,
    },
    {
        service: "notice-desk",
        path: "/notices",
        method: "POST",
        perSecond: 60,
        deadlineMs: 10_000,
        tenant: "operators",
    },
];

/** The backend servers of the deployment, by service. */
export class RatibaServers {
    readonly #children: ReadonlyMap<string, BackendsProcess>;

    private constructor(children: ReadonlyMap<string, BackendsProcess>) {
        this.#children = children;
    }

    /** Starts the backend servers, in one process per service. */
    static async start(fleet: Fleet): Promise<RatibaServers> {
        const children = new Map<string, BackendsProcess>();
        for (const { name, servers, ...behavior } of servicePlans) {
            children.set(name, await fleet.startBackends(servers, { slots, ...behavior }));
        }
        return new RatibaServers(children);
    }

    /**
     * Returns a service's process.
     *
     * @throws RangeError for an unknown service
     */
    processOf(service: string): BackendsProcess {
        const child = this.#children.get(service);
        if (!child) {
            throw new RangeError(`unknown service ${service}`);
        }
        return child;
    }

    /**
     * Returns the deployment's config text.
     *
     * @param leaving ports of servers that are marked as leaving
     * @param queueLimit queue limit of every service; the default if empty
     */
    configText(leaving: ReadonlySet<number> = new Set(), queueLimit = ""): string {
        const lines: string[] = [];
        for (const { name } of servicePlans) {
            lines.push(`[service ${name}]`);
            if (queueLimit !== "") {
                lines.push(`queue-limit = ${queueLimit}`);
            }
            this.processOf(name).ports.forEach((port, i) => {
                const domain = domains[i % domains.length];
                const suffix = leaving.has(port) ? " leaving" : "";
                lines.push(
                    `server = 127.0.0.1:${port} domain=${domain} slots=${slots} connections=${connections}${suffix}`,
                );
            });
        }
        return `${lines.join("\n")}\n`;
    }

    /** Returns how often each request id has run, over all servers. */
    async runs(): Promise<ReadonlyMap<string, number>> {
        const runs = new Map<string, number>();
        for (const child of this.#children.values()) {
            for (const counts of await child.counts()) {
                for (const [id, count] of Object.entries(counts.runs)) {
                    runs.set(id, (runs.get(id) ?? 0) + count);
                }
            }
        }
        return runs;
    }

    /** Returns the number of probes answered by all servers of a service. */
    async probes(service: string): Promise<number> {
        const counts = await this.processOf(service).counts();
        return counts.reduce((sum, one) => sum + one.probes, 0);
    }
}

/** Failure domains of the deployment. */
export const ratibaDomains: readonly string[] = domains;
