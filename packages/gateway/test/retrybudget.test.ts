import assert from "node:assert/strict";
import { test } from "node:test";
import type { RetryLimits } from "@bramleymoor/balance/budget";
import { noLimits } from "@bramleymoor/balance/limiter";
import { routeConfig } from "@bramleymoor/testkit/builders";
import { ServiceDispatchers } from "../src/servicedispatchers.js";

const limits: RetryLimits = { ratio: 0.2, slack: 58, windowMs: 10_000 };
const demandPeriodMs = 500;
const stepMs = 100;
const msPerSecond = 1_000;
const service = "svc";
const config = routeConfig(1, {
    services: new Map([[service, { name: service, healthPath: "/health", maxConnections: 100 }]]),
});

interface Traffic {
    readonly entryVms: number;
    /** Requests per second at each entry VM, all of which begin at once. */
    readonly requestsPerSecond: number;
    /** Time until an entry VM's demand is known to the others, in milliseconds. */
    readonly demandDelayMs: number;
    readonly durationMs: number;
}

/** Returns how far the retries of any window exceed the limits, if every entry VM retries as often as it may. */
const largestExcess = ({ entryVms, requestsPerSecond, demandDelayMs, durationMs }: Traffic): number => {
    let now = 0;
    const fleet = Array.from({ length: entryVms }, () => {
        const dispatchers = new ServiceDispatchers({
            probeClient: { probe: () => Promise.resolve(undefined) },
            clock: () => now,
            random: () => 0,
            balance: { candidateCount: 3, domain: "a" },
            retryLimits: limits,
            probesPerServerPerSecond: 60,
            limiter: noLimits,
            recordStatement: () => undefined,
            recordProbe: () => undefined,
        });
        dispatchers.update(config, []);
        return dispatchers;
    });
    const requests: number[] = [];
    const retries: number[] = [];
    for (; now < durationMs; now += stepMs) {
        requests.push(0);
        retries.push(0);
        for (const dispatchers of fleet) {
            const budget = dispatchers.retryBudget(service);
            assert.ok(budget);
            if (now % demandPeriodMs === 0) {
                const ownRate = now === 0 ? 0 : requestsPerSecond;
                const otherRates = now <= demandDelayMs ? 0 : (entryVms - 1) * requestsPerSecond;
                const demand = {
                    ownServiceRate: () => ownRate,
                    serviceRate: () => ownRate + otherRates,
                    knownEntryVms: entryVms,
                };
                dispatchers.updateDemand(demand, entryVms, now);
            }
            for (let i = 0; i < (requestsPerSecond * stepMs) / msPerSecond; i++) {
                budget.recordRequest(now);
                requests[requests.length - 1]!++;
            }
            while (budget.tryTake(now, entryVms)) {
                retries[retries.length - 1]!++;
            }
        }
    }
    const steps = limits.windowMs / stepMs;
    const sum = (counts: readonly number[], end: number): number =>
        counts.slice(Math.max(0, end - steps), end).reduce((total, it) => total + it, 0);
    return Math.max(
        ...requests.map((_, i) => sum(retries, i + 1) - limits.ratio * sum(requests, i + 1) - limits.slack),
    );
};

for (const demandDelayMs of [0, 2_000, 20_000]) {
    test(`retries stay within the limits if entry VMs know each other's demand after ${demandDelayMs} ms`, () => {
        const excess = largestExcess({
            entryVms: 15,
            requestsPerSecond: 10,
            demandDelayMs,
            durationMs: 15_000,
        });
        assert.ok(excess <= 0, `${excess.toFixed(0)} retries over the limit`);
    });
}
