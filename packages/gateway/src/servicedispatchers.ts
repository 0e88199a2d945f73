/** The dispatchers of all services, kept up to date with the configuration and the registered servers. */

import { Balancer, type BalancerSettings } from "@bramleymoor/balance/balancer";
import { RetryBudget, type RetryLimits } from "@bramleymoor/balance/budget";
import { demandShare } from "@bramleymoor/balance/fleetdemand";
import type { SendLimiter } from "@bramleymoor/balance/limiter";
import { ProbeBudget } from "@bramleymoor/balance/probebudget";
import type { ListedServer } from "@bramleymoor/balance/types";
import type { RouteConfig } from "@bramleymoor/model/route";
import type { DemandExchange } from "./demand.js";
import { Dispatcher, type RecordProbe, type RecordStatement } from "./dispatcher.js";
import type { HedgeUsageReport } from "./hedgeusage.js";
import type { ProbeClient } from "./probeclient.js";
import type { ProbeUsageReport } from "./probeusage.js";

interface ServiceState {
    readonly dispatcher: Dispatcher;
    readonly retryBudget: RetryBudget;
    readonly probeBudget: ProbeBudget;
}

/** Dependencies and settings of `ServiceDispatchers`. */
export interface ServiceDispatchersOptions {
    readonly probeClient: ProbeClient;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    /** Returns a random number of at least 0 and below 1. */
    readonly random: () => number;
    readonly balance: BalancerSettings;
    readonly retryLimits: RetryLimits;
    /** Maximum average rate of probes per backend server, from all entry VMs together. */
    readonly probesPerServerPerSecond: number;
    /** Hedged requests as a share of each service's requests; 0 if absent. */
    readonly maxHedgeRatio?: number;
    /** Decides when requests may be sent to servers. */
    readonly limiter: SendLimiter;
    /** Records what a server says of itself in its response to a probe. */
    readonly recordStatement: RecordStatement;
    readonly recordProbe: RecordProbe;
}

type ServiceDemand = Pick<DemandExchange, "serviceRate" | "ownServiceRate" | "knownEntryVms">;

/** Holds a dispatcher, a retry budget and a probe budget for each service of the configuration. */
export class ServiceDispatchers {
    readonly #options: ServiceDispatchersOptions;
    readonly #services = new Map<string, ServiceState>();
    #retryLimits: RetryLimits;
    #probesPerServerPerSecond: number;
    #maxHedgeRatio: number;

    constructor(options: ServiceDispatchersOptions) {
        this.#options = options;
        this.#retryLimits = options.retryLimits;
        this.#probesPerServerPerSecond = options.probesPerServerPerSecond;
        this.#maxHedgeRatio = options.maxHedgeRatio ?? 0;
    }

    /** Applies changed retry limits to all services. */
    setRetryLimits(limits: RetryLimits): void {
        this.#retryLimits = limits;
        this.#services.forEach(it => it.retryBudget.update(limits));
    }

    /** Applies a changed share of hedged requests to all services. */
    setMaxHedgeRatio(ratio: number): void {
        this.#maxHedgeRatio = ratio;
        this.#services.forEach(it => it.dispatcher.hedging.setMaxRatio(ratio));
    }

    /** Applies a changed limit of the probes to all services; takes effect with the next `updateDemand`. */
    setProbeLimit(perServerPerSecond: number): void {
        this.#probesPerServerPerSecond = perServerPerSecond;
        this.#services.forEach(it => it.probeBudget.setLimit(perServerPerSecond));
    }

    /**
     * Computes the probe budgets and the shares of the slots from the demand of all entry VMs.
     *
     * @param entryVms number of entry VMs that may be sending, whether known or not; Infinity if there is no telling
     */
    updateDemand(demand: ServiceDemand, entryVms: number, now: number): void {
        for (const [name, { dispatcher, probeBudget }] of this.#services) {
            const fleet = {
                ownRequestsPerSecond: demand.ownServiceRate(name),
                requestsPerSecond: demand.serviceRate(name),
                knownEntryVms: demand.knownEntryVms,
                entryVms,
            };
            probeBudget.update(fleet, dispatcher.balancer.serversInUse, now);
            dispatcher.balancer.recordDemandShare(demandShare(fleet), now);
        }
    }

    /** Returns a service's dispatcher; undefined if the service isn't configured. */
    dispatcher(service: string): Dispatcher | undefined {
        return this.#services.get(service)?.dispatcher;
    }

    /** Returns a service's retry budget; undefined if the service isn't configured. */
    retryBudget(service: string): RetryBudget | undefined {
        return this.#services.get(service)?.retryBudget;
    }

    /** Applies a newer configuration or a newer list of servers. */
    update(config: RouteConfig, servers: readonly ListedServer[]): void {
        const byService = new Map<string, ListedServer[]>();
        for (const server of servers) {
            const group = byService.get(server.entry.service) ?? [];
            group.push(server);
            byService.set(server.entry.service, group);
        }
        for (const [name, settings] of config.services) {
            const service = this.#services.get(name) ?? this.#create(name, config);
            service.dispatcher.update(settings, byService.get(name) ?? []);
        }
        // Requests may still wait for a service that isn't configured any more, or come by a route that names it.
        for (const [name, { dispatcher }] of this.#services) {
            if (!config.services.has(name)) {
                dispatcher.updateServers(byService.get(name) ?? []);
            }
        }
    }

    /** Ends all waits, as this entry VM has lost its links to the servers. */
    releaseWaiting(): void {
        this.#services.forEach(it => it.dispatcher.releaseWaiting());
    }

    /** Handles expired and dispatchable requests in every queue. */
    tick(): void {
        this.#services.forEach(it => it.dispatcher.tick());
    }

    /** Returns what each service's probes were used for in periods that have ended since the last call. */
    takeProbeUsage(now: number): readonly ProbeUsageReport[] {
        return [...this.#services.values()].flatMap(it => it.dispatcher.takeProbeUsage(now) ?? []);
    }

    /** Returns each service's counts of hedges in periods that have ended since the last call. */
    takeHedgeUsage(now: number): readonly HedgeUsageReport[] {
        return [...this.#services.values()].flatMap(it => it.dispatcher.takeHedgeUsage(now) ?? []);
    }

    #create(name: string, config: RouteConfig): ServiceState {
        const { probeClient, clock, random, balance, limiter, recordStatement, recordProbe } = this.#options;
        const settings = config.services.get(name);
        if (!settings) {
            throw new Error(`the configuration has no service ${name}`);
        }
        const balancer = new Balancer(balance, random, limiter);
        const probeBudget = new ProbeBudget(this.#probesPerServerPerSecond, clock());
        const service = {
            dispatcher: new Dispatcher(settings, {
                balancer,
                probeClient,
                probeBudget,
                recordStatement,
                recordProbe,
                clock,
                maxHedgeRatio: this.#maxHedgeRatio,
            }),
            retryBudget: new RetryBudget(this.#retryLimits),
            probeBudget,
        };
        this.#services.set(name, service);
        return service;
    }
}
