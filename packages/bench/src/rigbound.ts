/** The bound: one queue over all slots that knows which servers are slow. */

import { VirtualTime } from "./rigserver.js";
import {
    arrivals,
    drainMs,
    farMs,
    makeServers,
    nearMs,
    type Outcome,
    outcomeOf,
    quantile,
    type RunResult,
    type Scenario,
} from "./rigscenario.js";
import type { TracedCall } from "./trace.js";

/** First come first served over all slots; knows which servers are impaired; doesn't hedge. */
const omniscientQueue = (scenario: Scenario, patient: boolean): RunResult => {
    const time = new VirtualTime();
    const servers = makeServers(scenario, time);
    const queue: { readonly traced: TracedCall; readonly arrivedAt: number }[] = [];
    const outcomes: Outcome[] = [];
    const serveNext = (): void => {
        const free = servers.filter(it => it.free > 0 && !it.isFailing);
        const server = free.find(it => !it.impaired) ?? (patient ? undefined : free[0]);
        const next = server ? queue.shift() : undefined;
        if (!next || !server) {
            return;
        }
        const answer = (): void => {
            const latencyEnd = time.now + meanRoundTripMs;
            outcomes.push(outcomeOf(scenario, next.arrivedAt, latencyEnd, "answered"));
            serveNext();
        };
        server.submit({ workMs: next.traced.serviceMs, answer, state: "queued" });
        serveNext();
    };
    arrivals(scenario, time, traced => {
        queue.push({ traced, arrivedAt: time.now });
        serveNext();
    });
    time.run(scenario.durationMs + drainMs);
    const busyMs = servers.reduce((sum, it) => sum + it.busyMs, 0);
    return { outcomes, hedges: 0, retries: 0, controlBytes: 0, busyMs };
};

/** The all-knowing queue uses slow servers' free slots or leaves them, whichever gives the lower p99. */
export const betterQueue = (scenario: Scenario): RunResult => {
    const [patient, eager] = [omniscientQueue(scenario, true), omniscientQueue(scenario, false)];
    return quantile(patient.outcomes, 0.99) <= quantile(eager.outcomes, 0.99) ? patient : eager;
};

const meanRoundTripMs = (2 * (nearMs + 2 * farMs)) / 3;
