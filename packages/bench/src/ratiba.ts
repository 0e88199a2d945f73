/** The first deployment of the brief on loopback: its services, its servers and its traffic. */

import type { BackendsProcess, Fleet } from "./fleet.js";
import type { CallStream } from "./traffic.js";

/** One service's part of the deployment. */
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

const plans: readonly ServicePlan[] = [
    { name: "stops-lookup", servers: 14, serviceMs: 10 },
    { name: "publish-desk", servers: 8, serviceMs: 20 },
    { name: "bulk-export", servers: 6, serviceMs: 5, answerBytes: exportBytes, chunkPauseMs: 40 },
    { name: "notice-desk", servers: 6, serviceMs: 15 },
];

/** Calls that keep the deployment at about half of its slots. */
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

    /** Starts every service's servers, a process a service. */
    static async start(fleet: Fleet): Promise<RatibaServers> {
        const children = new Map<string, BackendsProcess>();
        for (const { name, servers, ...knobs } of plans) {
            children.set(name, await fleet.startBackends(servers, { slots, ...knobs }));
        }
        return new RatibaServers(children);
    }

    /** A service's process. */
    processOf(service: string): BackendsProcess {
        const child = this.#children.get(service);
        if (!child) {
            throw new RangeError(`no service ${service}`);
        }
        return child;
    }

    /** The operators' text; `leaving` names ports of servers that are leaving. */
    configText(leaving: ReadonlySet<number> = new Set(), comment = ""): string {
        const lines: string[] = [];
        for (const { name } of plans) {
            lines.push(`[service ${name}]`);
            if (comment !== "") {
                lines.push(`queue-limit = ${comment}`);
            }
            this.processOf(name).ports.forEach((port, i) => {
                const domain = domains[i % domains.length];
                const tail = leaving.has(port) ? " leaving" : "";
                lines.push(
                    `server = 127.0.0.1:${port} domain=${domain} slots=${slots} connections=${connections}${tail}`,
                );
            });
        }
        return `${lines.join("\n")}\n`;
    }

    /** How often each request id has run, over all servers. */
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

    /** Probes answered by all servers of a service. */
    async probes(service: string): Promise<number> {
        const counts = await this.processOf(service).counts();
        return counts.reduce((sum, one) => sum + one.probes, 0);
    }
}

/** Failure domains of the deployment. */
export const ratibaDomains: readonly string[] = domains;
