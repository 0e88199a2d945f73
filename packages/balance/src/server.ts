/** What one balancer knows of one backend server: its slots, load, speed and health. */

import type { ServerEntry } from "@bramleymoor/model/route";
import { ServerHealth } from "./health.js";
import { ServerLoad } from "./load.js";
import type { LoadSnapshot, LoadReport, SlotResult, Slot } from "./types.js";

/** One incarnation of a backend server. */
export class ServerState {
    readonly #slots = new Set<Slot>();
    readonly #load = new ServerLoad();
    readonly #health = new ServerHealth();
    readonly #firstSeenAt: number;
    #entry: ServerEntry;
    #lapsed = false;
    /** Time of its recent answers as a multiple of what was expected, and when the last one came. */
    #pace = 1;
    #pacedAt = -Infinity;

    /** @param now when this entry VM first heard of it */
    constructor(entry: ServerEntry, now: number) {
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

    /** Whether its load is about to be known. */
    get awaited(): boolean {
        return this.#load.awaited;
    }

    /** Whether its last slots are in use. */
    get crowdedNow(): boolean {
        return this.#slots.size / Math.max(1, this.#entry.slots) > crowdedFill;
    }

    /** Takes a newer entry of the same incarnation; `lapsed` tells that its entry ran out while the store was away. */
    follow(entry: ServerEntry, lapsed: boolean): void {
        this.#entry = entry;
        this.#lapsed = lapsed;
    }

    /** Whether it may get new work at all. */
    usable(now: number): boolean {
        return !this.#entry.leaving && !this.#health.isLeaving(now);
    }

    /** Whether failures or silence keep it from getting work for now. */
    ejected(now: number): boolean {
        return this.#health.isEjected(now) || this.#silent(now);
    }

    /** Slots believed to be free; other entry VMs' use is known from reports, which age quickly. */
    free(now: number): number {
        return this.#health.isFull(now) ? 0 : this.#entry.slots - this.#slots.size - this.#load.others(now);
    }

    /** What a choice made now rests on. */
    belief(now: number): LoadSnapshot {
        return { inFlight: this.#slots.size, report: this.#load.report, ageMs: this.#load.ageMs(now) };
    }

    /** Whether asking it for its load would tell nothing new. */
    isFresh(now: number): boolean {
        return this.#load.isFresh(now);
    }

    /** Whether it is known to be calm and to have slots to spare, so that no other can be much better. */
    isIdeal(now: number): boolean {
        return this.isFresh(now) && this.free(now) > 0 && !this.crowded(now) && this.ownCost(now) < idealCost;
    }

    /** Whether it is in a slow spell that is worth waiting for the end of; see `ServerLoad`. */
    knownSlow(now: number, usualMs: number): boolean {
        return this.#load.knownSlow(now, usualMs);
    }

    /** Whether a request sent now would take one of its last slots. */
    crowded(now: number): boolean {
        return this.#fill(now) > crowdedFill;
    }

    /**
     * Expected time of a request sent now, as a multiple of the usual time on an idle, calm server.
     *
     * @param crowdedFactor how much longer requests take on a server's last slots
     */
    cost(now: number, crowdedFactor: number): number {
        return this.ownCost(now) * (this.crowded(now) ? crowdedFactor : 1 + this.#fill(now) * fillCost);
    }

    /** The same without its load: its speed, whether it is new, and how far it can be trusted. */
    ownCost(now: number): number {
        const doubt = 1 + this.#health.failureShare * failureCost + (this.#lapsed ? lapsedCost : 0);
        return this.#load.slowdown(now) * this.#cold(now) * this.untoldSlowness(now) * doubt;
    }

    /** Slowness that its reports don't tell; forgotten after a while, so that it is tried again. */
    untoldSlowness(now: number): number {
        return this.#pace >= slowPace && now - this.#pacedAt < paceMemoryMs ? this.#pace : 1;
    }

    /** Takes note of how long an answer took, as a multiple of what its reports let expect. */
    paced(multiple: number, now: number): void {
        this.#pace += (Math.min(mostPace, multiple) - this.#pace) * paceWeight;
        this.#pacedAt = now;
    }

    /** Takes note of a load question on its way. */
    asked(): void {
        this.#load.asked();
    }

    /** Takes a load report that was made at `at`. */
    reported(report: LoadReport, at: number): void {
        this.#load.reported(report, this.#slots.size, at);
    }

    /** Takes note of an answer to a load question that says nothing of load. */
    answeredWithoutLoad(): void {
        this.#load.answeredWithoutLoad();
    }

    /** Takes note of a load question that brought no answer. */
    unanswered(now: number): void {
        this.#load.unanswered();
        this.#health.judge(true, now);
    }

    /** Takes a request that is sent to it. */
    start(slot: Slot): void {
        this.#slots.add(slot);
    }

    /** Takes note of how a send ended; nothing if that was known. */
    settle(slot: Slot, end: SlotResult, now: number): void {
        if (!this.#slots.delete(slot)) {
            return;
        }
        if (end.kind === "refused") {
            this.#health.refused(end.why, now);
        } else if (end.kind !== "cancelled") {
            this.#health.judge(isFailure(end), now);
        }
    }

    #fill(now: number): number {
        return (this.#slots.size + this.#load.others(now) + 1) / Math.max(1, this.#entry.slots);
    }

    /** Whether its oldest request has waited so long that more work would probably hang too. */
    #silent(now: number): boolean {
        const [oldest] = this.#slots;
        return oldest !== undefined && now - oldest.grantedAt > silentMs;
    }

    #cold(now: number): number {
        return this.#firstSeenAt + this.#entry.warmUpMs > now ? coldCost : 1;
    }
}

const isFailure = (end: SlotResult): boolean => end.kind !== "answered" || end.status >= serverErrors;

const serverErrors = 500;
/** Share of slots in use above which servers may slow down. */
const crowdedFill = 0.8;
/** Cost up to which no other server is worth waiting for: a sound one at its usual speed. */
const idealCost = 1.2;
/** Prefers emptier servers below that share. */
const fillCost = 0.1;
/** New servers are slower by two to three times for some seconds. */
const coldCost = 2;
/** Makes a server that fails always as costly as four that are sound. */
const failureCost = 3;
/** A server whose entry lapsed in an outage of the store is asked after two sound ones. */
const lapsedCost = 2;
/** Three answers in a row that take four times as long as expected show a slow server. */
const paceWeight = 0.3;
/** A single answer that hung for long is not remembered for longer than a slow one. */
const mostPace = 8;
/** Times of sound servers spread by less than this. */
const slowPace = 2;
/** Servers of which nothing was heard for so long are tried again. */
const paceMemoryMs = 3_000;
/** A request without an answer for so long marks a server that hangs. */
const silentMs = 2_000;
