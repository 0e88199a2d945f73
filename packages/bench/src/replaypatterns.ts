/** Patterns of overload, at the sizes of the brief's two deployments. */

import type { Pattern, ReplayCallers } from "./replay.js";
import type { Conduct, ReplayServers } from "./replayservers.js";

const noise = { share: 0.35, factor: 5, everyMs: 150 };

/** 14 servers with 2 slots that slow down when both are in use. */
const crowdable: ReplayServers = { count: 14, slots: 2, noise, knee: { fill: 0.8, factor: 1.7 } };
/** 23 servers with 6 slots that don't. */
const roomy: ReplayServers = { count: 23, slots: 6, noise, knee: { fill: 1, factor: 1 } };

const lookups: ReplayCallers = {
    workMs: 120,
    targetMs: 300,
    deadlineMs: 2_500,
    timeoutMs: 1_500,
    retries: 2,
    impatient: 0.04,
};

const at = (perSecond: number) => (): number => perSecond;

const burst =
    (usual: number, factor: number) =>
    (atMs: number): number =>
        atMs >= 5_000 && atMs < 10_000 ? usual * factor : usual;

const pattern = (
    name: string,
    servers: ReplayServers,
    rate: (atMs: number) => number,
    callers: Partial<ReplayCallers> = {},
): Pattern => ({ name, servers, callers: { ...lookups, ...callers }, rate, lengthMs: 20_000, seed: 7 });

/** Rate of new requests at which every slot would be in use at the usual speed of a busy server. */
export const fullRate = { crowdable: 60, roomy: 600 } as const;

const troubled = (
    name: string,
    servers: ReplayServers,
    perSecond: number,
    conduct: (server: number, atMs: number) => Conduct,
): Pattern => ({ ...pattern(name, servers, at(perSecond)), conduct });

const during = (fromMs: number, toMs: number, atMs: number): boolean => atMs >= fromMs && atMs < toMs;

/** Servers of one in seven that do something from the fifth to the fifteenth second. */
const someDo =
    (conduct: Conduct) =>
    (server: number, atMs: number): Conduct =>
        server % 7 === 0 && during(5_000, 15_000, atMs) ? conduct : "sound";

/** Each server in turn goes for half a second and comes back cold for three. */
const replaced = (server: number, atMs: number): Conduct => {
    const goneAt = 2_000 + server * 800;
    if (during(goneAt, goneAt + 500, atMs)) {
        return "gone";
    }
    return during(goneAt, goneAt + 3_500, atMs) ? "cold" : "sound";
};

const flapping = (server: number, atMs: number): Conduct =>
    server % 7 === 0 && Math.floor(atMs / 400) % 2 === 0 ? "fails" : "sound";

/** A quarter of the servers come in the fifth second. */
const added = (server: number, atMs: number): Conduct =>
    server % 4 !== 0 || atMs >= 8_000 ? "sound" : atMs < 5_000 ? "gone" : "cold";

/** Patterns in which servers misbehave, at the usual load. */
export const troublePatterns: readonly Pattern[] = [
    troubled("crowdable failing", crowdable, fullRate.crowdable, someDo("fails")),
    troubled("crowdable hanging", crowdable, fullRate.crowdable, someDo("hangs")),
    troubled("crowdable slow", crowdable, fullRate.crowdable, someDo("slow")),
    troubled("roomy slow", roomy, fullRate.roomy, someDo("slow")),
    troubled("crowdable crashed", crowdable, fullRate.crowdable, someDo("gone")),
    troubled("crowdable flapping", crowdable, fullRate.crowdable, flapping),
    troubled("crowdable replaced", crowdable, fullRate.crowdable, replaced),
    troubled("crowdable added", crowdable, fullRate.crowdable, added),
    troubled("roomy failing", roomy, fullRate.roomy, someDo("fails")),
    troubled("roomy hanging", roomy, fullRate.roomy, someDo("hangs")),
    troubled("roomy replaced", roomy, fullRate.roomy, replaced),
];

/** Every pattern of load alone. */
export const patterns: readonly Pattern[] = [
    pattern("crowdable 50%", crowdable, at(fullRate.crowdable * 0.5)),
    pattern("crowdable 100%", crowdable, at(fullRate.crowdable)),
    pattern("crowdable 150%", crowdable, at(fullRate.crowdable * 1.5)),
    pattern("crowdable 300%", crowdable, at(fullRate.crowdable * 3)),
    pattern("crowdable burst", crowdable, burst(fullRate.crowdable * 0.7, 2)),
    pattern("crowdable impatient", crowdable, at(fullRate.crowdable * 1.5), { impatient: 0.5 }),
    pattern("roomy 50%", roomy, at(fullRate.roomy * 0.5), { deadlineMs: 1_500, retries: 1 }),
    pattern("roomy 100%", roomy, at(fullRate.roomy), { deadlineMs: 1_500, retries: 1 }),
    pattern("roomy 150%", roomy, at(fullRate.roomy * 1.5), { deadlineMs: 1_500, retries: 1 }),
    pattern("roomy 300%", roomy, at(fullRate.roomy * 3), { deadlineMs: 1_500, retries: 1 }),
];
