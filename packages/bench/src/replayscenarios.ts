/** Patterns of overload, at the sizes of the brief's two deployments. */

import type { ReplayScenario, ReplayCallers } from "./replay.js";
import type { ServerBehavior, ServerPoolOptions } from "./replayservers.js";

const noise = { share: 0.35, factor: 5, intervalMs: 150 };

/** 14 servers with 2 slots that slow down when both are in use. */
const crowdable: ServerPoolOptions = {
    count: 14,
    slots: 2,
    noise,
    saturation: { threshold: 0.8, factor: 1.7 },
};
/** 23 servers with 6 slots that don't. */
const roomy: ServerPoolOptions = { count: 23, slots: 6, noise, saturation: { threshold: 1, factor: 1 } };

const lookups: ReplayCallers = {
    workMs: 120,
    targetMs: 300,
    deadlineMs: 2_500,
    timeoutMs: 1_500,
    retries: 2,
    immediateRetryShare: 0.04,
};

const at = (perSecond: number) => (): number => perSecond;

const burst =
    (usual: number, factor: number) =>
    (atMs: number): number =>
        atMs >= 5_000 && atMs < 10_000 ? usual * factor : usual;

const pattern = (
    name: string,
    servers: ServerPoolOptions,
    rate: (atMs: number) => number,
    callers: Partial<ReplayCallers> = {},
): ReplayScenario => ({
    name,
    servers,
    callers: { ...lookups, ...callers },
    rate,
    durationMs: 20_000,
    seed: 7,
});

/** Rate of new requests at which every slot would be in use at the usual speed of a busy server. */
export const fullRatePerSecond = { crowdable: 60, roomy: 600 } as const;

const troubled = (
    name: string,
    servers: ServerPoolOptions,
    perSecond: number,
    conduct: (server: number, atMs: number) => ServerBehavior,
): ReplayScenario => ({ ...pattern(name, servers, at(perSecond)), behavior: conduct });

const during = (fromMs: number, toMs: number, atMs: number): boolean => atMs >= fromMs && atMs < toMs;

/** Servers of one in seven that do something from the fifth to the fifteenth second. */
const someDo =
    (conduct: ServerBehavior) =>
    (server: number, atMs: number): ServerBehavior =>
        server % 7 === 0 && during(5_000, 15_000, atMs) ? conduct : "sound";

/** Each server in turn goes for half a second and comes back cold for three. */
const replaced = (server: number, atMs: number): ServerBehavior => {
    const goneAt = 2_000 + server * 800;
    if (during(goneAt, goneAt + 500, atMs)) {
        return "gone";
    }
    return during(goneAt, goneAt + 3_500, atMs) ? "cold" : "sound";
};

const flapping = (server: number, atMs: number): ServerBehavior =>
    server % 7 === 0 && Math.floor(atMs / 400) % 2 === 0 ? "fails" : "sound";

/** A quarter of the servers come in the fifth second. */
const added = (server: number, atMs: number): ServerBehavior =>
    server % 4 !== 0 || atMs >= 8_000 ? "sound" : atMs < 5_000 ? "gone" : "cold";

/** Patterns in which servers misbehave, at the usual load. */
export const faultScenarios: readonly ReplayScenario[] = [
    troubled("crowdable failing", crowdable, fullRatePerSecond.crowdable, someDo("fails")),
    troubled("crowdable hanging", crowdable, fullRatePerSecond.crowdable, someDo("hangs")),
    troubled("crowdable slow", crowdable, fullRatePerSecond.crowdable, someDo("slow")),
    troubled("roomy slow", roomy, fullRatePerSecond.roomy, someDo("slow")),
    troubled("crowdable crashed", crowdable, fullRatePerSecond.crowdable, someDo("gone")),
    troubled("crowdable flapping", crowdable, fullRatePerSecond.crowdable, flapping),
    troubled("crowdable replaced", crowdable, fullRatePerSecond.crowdable, replaced),
    troubled("crowdable added", crowdable, fullRatePerSecond.crowdable, added),
    troubled("roomy failing", roomy, fullRatePerSecond.roomy, someDo("fails")),
    troubled("roomy hanging", roomy, fullRatePerSecond.roomy, someDo("hangs")),
    troubled("roomy replaced", roomy, fullRatePerSecond.roomy, replaced),
];

/** Every pattern of load alone. */
export const loadScenarios: readonly ReplayScenario[] = [
    pattern("crowdable 50%", crowdable, at(fullRatePerSecond.crowdable * 0.5)),
    pattern("crowdable 100%", crowdable, at(fullRatePerSecond.crowdable)),
    pattern("crowdable 150%", crowdable, at(fullRatePerSecond.crowdable * 1.5)),
    pattern("crowdable 300%", crowdable, at(fullRatePerSecond.crowdable * 3)),
    pattern("crowdable burst", crowdable, burst(fullRatePerSecond.crowdable * 0.7, 2)),
    pattern("crowdable impatient", crowdable, at(fullRatePerSecond.crowdable * 1.5), {
        immediateRetryShare: 0.5,
    }),
    pattern("roomy 50%", roomy, at(fullRatePerSecond.roomy * 0.5), { deadlineMs: 1_500, retries: 1 }),
    pattern("roomy 100%", roomy, at(fullRatePerSecond.roomy), { deadlineMs: 1_500, retries: 1 }),
    pattern("roomy 150%", roomy, at(fullRatePerSecond.roomy * 1.5), { deadlineMs: 1_500, retries: 1 }),
    pattern("roomy 300%", roomy, at(fullRatePerSecond.roomy * 3), { deadlineMs: 1_500, retries: 1 }),
];
