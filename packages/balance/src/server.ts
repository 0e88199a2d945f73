/** State of one backend server as one balancer knows it: slots in flight, load, speed and health. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import { ServerHealth } from "./health.js";
import { ServerLoad } from "./load.js";
import type { ListedServer, LoadReport, LoadSnapshot, Slot, SlotResult } from "./types.js";

/** One incarnation of a backend server. */
export class ServerState {
    /** Identifies the incarnation. */
    readonly key: string;
    readonly #slots = new Set<Slot>();
    /** The slots whose response hasn't begun to arrive. */
    readonly #unanswered = new Set<Slot>();
    readonly #load = new ServerLoad();
    readonly #health = new ServerHealth();
    readonly #firstSeenAt: number;
    #entry: ServerEntry;
    #lapsed = false;
    #evacuated = false;
    /** Moving average of observed over expected latency, and when the last response arrived. */
    #latencyRatio = 1;
    #latencyRatioAt = -Infinity;

    /** @param now when this entry VM first learned of the server */
    constructor(entry: ServerEntry, now: number) {
        this.key = incarnationKey(entry);
        this.#entry = entry;
        this.#firstSeenAt = now;
    }

    get entry(): ServerEntry {
        return this.#entry;
    }

    /** Share of recent sends that failed, 0 to 1. */
    get failureShare(): number {
        return this.#health.failureShare;
    }

    /** Whether a response to a probe is expected. */
    get probePending(): boolean {
        return this.#load.probePending;
    }

    /** Whether the last slots are in use. */
    get isSaturated(): boolean {
        return this.#slots.size / Math.max(1, this.#entry.slots) > saturationThreshold;
    }

    /** Replaces what the store says of this incarnation. */
    update({ entry, lapsed, evacuated = false }: ListedServer): void {
        this.#entry = entry;
        this.#lapsed = lapsed;
        this.#evacuated = evacuated;
    }

    /** Whether the server's failure domain is evacuated, so that it gets neither requests nor probes. */
    get isEvacuated(): boolean {
        return this.#evacuated;
    }

    /** Whether the server may get new requests: it is neither evacuated nor known to be leaving. */
    isUsable(now: number): boolean {
        return !this.#evacuated && !this.#entry.leaving && !this.#health.isLeaving(now);
    }

    /**
     * Whether the server is ejected because of failures or because it doesn't respond.
     *
     * @param runningSince end of this process's latest pause, in which it could read no response
     */
    isEjected(now: number, runningSince = -Infinity): boolean {
        return this.#health.isEjected(now) || this.#isUnresponsive(now, runningSince);
    }

    /** Estimate of the free slots; the use by other entry VMs is known from reports, which age quickly. */
    freeSlots(now: number): number {
        return this.#health.isFull(now)
            ? 0
            : this.#entry.slots - this.#slots.size - this.#load.otherRequests(now);
    }

    /** Whether a request sent now would delay no other, even if the server slows down when its last slots are in use. */
    hasIdleSlots(now: number): boolean {
        const free = this.freeSlots(now);
        return free > 0 && (free === this.#entry.slots || !this.wouldSaturate(now));
    }

    /** Whether the server has become known so recently that it may still be slower than usual. */
    isWarmingUp(now: number): boolean {
        return this.#firstSeenAt + this.#entry.warmUpMs > now;
    }

    /** The load as known now. */
    loadSnapshot(now: number): LoadSnapshot {
        return { inFlight: this.#slots.size, report: this.#load.report, ageMs: this.#load.ageMs(now) };
    }

    /** Whether the known load is fresh, so that a probe would add nothing. */
    isFresh(now: number): boolean {
        return this.#load.isFresh(now);
    }

    /** Whether it is known how busy the server is, or that can't be known. */
    isLoadKnown(now: number): boolean {
        return this.#load.isKnown(now);
    }

    /** Whether the server is known to be fast and to have slots to spare, so that no other can be much better. */
    isIdeal(now: number): boolean {
        return (
            this.isFresh(now) &&
            this.freeSlots(now) > 0 &&
            !this.wouldSaturate(now) &&
            this.baseCost(now) < maxIdealCost
        );
    }

    /** Whether the server is in a slow period whose end is worth waiting for; see `ServerLoad.isInSlowPeriod`. */
    isInSlowPeriod(now: number, baselineMs: number): boolean {
        return this.#load.isInSlowPeriod(now, baselineMs);
    }

    /** Whether a request sent now would take one of the last slots. */
    wouldSaturate(now: number): boolean {
        return this.#utilization(now) > saturationThreshold;
    }

    /**
     * Expected latency of a request sent now, as a multiple of the latency on an idle server that isn't slow.
     *
     * @param saturationFactor latency on a saturated server, as a multiple of the baseline
     */
    cost(now: number, saturationFactor: number): number {
        return (
            this.baseCost(now) *
            (this.wouldSaturate(now) ? saturationFactor : 1 + this.#utilization(now) * utilizationCost)
        );
    }

    /** The same without the effect of load: speed, warm-up and reliability. */
    baseCost(now: number): number {
        const reliabilityCost = 1 + this.#health.failureShare * failureCost + (this.#lapsed ? lapsedCost : 0);
        return (
            this.#load.slowdown(now) *
            this.#warmUpFactor(now) *
            this.unreportedSlowdown(now) *
            reliabilityCost
        );
    }

    /** Slowdown beyond what the reports show; expires after a while, so that the server is tried again. */
    unreportedSlowdown(now: number): number {
        return this.#latencyRatio >= slowLatencyRatio && now - this.#latencyRatioAt < latencyRatioTtlMs
            ? this.#latencyRatio
            : 1;
    }

    /** Records the latency of a response as a multiple of the latency expected from the reports. */
    recordLatencyRatio(ratio: number, now: number): void {
        this.#latencyRatio += (Math.min(maxLatencyRatio, ratio) - this.#latencyRatio) * latencyRatioWeight;
        this.#latencyRatioAt = now;
    }

    /** Slowdown according to the latest report, if that was made at `since` or later. */
    slowdownSince(since: number): number | undefined {
        return this.#load.slowdownSince(since);
    }

    /** Records that a probe was sent. */
    recordProbeSent(): void {
        this.#load.recordProbeSent();
    }

    /** Records a load report that was made at `takenAt` at the earliest. */
    recordLoad(report: LoadReport, takenAt: number, receivedAt: number): void {
        this.#load.recordReport(report, this.#slots.size, takenAt, receivedAt);
    }

    /** Records a response to a probe that contains no load report. */
    recordResponseWithoutLoad(): void {
        this.#load.recordResponseWithoutLoad();
    }

    /** Records that a probe got no response, which counts as a failure. */
    recordUnansweredProbe(now: number): void {
        this.#load.recordUnansweredProbe();
        this.#health.recordOutcome(true, now);
    }

    /** Records that a slot's request is sent to the server. */
    start(slot: Slot): void {
        this.#slots.add(slot);
        this.#unanswered.add(slot);
    }

    /** Records that the head of the response to a slot's request has arrived. */
    recordResponseHead(slot: Slot): void {
        this.#unanswered.delete(slot);
    }

    /** Records how a slot's request ended; ignored if it is already settled. */
    settle(slot: Slot, result: SlotResult, now: number): void {
        this.#unanswered.delete(slot);
        if (!this.#slots.delete(slot)) {
            return;
        }
        if (result.kind === "refused") {
            this.#health.recordRefusal(result.reason, now);
        } else if (result.kind !== "cancelled") {
            this.#health.recordOutcome(isFailure(result), now);
        }
    }

    #utilization(now: number): number {
        return (this.#slots.size + this.#load.otherRequests(now) + 1) / Math.max(1, this.#entry.slots);
    }

    /** Whether the oldest request has got no response for so long that further ones would probably get none either. */
    #isUnresponsive(now: number, runningSince: number): boolean {
        const [oldest] = this.#unanswered;
        return oldest !== undefined && now - Math.max(oldest.grantedAt, runningSince) > unresponsiveMs;
    }

    #warmUpFactor(now: number): number {
        return this.isWarmingUp(now) ? warmUpCost : 1;
    }
}

const isFailure = (result: SlotResult): boolean =>
    result.kind !== "answered" || (result.status >= firstServerErrorStatus && !result.notNow);

const firstServerErrorStatus = 500;
/** Share of slots in use above which a server counts as saturated and may slow down. */
const saturationThreshold = 0.8;
/** Cost up to which no other server is worth waiting for: a healthy one at normal speed. */
const maxIdealCost = 1.2;
/** Cost per share of slots in use below the threshold, so that emptier servers are preferred. */
const utilizationCost = 0.1;
/** New servers are two to three times slower for some seconds. */
const warmUpCost = 2;
/** Makes a server that always fails four times as costly as a healthy one. */
const failureCost = 3;
/** Makes a server whose entry expired during an outage of the store three times as costly as a healthy one. */
const lapsedCost = 2;
/** Three consecutive responses that take four times as long as expected reveal a slow server. */
const latencyRatioWeight = 0.3;
/** Limits the ratio of one response, so that a request that hung for long counts no more than a slow one. */
const maxLatencyRatio = 8;
/** Ratio from which a server counts as slow; latencies of healthy servers vary by less. */
export const slowLatencyRatio = 2;
/** Time without a response after which a slow server is tried again. */
const latencyRatioTtlMs = 3_000;
/** Age of an unanswered request from which its server counts as unresponsive. */
const unresponsiveMs = 2_000;
