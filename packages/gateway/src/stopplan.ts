/** When what ends during a planned stop. Times are monotonic milliseconds. */

import type { GatewaySettings } from "./settings.js";

/** The times of one planned stop, which all count from its signal. */
export class StopPlan {
    /** When callers no longer use an older address list, so that connections are drained. */
    readonly drainAt: number;
    /** Until when waiting requests may be sent to servers. */
    readonly lastSendAt: number;
    /** When the process ends, whatever is still at work. */
    readonly endsAt: number;

    constructor(
        now: number,
        { shutdownGraceMs, addressTtlMs }: Pick<GatewaySettings, "shutdownGraceMs" | "addressTtlMs">,
    ) {
        this.drainAt = now + Math.min(addressTtlMs + leavePropagationMs, shutdownGraceMs / 2);
        this.endsAt = now + Math.max(shutdownGraceMs - exitReserveMs, shutdownGraceMs / 2);
        this.lastSendAt = Math.max(this.drainAt, this.endsAt - workReserveMs);
    }

    /** Whether a request that is read now is served; one that may take beyond the end isn't, once callers know others. */
    admits(deadlineAt: number, now: number): boolean {
        return now < this.drainAt || deadlineAt <= this.endsAt;
    }

    /** Whether a request may be sent to a server. */
    allowsSend(now: number): boolean {
        return now < this.lastSendAt;
    }
}

/** Time for the other entry VMs to learn by gossip that this one is leaving. */
const leavePropagationMs = 500;
/** Part of the grace period that is reserved for writing the last log lines and exiting. */
const exitReserveMs = 400;
/** Part of the grace period that is reserved for requests at work at servers. */
const workReserveMs = 1_000;
