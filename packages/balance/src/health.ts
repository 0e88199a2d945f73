/** Whether one backend server may get work, by how sends and load questions to it have ended. */

/** The health of one incarnation of a server. */
export class ServerHealth {
    #failures = 0;
    #ejectedUntil = -Infinity;
    #leavingUntil = -Infinity;
    #fullUntil = -Infinity;
    #failureShare = 0;

    /** Share of recent sends that failed, 0 to 1. */
    get failureShare(): number {
        return this.#failureShare;
    }

    /** Whether failures keep it from getting work for now. */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Whether it said that it leaves, or another server answered in its place. */
    isLeaving(now: number): boolean {
        return now < this.#leavingUntil;
    }

    /** Whether it refused a request just now, as it was full. */
    isFull(now: number): boolean {
        return now < this.#fullUntil;
    }

    /** Takes note of a refusal by the server itself. */
    refused(why: "full" | "leaving" | "other-incarnation", now: number): void {
        if (why === "full") {
            this.#fullUntil = now + fullPauseMs;
        } else {
            this.#leavingUntil = now + (why === "leaving" ? leavingMemoryMs : goneMemoryMs);
        }
    }

    /** Takes note of an answer or a failure; failures in a row or a large share of them eject it for a while. */
    judge(failed: boolean, now: number): void {
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
}

/** Remembers about the last seven sends. */
const failureWeight = 0.15;
/** Two failures in a row happen to sound servers when connections are reset. */
const failuresToEject = 3;
/** Grey servers fail two fifths of their requests, and are still worth some work. */
const failureShareToEject = 0.45;
/** Two usual requests. */
const firstEjectionMs = 250;
/** A server that has come back gets work again within this. */
const maxEjectionMs = 4_000;
/** Keeps the power finite; the longest ejection is reached before it. */
const maxDoublings = 6;
/** A full server gets nothing until one of its requests has probably ended. */
const fullPauseMs = 40;
/** Longer than a leaving server goes on serving. */
const leavingMemoryMs = 20_000;
/** An address under which another server answers is not tried again before its entry is known to be gone. */
const goneMemoryMs = 60_000;
