/** What a server's own answers and silences tell about its health. */

import type { LatencyModel } from "./latency.js";
import type { Slot, SlotResult } from "./types.js";

/** How far a server is trusted with new work. */
export type Trust =
    /** It may use all its slots. */
    | "full"
    /** It is new or its last answer was a failure; it gets one request at a time until one succeeds. */
    | "trial"
    /** It is probably slow now; it gets nothing until that is over. */
    | "slow"
    /** Failed several times in a row; it gets nothing for a while. */
    | "ejected";

/** Health of one server as one dispatcher sees it. */
export class ServerHealth {
    readonly #model: LatencyModel;
    readonly #waiting = new Set<Slot>();
    /** Log-odds that the server is slow, from what has ended, as of `#oddsAt`. */
    #odds = priorOdds;
    #oddsAt = 0;
    #silence: { readonly evidence: number; readonly at: number } = { evidence: 0, at: -Infinity };
    #failures = 0;
    #doubted: boolean;
    #ejectedUntil = 0;
    #ejections = 0;

    /** @param doubted whether it has to show a good answer before it gets a full share */
    constructor(model: LatencyModel, doubted: boolean) {
        this.#model = model;
        this.#doubted = doubted;
    }

    started(slot: Slot): void {
        this.#waiting.add(slot);
    }

    /** Counts an answer's first byte, as what follows may be long by nature; false if counted before. */
    answering(slot: Slot, now: number): boolean {
        if (!this.#waiting.delete(slot)) {
            return false;
        }
        if (this.#model.ready) {
            this.#note(this.#model.answerEvidence(now - slot.grantedAt), now);
        }
        return true;
    }

    ended(slot: Slot, result: SlotResult, now: number): void {
        const silent = this.#waiting.delete(slot);
        if (silent && this.#model.ready && (result.kind === "cancelled" || result.kind === "timeout")) {
            this.#note(this.#model.silenceEvidence(now - slot.grantedAt), now);
        }
        if (isFailure(result)) {
            this.#failed(now);
        } else if (result.kind === "answered") {
            this.#failures = 0;
            this.#ejections = 0;
            this.#doubted = false;
        }
    }

    /** @param oddsLimit log-odds of being slow above which it gets no new work */
    trust(oddsLimit: number, now: number): Trust {
        if (now < this.#ejectedUntil) {
            return "ejected";
        }
        if (this.slowOdds(now) > oddsLimit) {
            return "slow";
        }
        return this.#doubted ? "trial" : "full";
    }

    /** Log-odds that the server is slow now. */
    slowOdds(now: number): number {
        if (!this.#model.ready) {
            return priorOdds;
        }
        return Math.min(maxOdds, this.#pastOdds(now) + this.#silenceEvidence(now));
    }

    /** Age of the oldest request without a first byte, in milliseconds; 0 if there is none. */
    oldestAge(now: number): number {
        const [oldest] = this.#waiting;
        return oldest ? now - oldest.grantedAt : 0;
    }

    #note(evidence: number, now: number): void {
        this.#odds = Math.max(minOdds, Math.min(maxOdds, this.#pastOdds(now) + evidence));
        this.#oddsAt = now;
    }

    /** What all silences say; with many requests it may be a little old, as each look goes through all of them. */
    #silenceEvidence(now: number): number {
        if (this.#waiting.size > fewRequests && now < this.#silence.at + silenceStepMs) {
            return this.#silence.evidence;
        }
        let evidence = 0;
        for (const slot of this.#waiting) {
            evidence += this.#model.silenceEvidence(now - slot.grantedAt);
        }
        this.#silence = { evidence, at: now };
        return evidence;
    }

    #pastOdds(now: number): number {
        return priorOdds + (this.#odds - priorOdds) * Math.exp((this.#oddsAt - now) / memoryMs);
    }

    #failed(now: number): void {
        this.#doubted = true;
        if (++this.#failures >= failuresToEject && now >= this.#ejectedUntil) {
            this.#ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** this.#ejections);
            this.#ejections++;
        }
    }
}

const isFailure = (result: SlotResult): boolean =>
    result.kind === "answered" ? result.status >= 500 : result.kind !== "cancelled";

/** Up to so many requests, their silences are weighed anew at each look. */
const fewRequests = 8;
/** Time between two looks at the silences of more requests. */
const silenceStepMs = 1;
const failuresToEject = 2;
const firstEjectionMs = 250;
const maxEjectionMs = 5_000;
/** Log-odds of a server of which nothing is known. */
const priorOdds = -3.5;
const minOdds = -5;
const maxOdds = 6;
/** Time constant with which past evidence fades. */
const memoryMs = 300;
