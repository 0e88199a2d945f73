/** The dispatchers of all services, kept up to date with the configuration and the registered servers. */

import { Balancer, type BalancerSettings } from "@bramleymoor/balance/balancer";
import { RetryBudget, type RetryLimits } from "@bramleymoor/balance/budget";
import type { SendLimiter } from "@bramleymoor/balance/limiter";
import type { KnownServer } from "@bramleymoor/discovery/servers";
import type { RouteConfig } from "@bramleymoor/model/route";
import { Dispatcher, type RecordStatement } from "./dispatcher.js";
import type { ProbeClient } from "./probeclient.js";

interface ServiceState {
    readonly dispatcher: Dispatcher;
    readonly retryBudget: RetryBudget;
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
    /** Decides when requests may be sent to servers. */
    readonly limiter: SendLimiter;
    /** Records what a server says of itself in its response to a probe. */
    readonly recordStatement: RecordStatement;
}

/** Holds a dispatcher and a retry budget for each service of the configuration. */
export class ServiceDispatchers {
    readonly #options: ServiceDispatchersOptions;
    readonly #services = new Map<string, ServiceState>();
    #retryLimits: RetryLimits;

    constructor(options: ServiceDispatchersOptions) {
        this.#options = options;
        this.#retryLimits = options.retryLimits;
    }

    /** Applies changed retry limits to all services. */
    setRetryLimits(limits: RetryLimits): void {
        this.#retryLimits = limits;
        this.#services.forEach(it => it.retryBudget.update(limits));
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
    update(config: RouteConfig, servers: readonly KnownServer[]): void {
        const byService = new Map<string, KnownServer[]>();
        for (const server of servers) {
            const group = byService.get(server.entry.service) ?? [];
            group.push(server);
            byService.set(server.entry.service, group);
        }
        for (const [name, settings] of config.services) {
            const service = this.#services.get(name) ?? this.#create(name, config);
            service.dispatcher.update(settings, byService.get(name) ?? []);
        }
    }

    /** Handles expired and dispatchable requests in every queue. */
    tick(): void {
        this.#services.forEach(it => it.dispatcher.tick());
    }

    #create(name: string, config: RouteConfig): ServiceState {
        const { probeClient, clock, random, balance, limiter, recordStatement } = this.#options;
        const settings = config.services.get(name);
        if (!settings) {
            throw new Error(`the configuration has no service ${name}`);
        }
        const balancer = new Balancer(balance, random, limiter);
        const service = {
            dispatcher: new Dispatcher(settings, { balancer, probeClient, recordStatement, clock }),
            retryBudget: new RetryBudget(this.#retryLimits),
        };
        this.#services.set(name, service);
        return service;
    }
}
