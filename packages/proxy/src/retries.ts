/** The retry budgets of the services that this entry VM dispatches. */

import { RetryBudget } from "@bramleymoor/dispatch/retry";
import type { Service } from "@bramleymoor/model/spec";

/** Keeps one retry budget per service; a changed share in the configuration starts a new budget. */
export class RetryBudgets {
    readonly #budgets = new Map<string, { readonly share: number; readonly budget: RetryBudget }>();

    /** Removes services that the accepted configuration no longer has. */
    retainServices(services: ReadonlyMap<string, unknown>): void {
        for (const name of this.#budgets.keys()) {
            if (!services.has(name)) {
                this.#budgets.delete(name);
            }
        }
    }

    /** Returns the retry budget of a service. */
    forService(service: Service): RetryBudget {
        const found = this.#budgets.get(service.name);
        if (found && found.share === service.retryBudget) {
            return found.budget;
        }
        const budget = new RetryBudget(service.retryBudget);
        this.#budgets.set(service.name, { share: service.retryBudget, budget });
        return budget;
    }
}
