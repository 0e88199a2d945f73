/** The bound: one queue over all slots that knows which servers are slow. */

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

/** First come first served over all slots; knows which servers are impaired; doesn't hedge. */
const omniscientQueue = (scenario: Scenario, patient: boolean): SimulationResult => {
    const time = new VirtualTimeScheduler();
    const servers = createServers(scenario, time);
    const queue: { readonly traced: TracedCall; readonly arrivedAt: number }[] = [];
    const outcomes: Outcome[] = [];
    const serveNext = (): void => {
        const free = servers.filter(it => it.freeSlots > 0 && !it.isFailing);
        const server = free.find(it => !it.isImpaired) ?? (patient ? undefined : free[0]);
        const next = server ? queue.shift() : undefined;
        if (!next || !server) {
            return;
        }
        const answer = (): void => {
            const latencyEnd = time.now + meanRoundTripMs;
            outcomes.push(outcomeOf(scenario, next.arrivedAt, latencyEnd, "answered"));
            serveNext();
        };
        server.submit({ workMs: next.traced.serviceMs, respond: answer, state: "queued" });
        serveNext();
    };
    scheduleArrivals(scenario, time, traced => {
        queue.push({ traced, arrivedAt: time.now });
        serveNext();
    });
    time.runUntil(scenario.durationMs + drainMs);
    const busyMs = servers.reduce((sum, it) => sum + it.busyMs, 0);
    return { outcomes, hedges: 0, retries: 0, controlBytes: 0, busyMs };
};

/** The all-knowing queue uses slow servers' free slots or leaves them, whichever gives the lower p99. */
export const runOmniscientBound = (scenario: Scenario): SimulationResult => {
    const [patient, eager] = [omniscientQueue(scenario, true), omniscientQueue(scenario, false)];
    return quantile(patient.outcomes, 0.99) <= quantile(eager.outcomes, 0.99) ? patient : eager;
};

const meanRoundTripMs = (2 * (sameDomainDelayMs + 2 * crossDomainDelayMs)) / 3;
