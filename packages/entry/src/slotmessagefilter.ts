/** Reduces the slot messages between dispatchers: idle ones repeat their demand less often. */

import type { PeerMessage } from "@bramleymoor/dispatch/sharing";

/** A dispatcher whose mean number of requests in flight and queued is lower counts as idle. */
const idleDemandThreshold = 0.05;
/** An idle dispatcher still sends its demand this often, so that the others know it to be idle rather than unknown. */
const idleHintPeriodMs = 5_000;

/** Drops most hints of idle dispatchers. */
export class SlotMessageFilter {
    readonly #sentAt = new Map<string, number>();

    /**
     * Returns whether to send a message now to the dispatcher of `service` with index `to`; a hint that is to be sent
     * is recorded as sent.
     */
    shouldSend(service: string, to: number, message: PeerMessage, now: number): boolean {
        const key = `${service} ${to}`;
        if (message.kind === "loan") {
            // The borrower may not know this demand yet, so the next hint is sent even if idle.
            this.#sentAt.delete(key);
        }
        if (message.kind !== "hint") {
            return true;
        }
        const due = now - (this.#sentAt.get(key) ?? -Infinity) >= idleHintPeriodMs;
        if (message.demand < idleDemandThreshold && !due) {
            return false;
        }
        this.#sentAt.set(key, now);
        return true;
    }
}
