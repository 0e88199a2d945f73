/** Health of a backend server, judged by the outcomes of requests and probes. */

/** The health of one incarnation of a server. */
export class ServerHealth {
    #consecutiveFailures = 0;
    #ejectedUntil = -Infinity;
    #leavingUntil = -Infinity;
    #fullUntil = -Infinity;
    #failureShare = 0;

    /** Share of recent sends that failed, 0 to 1. */
    get failureShare(): number {
        return this.#failureShare;
    }

    /** Whether the server is ejected because of failures. */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Whether the server has said that it is leaving, or another server has responded at its address. */
    isLeaving(now: number): boolean {
        return now < this.#leavingUntil;
    }

    /** Whether the server has just refused a request because all its slots were in use. */
    isFull(now: number): boolean {
        return now < this.#fullUntil;
    }

    /** Records that the server refused a request. */
    recordRefusal(reason: "full" | "leaving" | "other-incarnation", now: number): void {
        if (reason === "full") {
            this.#fullUntil = now + fullHoldMs;
        } else {
            this.#leavingUntil = now + (reason === "leaving" ? leavingHoldMs : replacedHoldMs);
        }
    }

    /**
     * Records a response or a failure. Consecutive failures or a large share of failures eject the server for a
     * time that doubles with each further failure in a row.
     */
    recordOutcome(failed: boolean, now: number): void {
        this.#failureShare += ((failed ? 1 : 0) - this.#failureShare) * failureShareWeight;
        if (!failed) {
            this.#consecutiveFailures = 0;
            return;
        }
        this.#consecutiveFailures++;
        if (
            this.#consecutiveFailures >= consecutiveFailuresToEject ||
            this.#failureShare > failureShareToEject
        ) {
            const doublings = Math.min(this.#consecutiveFailures - 1, maxDoublings);
            this.#ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** doublings);
        }
    }
}

/** Weight of the latest outcome in the moving average, which covers about the last seven. */
const failureShareWeight = 0.15;
/** Two consecutive failures also happen on healthy servers when connections are reset. */
const consecutiveFailuresToEject = 3;
/** Above 0.4, the failure share of partially failing servers, which are still worth using. */
const failureShareToEject = 0.45;
/** About the duration of two normal requests. */
const firstEjectionMs = 250;
/** Longest time until a recovered server is tried again. */
const maxEjectionMs = 4_000;
/** Bounds the exponent; `maxEjectionMs` is reached earlier. */
const maxDoublings = 6;
/** Time after which one of a full server's requests has probably ended. */
const fullHoldMs = 40;
/** Longer than a leaving server continues to serve. */
const leavingHoldMs = 20_000;
/** Time after which the entry of a server whose address another one has taken is certainly removed. */
const replacedHoldMs = 60_000;
