/** The dispatchers of all services, kept in step with the configuration and the registered servers. */

import { Balancer, type BalancerSettings } from "@bramleymoor/balance/balancer";
import { RetryBudget, type RetryLimits } from "@bramleymoor/balance/budget";
import type { KnownServer } from "@bramleymoor/discovery/servers";
import type { RouteConfig } from "@bramleymoor/model/route";
import type { LoadClient } from "./loadclient.js";
import { Dispatcher } from "./dispatcher.js";

interface Held {
    readonly dispatcher: Dispatcher;
    readonly budget: RetryBudget;
}

/** What services need. */
export interface ServiceDispatchersOptions {
    readonly loadClient: LoadClient;
    readonly clock: () => number;
    readonly random: () => number;
    readonly balance: BalancerSettings;
    readonly retryLimits: RetryLimits;
}

/** Every service of the configuration. */
export class ServiceDispatchers {
    readonly #parts: ServiceDispatchersOptions;
    readonly #held = new Map<string, Held>();
    #repeats: RetryLimits;

    constructor(parts: ServiceDispatchersOptions) {
        this.#parts = parts;
        this.#repeats = parts.retryLimits;
    }

    /** Takes a changed bound of repeats. */
    setRetryLimits(repeats: RetryLimits): void {
        this.#repeats = repeats;
        this.#held.forEach(it => it.budget.update(repeats));
    }

    /** A service's dispatcher; undefined if the configuration doesn't have it. */
    dispatcher(service: string): Dispatcher | undefined {
        return this.#held.get(service)?.dispatcher;
    }

    /** A service's repeats. */
    retryBudget(service: string): RetryBudget | undefined {
        return this.#held.get(service)?.budget;
    }

    /** Takes a newer configuration or newer servers. */
    update(config: RouteConfig, servers: readonly KnownServer[]): void {
        const byService = new Map<string, KnownServer[]>();
        for (const server of servers) {
            const list = byService.get(server.entry.service) ?? [];
            list.push(server);
            byService.set(server.entry.service, list);
        }
        for (const [name, settings] of config.services) {
            const held = this.#held.get(name) ?? this.#make(name, config);
            held.dispatcher.update(settings, byService.get(name) ?? []);
        }
    }

    /** Does what has come due in every queue. */
    tick(): void {
        this.#held.forEach(it => it.dispatcher.tick());
    }

    #make(name: string, config: RouteConfig): Held {
        const { loadClient: asker, clock, random, balance } = this.#parts;
        const settings = config.services.get(name);
        if (!settings) {
            throw new Error(`the configuration has no service ${name}`);
        }
        const balancer = new Balancer(balance, random);
        const held = {
            dispatcher: new Dispatcher(settings, { balancer, loadClient: asker, clock }),
            budget: new RetryBudget(this.#repeats),
        };
        this.#held.set(name, held);
        return held;
    }
}
