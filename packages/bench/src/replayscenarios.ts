/** Load and fault scenarios, at the sizes of the brief's two deployments. */

import type { ReplayScenario, ReplayCallers } from "./replay.js";
import type { ServerBehavior, ServerPoolOptions } from "./replayservers.js";

const isWithin = (fromMs: number, toMs: number, atMs: number): boolean => atMs >= fromMs && atMs < toMs;

const noise = { share: 0.35, factor: 5, intervalMs: 150 };

/** 14 servers of 2 slots that slow down when both are in use. */
const saturatingServers: ServerPoolOptions = {
    count: 14,
    slots: 2,
    noise,
    saturation: { threshold: 0.8, factor: 1.7 },
};
/** 23 servers of 6 slots that don't slow down at full utilization. */
const nonSaturatingServers: ServerPoolOptions = {
    count: 23,
    slots: 6,
    noise,
    saturation: { threshold: 1, factor: 1 },
};

const lookupCallers: ReplayCallers = {
    workMs: 120,
    targetMs: 300,
    deadlineMs: 2_500,
    timeoutMs: 1_500,
    retries: 2,
    immediateRetryShare: 0.04,
};

/** A third of the look-up servers of the large site. */
const largeSiteServers: ServerPoolOptions = {
    count: 67,
    slots: 2,
    noise: { share: 0.25, factor: 5, intervalMs: 150 },
    saturation: { threshold: 0.8, factor: 1.7 },
};

/** Callers that have time to return after a burst. */
const patientCallers: ReplayCallers = {
    workMs: 250,
    targetMs: 624,
    deadlineMs: 8_319,
    timeoutMs: 4_000,
    retries: 2,
    immediateRetryShare: 0.04,
};

/** Two bursts that overlap, as on scale days of the large site. */
const overlappingBursts =
    (usual: number) =>
    (atMs: number): number =>
        usual * (isWithin(4_500, 9_500, atMs) ? 1.6 : 1) * (isWithin(8_000, 11_000, atMs) ? 1.7 : 1);

/** Callers that return once at most, soon. */
const hastyCallers: Partial<ReplayCallers> = { deadlineMs: 1_500, retries: 1 };

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
export const fullRate = { saturating: 60, nonSaturating: 600 } as const;

const faultScenario = (
    name: string,
    servers: ServerPoolOptions,
    perSecond: number,
    behavior: (server: number, atMs: number) => ServerBehavior,
): ReplayScenario => ({ ...loadScenario(name, servers, constantRate(perSecond)), behavior });

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
    faultScenario("crowdable failing", saturatingServers, fullRate.saturating, oneInSeven("failing")),
    faultScenario("crowdable hanging", saturatingServers, fullRate.saturating, oneInSeven("hanging")),
    faultScenario("crowdable slow", saturatingServers, fullRate.saturating, oneInSeven("slow")),
    faultScenario("roomy slow", nonSaturatingServers, fullRate.nonSaturating, oneInSeven("slow")),
    faultScenario("crowdable crashed", saturatingServers, fullRate.saturating, oneInSeven("down")),
    faultScenario("crowdable flapping", saturatingServers, fullRate.saturating, flapping),
    faultScenario("crowdable replaced", saturatingServers, fullRate.saturating, replacedInTurn),
    faultScenario("crowdable added", saturatingServers, fullRate.saturating, added),
    faultScenario("roomy failing", nonSaturatingServers, fullRate.nonSaturating, oneInSeven("failing")),
    faultScenario("roomy hanging", nonSaturatingServers, fullRate.nonSaturating, oneInSeven("hanging")),
    faultScenario("roomy replaced", nonSaturatingServers, fullRate.nonSaturating, replacedInTurn),
];

/** Scenarios of load on healthy servers. */
export const loadScenarios: readonly ReplayScenario[] = [
    loadScenario("crowdable 50%", saturatingServers, constantRate(fullRate.saturating * 0.5)),
    loadScenario("crowdable 100%", saturatingServers, constantRate(fullRate.saturating)),
    loadScenario("crowdable 150%", saturatingServers, constantRate(fullRate.saturating * 1.5)),
    loadScenario("crowdable 300%", saturatingServers, constantRate(fullRate.saturating * 3)),
    loadScenario("crowdable burst", saturatingServers, burstRate(fullRate.saturating * 0.7, 2)),
    loadScenario("large bursts", largeSiteServers, overlappingBursts(203), patientCallers),
    {
        ...loadScenario("large bursts, 11 VMs", largeSiteServers, overlappingBursts(203), patientCallers),
        entryVms: 11,
    },
    {
        ...loadScenario(
            "roomy 150%, 10 VMs",
            nonSaturatingServers,
            constantRate(fullRate.nonSaturating * 1.5),
            hastyCallers,
        ),
        entryVms: 10,
    },
    loadScenario("crowdable impatient", saturatingServers, constantRate(fullRate.saturating * 1.5), {
        immediateRetryShare: 0.5,
    }),
    loadScenario("roomy 50%", nonSaturatingServers, constantRate(fullRate.nonSaturating * 0.5), hastyCallers),
    loadScenario("roomy 100%", nonSaturatingServers, constantRate(fullRate.nonSaturating), hastyCallers),
    loadScenario(
        "roomy 150%",
        nonSaturatingServers,
        constantRate(fullRate.nonSaturating * 1.5),
        hastyCallers,
    ),
    loadScenario("roomy 300%", nonSaturatingServers, constantRate(fullRate.nonSaturating * 3), hastyCallers),
];
