/** What one balancer knows of one backend server: its load, its speed and its health. */

import type { ServerEntry } from "@bramleymoor/model/route";
import type { Belief, LoadReport, SendEnd, Slot } from "./types.js";

/** One incarnation of a backend server. */
export class ServerState {
    #entry: ServerEntry;
    #lapsed = false;
    readonly #slots = new Set<Slot>();
    readonly #firstSeenAt: number;
    #report: { readonly report: LoadReport; readonly ownAtReport: number; readonly at: number } | undefined;
    /** Whether a load question to it has no answer yet. */
    #asked = false;
    /** Whether its last load question stayed without an answer. */
    #mute = false;
    /** Whether it answers such questions without telling its load. */
    #tellsNothing = false;
    #failures = 0;
    #ejectedUntil = -Infinity;
    #leavingUntil = -Infinity;
    #fullUntil = -Infinity;
    /** Share of recent sends that failed. */
    #failureShare = 0;
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

    /** Requests of this entry VM in flight there. */
    get inFlight(): number {
        return this.#slots.size;
    }

    /** Share of recent sends that failed, 0 to 1. */
    get failureShare(): number {
        return this.#failureShare;
    }

    /** Whether its entry has lapsed while the store was away. */
    get lapsed(): boolean {
        return this.#lapsed;
    }

    /** Takes a newer entry of the same incarnation. */
    follow(entry: ServerEntry, lapsed: boolean): void {
        this.#entry = entry;
        this.#lapsed = lapsed;
    }

    /** Whether it may get new work at all. */
    usable(now: number): boolean {
        return !this.#entry.leaving && now >= this.#leavingUntil;
    }

    /** Whether failures keep it from getting work for now. */
    ejected(now: number): boolean {
        return now < this.#ejectedUntil || this.#silent(now);
    }

    /** Slots believed to be free; other entry VMs' use is known from reports, which age quickly. */
    free(now: number): number {
        if (now < this.#fullUntil) {
            return 0;
        }
        return this.#entry.slots - this.#slots.size - this.#others(now);
    }

    /** What a choice made now rests on. */
    belief(now: number): Belief {
        return {
            inFlight: this.#slots.size,
            report: this.#report?.report,
            ageMs: this.#report ? now - this.#report.at : 0,
        };
    }

    /** Whether asking it for its load would tell nothing new. */
    isFresh(now: number): boolean {
        return this.#tellsNothing || (this.#report !== undefined && now - this.#report.at <= freshMs);
    }

    /** Whether its load is about to be known; a server that doesn't answer such questions isn't waited for. */
    get awaited(): boolean {
        return this.#asked && !this.#mute;
    }

    /** Whether it is known to be calm and to have slots to spare, so that no other can be much better. */
    isIdeal(now: number): boolean {
        return this.isFresh(now) && this.free(now) > 0 && !this.crowded(now) && this.ownCost(now) < idealCost;
    }

    /** Whether its newest report, not yet worth asking again, says that work takes longer there than waiting for another server. */
    knownSlow(now: number, usualMs: number): boolean {
        if (!this.#report || now - this.#report.at > askAgainMs) {
            return false;
        }
        return (this.#report.report.slowdown - 1) * usualMs > spellMs;
    }

    /** Whether a request sent now would take one of its last slots. */
    crowded(now: number): boolean {
        return this.#fill(now) > crowdedFill;
    }

    /** Whether its last slots are in use. */
    get crowdedNow(): boolean {
        return this.#slots.size / Math.max(1, this.#entry.slots) > crowdedFill;
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
        const doubt = 1 + this.#failureShare * failureCost + (this.#lapsed ? lapsedCost : 0);
        return this.#slowdown(now) * this.#cold(now) * this.untoldSlowness(now) * doubt;
    }

    /** Takes note of how long an answer took, as a multiple of what was expected of the server. */
    paced(multiple: number, now: number): void {
        this.#pace += (Math.min(mostPace, multiple) - this.#pace) * paceWeight;
        this.#pacedAt = now;
    }

    /** Takes note of a load question on its way. */
    asked(): void {
        this.#asked = true;
    }

    /** Takes note of an answer to a load question that says nothing of load. */
    answeredWithoutLoad(): void {
        this.#asked = false;
        this.#mute = false;
        this.#tellsNothing = true;
    }

    /** Takes a load report that was made at `at`. */
    reported(report: LoadReport, at: number): void {
        this.#asked = false;
        this.#mute = false;
        this.#tellsNothing = false;
        if (this.#report === undefined || at >= this.#report.at) {
            this.#report = { report, ownAtReport: this.#slots.size, at };
        }
    }

    start(slot: Slot): void {
        this.#slots.add(slot);
    }

    /** Takes note of how a send ended; false if that was known. */
    settle(slot: Slot, end: SendEnd, now: number): boolean {
        if (!this.#slots.delete(slot)) {
            return false;
        }
        if (end.kind === "refused") {
            this.#refused(end.why, now);
        } else if (end.kind !== "cancelled") {
            this.#judge(isFailure(end), now);
        }
        return true;
    }

    /** Takes note of a load question that brought no answer. */
    unanswered(now: number): void {
        this.#asked = false;
        this.#mute = true;
        this.#judge(true, now);
    }

    #fill(now: number): number {
        return (this.#slots.size + this.#others(now) + 1) / Math.max(1, this.#entry.slots);
    }

    #refused(why: "full" | "leaving" | "other-incarnation", now: number): void {
        if (why === "full") {
            this.#fullUntil = now + fullPauseMs;
        } else {
            this.#leavingUntil = now + (why === "leaving" ? leavingMemoryMs : goneMemoryMs);
        }
    }

    #judge(failed: boolean, now: number): void {
        this.#failureShare += ((failed ? 1 : 0) - this.#failureShare) * failureWeight;
        if (!failed) {
            this.#failures = 0;
            return;
        }
        this.#failures++;
        if (this.#failures >= failuresToEject || this.#failureShare > failureShareToEject) {
            const doublings = Math.min(this.#failures - 1, maxDoublings);
            this.#ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** doublings);
        }
    }

    /** Whether its oldest request has waited so long that more work would probably hang too. */
    #silent(now: number): boolean {
        const [oldest] = this.#slots;
        return oldest !== undefined && now - oldest.grantedAt > silentMs;
    }

    /** Requests of other entry VMs running or waiting there. */
    #others(now: number): number {
        if (!this.#report || now - this.#report.at > othersMemoryMs) {
            return 0;
        }
        const { report, ownAtReport } = this.#report;
        return Math.max(0, report.running + report.waiting - ownAtReport);
    }

    /** The speed at its start settles how long a request takes; what was told of it fades. */
    #slowdown(now: number): number {
        if (!this.#report) {
            return unknownSlowdown;
        }
        const faded = Math.exp((this.#report.at - now) / slowdownMemoryMs);
        return unknownSlowdown + (this.#report.report.slowdown - unknownSlowdown) * faded;
    }

    /** Slowness that its reports don't tell; forgotten after a while, so that it is tried again. */
    untoldSlowness(now: number): number {
        return this.#pace >= slowPace && now - this.#pacedAt < paceMemoryMs ? this.#pace : 1;
    }

    #cold(now: number): number {
        const left = this.#firstSeenAt + this.#entry.warmUpMs - now;
        return left > 0 ? coldCost : 1;
    }
}

const isFailure = (end: SendEnd): boolean => end.kind !== "answered" || end.status >= 500;

/** Age up to which a report decides without asking again: a sixth of the time for which a speed lasts. */
const freshMs = 25;
/** Other entry VMs' requests are taken to have ended after this; two usual requests. */
const othersMemoryMs = 300;
/** A server's speed lasts for about 150 ms; half of that is left when it is seen. */
const slowdownMemoryMs = 100;
const spellMs = 75;
/** A slow server is asked again after this: a third of the time for which a speed lasts. */
const askAgainMs = 50;
/** Slowdown expected of a server of which nothing is known: slow a third of the time. */
const unknownSlowdown = 1.4;
/** Share of slots in use above which servers may slow down. */
const crowdedFill = 0.8;
/** Cost up to which no other server is worth waiting for: a sound one at its usual speed. */
const idealCost = 1.2;
/** Prefers emptier servers below that. */
const fillCost = 0.1;
const coldCost = 2;
/** Three answers in a row that take four times as long as expected show a slow server. */
const paceWeight = 0.3;
const mostPace = 8;
/** Times of sound servers spread by less than this. */
const slowPace = 2;
/** Servers of which nothing was heard for so long are tried again. */
const paceMemoryMs = 3_000;
/** Makes a server that fails always as costly as four that are sound. */
const failureCost = 3;
const lapsedCost = 2;
const failureWeight = 0.15;
const failuresToEject = 3;
const failureShareToEject = 0.45;
const firstEjectionMs = 250;
const maxEjectionMs = 4_000;
const maxDoublings = 6;
/** A request without an answer for so long marks a server that hangs. */
const silentMs = 2_000;
/** A full server gets nothing until one of its requests has probably ended. */
const fullPauseMs = 40;
const leavingMemoryMs = 20_000;
/** An address under which another server answers is not tried again before its entry is known to be gone. */
const goneMemoryMs = 60_000;
