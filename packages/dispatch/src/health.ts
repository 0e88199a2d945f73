/** What a server's own answers and silences tell about its health. */

import type { Slot, SlotResult } from "./types.js";

/** How far a server is trusted with new work. */
export type Trust =
    /** It may use all its slots. */
    | "full"
    /** Its last answer was late or a failure; it gets one request at a time until one is good. */
    | "trial"
    /** An outstanding request is older than the service's slow age; it gets nothing until it answers. */
    | "silent"
    /** Failed several times in a row; it gets nothing for a while. */
    | "ejected";

/** Health of one server as one dispatcher sees it. */
export class ServerHealth {
    readonly #waiting = new Set<Slot>();
    #failures = 0;
    #doubted = false;
    #ejectedUntil = 0;
    #ejections = 0;

    started(slot: Slot): void {
        this.#waiting.add(slot);
    }

    /** The first byte of an answer is as good as an answer: what follows may be long by nature. False if known. */
    answering(slot: Slot): boolean {
        return this.#waiting.delete(slot);
    }

    /** @param slowAgeMs latency beyond which an answer counts as late */
    ended(slot: Slot, result: SlotResult, slowAgeMs: number, now: number): void {
        const answered = !this.#waiting.delete(slot);
        if (result.kind === "cancelled") {
            this.#doubted ||= !answered && now - slot.grantedAt > slowAgeMs;
        } else if (isFailure(result)) {
            this.#failed(now);
        } else {
            this.#answered(answered || now - slot.grantedAt <= slowAgeMs);
        }
    }

    /** @param slowAgeMs age beyond which an outstanding request makes its server suspect */
    trust(slowAgeMs: number, now: number): Trust {
        if (now < this.#ejectedUntil) {
            return "ejected";
        }
        if (this.oldestAge(now) > slowAgeMs) {
            return "silent";
        }
        return this.#doubted ? "trial" : "full";
    }

    /** Age of the oldest request without a first byte, in milliseconds; 0 if there is none. */
    oldestAge(now: number): number {
        const [oldest] = this.#waiting;
        return oldest ? now - oldest.grantedAt : 0;
    }

    #answered(inTime: boolean): void {
        this.#failures = 0;
        this.#ejections = inTime ? 0 : this.#ejections;
        this.#doubted = !inTime;
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

const failuresToEject = 2;
const firstEjectionMs = 250;
const maxEjectionMs = 5_000;
