/** Load and fault scenarios, at the sizes of the brief's two deployments. */

import type { ReplayScenario, ReplayCallers } from "./replay.js";
import type { ServerBehavior, ServerPoolOptions } from "./replayservers.js";

const noise = { share: 0.35, factor: 5, intervalMs: 150 };

/** 14 servers of 2 slots that slow down when both are in use. */
const crowdable: ServerPoolOptions = {
    count: 14,
    slots: 2,
    noise,
    saturation: { threshold: 0.8, factor: 1.7 },
};
/** 23 servers of 6 slots that don't slow down at full utilization. */
const roomy: ServerPoolOptions = { count: 23, slots: 6, noise, saturation: { threshold: 1, factor: 1 } };

const lookupCallers: ReplayCallers = {
    workMs: 120,
    targetMs: 300,
    deadlineMs: 2_500,
    timeoutMs: 1_500,
    retries: 2,
    immediateRetryShare: 0.04,
};

const constantRate = (perSecond: number) => (): number => perSecond;

const burstRate =
    (usual: number, factor: number) =>
    (atMs: number): number =>
        atMs >= 5_000 && atMs < 10_000 ? usual * factor : usual;

const loadScenario = (
    name: string,
    servers: ServerPoolOptions,
    rate: (atMs: number) => number,
    callers: Partial<ReplayCallers> = {},
): ReplayScenario => ({
    name,
    servers,
    callers: { ...lookupCallers, ...callers },
    rate,
    durationMs: 20_000,
    seed: 7,
});

/** New requests per second that keep every slot busy at a busy server's mean speed. */
export const fullRate = { crowdable: 60, roomy: 600 } as const;

const faultScenario = (
    name: string,
    servers: ServerPoolOptions,
    perSecond: number,
    behavior: (server: number, atMs: number) => ServerBehavior,
): ReplayScenario => ({ ...loadScenario(name, servers, constantRate(perSecond)), behavior });

const isWithin = (fromMs: number, toMs: number, atMs: number): boolean => atMs >= fromMs && atMs < toMs;

/** One server in seven shows a behavior from 5 s to 15 s. */
const oneInSeven =
    (behavior: ServerBehavior) =>
    (server: number, atMs: number): ServerBehavior =>
        server % 7 === 0 && isWithin(5_000, 15_000, atMs) ? behavior : "healthy";

/** Each server in turn is down for 0.5 s, then cold for 3 s. */
const replacedInTurn = (server: number, atMs: number): ServerBehavior => {
    const downAt = 2_000 + server * 800;
    if (isWithin(downAt, downAt + 500, atMs)) {
        return "down";
    }
    return isWithin(downAt, downAt + 3_500, atMs) ? "cold" : "healthy";
};

const flapping = (server: number, atMs: number): ServerBehavior =>
    server % 7 === 0 && Math.floor(atMs / 400) % 2 === 0 ? "failing" : "healthy";

/** A quarter of the servers are added at 5 s and are cold until 8 s. */
const added = (server: number, atMs: number): ServerBehavior =>
    server % 4 !== 0 || atMs >= 8_000 ? "healthy" : atMs < 5_000 ? "down" : "cold";

/** Scenarios with server faults, at 100% load. */
export const faultScenarios: readonly ReplayScenario[] = [
    faultScenario("crowdable failing", crowdable, fullRate.crowdable, oneInSeven("failing")),
    faultScenario("crowdable hanging", crowdable, fullRate.crowdable, oneInSeven("hanging")),
    faultScenario("crowdable slow", crowdable, fullRate.crowdable, oneInSeven("slow")),
    faultScenario("roomy slow", roomy, fullRate.roomy, oneInSeven("slow")),
    faultScenario("crowdable crashed", crowdable, fullRate.crowdable, oneInSeven("down")),
    faultScenario("crowdable flapping", crowdable, fullRate.crowdable, flapping),
    faultScenario("crowdable replaced", crowdable, fullRate.crowdable, replacedInTurn),
    faultScenario("crowdable added", crowdable, fullRate.crowdable, added),
    faultScenario("roomy failing", roomy, fullRate.roomy, oneInSeven("failing")),
    faultScenario("roomy hanging", roomy, fullRate.roomy, oneInSeven("hanging")),
    faultScenario("roomy replaced", roomy, fullRate.roomy, replacedInTurn),
];

/** Scenarios of load on healthy servers. */
export const loadScenarios: readonly ReplayScenario[] = [
    loadScenario("crowdable 50%", crowdable, constantRate(fullRate.crowdable * 0.5)),
    loadScenario("crowdable 100%", crowdable, constantRate(fullRate.crowdable)),
    loadScenario("crowdable 150%", crowdable, constantRate(fullRate.crowdable * 1.5)),
    loadScenario("crowdable 300%", crowdable, constantRate(fullRate.crowdable * 3)),
    loadScenario("crowdable burst", crowdable, burstRate(fullRate.crowdable * 0.7, 2)),
    loadScenario("crowdable impatient", crowdable, constantRate(fullRate.crowdable * 1.5), {
        immediateRetryShare: 0.5,
    }),
    loadScenario("roomy 50%", roomy, constantRate(fullRate.roomy * 0.5), { deadlineMs: 1_500, retries: 1 }),
    loadScenario("roomy 100%", roomy, constantRate(fullRate.roomy), { deadlineMs: 1_500, retries: 1 }),
    loadScenario("roomy 150%", roomy, constantRate(fullRate.roomy * 1.5), { deadlineMs: 1_500, retries: 1 }),
    loadScenario("roomy 300%", roomy, constantRate(fullRate.roomy * 3), { deadlineMs: 1_500, retries: 1 }),
];
