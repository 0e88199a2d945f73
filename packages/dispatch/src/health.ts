/** Health of a backend server, judged by its responses, its failures and the age of unanswered requests. */

import type { LatencyModel } from "./latency.js";
import type { Slot, SlotResult } from "./types.js";

/** Health of a server, which limits the requests that it gets. */
export type HealthState =
    /** All its slots may be used. */
    | "healthy"
    /** New, or the last request failed: gets one request at a time until one succeeds. */
    | "trial"
    /** Probably slow now: gets no new requests while that is so. */
    | "slow"
    /** Failed several times in a row: gets no requests for some time. */
    | "ejected";

/** Health of one server as observed by one dispatcher. */
export class ServerHealth {
    readonly #model: LatencyModel;
    readonly #unanswered = new Set<Slot>();
    /** Log-odds that the server is slow, as of `#slowLogOddsAt`, from requests with a first byte and ended ones. */
    #slowLogOdds = priorLogOdds;
    #slowLogOddsAt = 0;
    #pendingEvidenceCache: { readonly evidence: number; readonly at: number } = {
        evidence: 0,
        at: -Infinity,
    };
    #consecutiveFailures = 0;
    #onTrial: boolean;
    #ejectedUntil = 0;
    #consecutiveEjections = 0;

    /** @param onTrial whether a request has to succeed before all slots may be used */
    constructor(model: LatencyModel, onTrial: boolean) {
        this.#model = model;
        this.#onTrial = onTrial;
    }

    /** Records that a slot's request is sent. */
    recordStart(slot: Slot): void {
        this.#unanswered.add(slot);
    }

    /**
     * Records the first byte of a response; false if already recorded. The rest isn't timed, as a long response
     * doesn't mean a slow server.
     */
    recordFirstByte(slot: Slot, now: number): boolean {
        if (!this.#unanswered.delete(slot)) {
            return false;
        }
        if (this.#model.isReady) {
            this.#addEvidence(this.#model.responseEvidence(now - slot.grantedAt), now);
        }
        return true;
    }

    /** Records how a slot's request ended. */
    recordEnd(slot: Slot, result: SlotResult, now: number): void {
        const wasUnanswered = this.#unanswered.delete(slot);
        if (
            wasUnanswered &&
            this.#model.isReady &&
            (result.kind === "cancelled" || result.kind === "timeout")
        ) {
            this.#addEvidence(this.#model.pendingEvidence(now - slot.grantedAt), now);
        }
        if (isFailure(result)) {
            this.#recordFailure(now);
        } else if (result.kind === "answered") {
            this.#consecutiveFailures = 0;
            this.#consecutiveEjections = 0;
            this.#onTrial = false;
        }
    }

    /**
     * Returns the server's present health.
     *
     * @param logOddsLimit log-odds of being slow above which the server gets no new requests
     */
    state(logOddsLimit: number, now: number): HealthState {
        if (now < this.#ejectedUntil) {
            return "ejected";
        }
        if (this.slowLogOdds(now) > logOddsLimit) {
            return "slow";
        }
        return this.#onTrial ? "trial" : "healthy";
    }

    /** Log-odds that the server is slow now. */
    slowLogOdds(now: number): number {
        if (!this.#model.isReady) {
            return priorLogOdds;
        }
        return Math.min(maxLogOdds, this.#decayedLogOdds(now) + this.#pendingEvidence(now));
    }

    /** Age of the oldest request without a first byte, in milliseconds; 0 if there is none. */
    oldestAgeMs(now: number): number {
        const [oldest] = this.#unanswered;
        return oldest ? now - oldest.grantedAt : 0;
    }

    #addEvidence(evidence: number, now: number): void {
        this.#slowLogOdds = Math.max(minLogOdds, Math.min(maxLogOdds, this.#decayedLogOdds(now) + evidence));
        this.#slowLogOddsAt = now;
    }

    /**
     * Returns the evidence from all unanswered requests. With many of them it may be up to
     * `pendingEvidenceTtlMs` old, as each evaluation visits all of them.
     */
    #pendingEvidence(now: number): number {
        if (
            this.#unanswered.size > alwaysReevaluatedRequests &&
            now < this.#pendingEvidenceCache.at + pendingEvidenceTtlMs
        ) {
            return this.#pendingEvidenceCache.evidence;
        }
        let evidence = 0;
        for (const slot of this.#unanswered) {
            evidence += this.#model.pendingEvidence(now - slot.grantedAt);
        }
        this.#pendingEvidenceCache = { evidence, at: now };
        return evidence;
    }

    #decayedLogOdds(now: number): number {
        return (
            priorLogOdds +
            (this.#slowLogOdds - priorLogOdds) * Math.exp((this.#slowLogOddsAt - now) / evidenceDecayMs)
        );
    }

    #recordFailure(now: number): void {
        this.#onTrial = true;
        if (++this.#consecutiveFailures >= consecutiveFailuresToEject && now >= this.#ejectedUntil) {
            this.#ejectedUntil =
                now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** this.#consecutiveEjections);
            this.#consecutiveEjections++;
        }
    }
}

const isFailure = (result: SlotResult): boolean =>
    result.kind === "answered" ? result.status >= 500 : result.kind !== "cancelled";

/** Number of unanswered requests up to which their evidence is always evaluated anew. */
const alwaysReevaluatedRequests = 8;
/** Time for which the evidence from more requests is cached. */
const pendingEvidenceTtlMs = 1;
const consecutiveFailuresToEject = 2;
const firstEjectionMs = 250;
const maxEjectionMs = 5_000;
/** Log-odds that a server without any evidence is slow. */
const priorLogOdds = -3.5;
const minLogOdds = -5;
const maxLogOdds = 6;
/** Time constant with which past evidence decays. */
const evidenceDecayMs = 300;
