/** Decides which of the dispatchers' messages to each other are worth their bytes. */

import type { PeerMessage } from "@bramleymoor/dispatch/sharing";

/** Requests in flight and queued below which a dispatcher counts as idle. */
const idleDemand = 0.05;
/** An idle dispatcher's demand is told so often, so that the others know it for idle, not for unknown. */
const idleHintEveryMs = 5_000;

/** Thins out the hints of idle dispatchers. */
export class SlotMessageFilter {
    readonly #toldAt = new Map<string, number>();

    /** Whether a message should be sent to the dispatcher of `service` at place `to` now. */
    shouldSend(service: string, to: number, message: PeerMessage, now: number): boolean {
        const key = `${service} ${to}`;
        if (message.kind === "loan") {
            // Whoever asks may not know this demand yet, so the next hint goes out, idle or not.
            this.#toldAt.delete(key);
        }
        if (message.kind !== "hint") {
            return true;
        }
        const due = now - (this.#toldAt.get(key) ?? -Infinity) >= idleHintEveryMs;
        if (message.demand < idleDemand && !due) {
            return false;
        }
        this.#toldAt.set(key, now);
        return true;
    }
}
