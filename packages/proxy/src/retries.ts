/** The retry budgets of the services that this entry VM dispatches. */

import { RetryBudget } from "@bramleymoor/dispatch/retry";
import type { Service } from "@bramleymoor/model/spec";

/** Keeps one budget per service, for as long as the accepted text leaves its share as it is. */
export class RetryBudgets {
    readonly #budgets = new Map<string, { readonly share: number; readonly budget: RetryBudget }>();

    /** The budget of a service. */
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
