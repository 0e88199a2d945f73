/** Reference bound for the choosers: one queue over all slots that knows which servers are slow. */

import { VirtualTimeScheduler } from "./simulationserver.js";
import {
    scheduleArrivals,
    drainMs,
    crossDomainDelayMs,
    createServers,
    sameDomainDelayMs,
    type Outcome,
    outcomeOf,
    quantile,
    type SimulationResult,
    type Scenario,
} from "./simulationscenario.js";
import type { TracedCall } from "./trace.js";

/** Serves calls in order of arrival from one queue, knows which servers are impaired, and doesn't hedge. */
const omniscientQueue = (scenario: Scenario, avoidImpaired: boolean): SimulationResult => {
    const time = new VirtualTimeScheduler();
    const servers = createServers(scenario, time);
    const queue: { readonly traced: TracedCall; readonly arrivedAt: number }[] = [];
    const outcomes: Outcome[] = [];
    const startNext = (): void => {
        const available = servers.filter(it => it.freeSlots > 0 && !it.isFailing);
        const server = available.find(it => !it.isImpaired) ?? (avoidImpaired ? undefined : available[0]);
        const call = server ? queue.shift() : undefined;
        if (!call || !server) {
            return;
        }
        const respond = (): void => {
            const endedAt = time.now + meanRoundTripMs;
            outcomes.push(outcomeOf(scenario, call.arrivedAt, endedAt, "answered"));
            startNext();
        };
        server.submit({ workMs: call.traced.serviceMs, respond, state: "queued" });
        startNext();
    };
    scheduleArrivals(scenario, time, traced => {
        queue.push({ traced, arrivedAt: time.now });
        startNext();
    });
    time.runUntil(scenario.durationMs + drainMs);
    const busyMs = servers.reduce((sum, it) => sum + it.busyMs, 0);
    return { outcomes, hedges: 0, retries: 0, controlBytes: 0, busyMs };
};

/** Runs the omniscient queue with and without impaired servers' slots and returns the run with the lower p99. */
export const runOmniscientBound = (scenario: Scenario): SimulationResult => {
    const [avoiding, using] = [omniscientQueue(scenario, true), omniscientQueue(scenario, false)];
    return quantile(avoiding.outcomes, 0.99) <= quantile(using.outcomes, 0.99) ? avoiding : using;
};

const meanRoundTripMs = (2 * (sameDomainDelayMs + 2 * crossDomainDelayMs)) / 3;
