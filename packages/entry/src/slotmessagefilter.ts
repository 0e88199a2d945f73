/** Reduces the slot messages between dispatchers: idle ones repeat their demand less often. */

import type { PeerMessage } from "@bramleymoor/dispatch/sharing";

/** A dispatcher whose mean number of requests in flight and queued is lower counts as idle. */
const idleDemandThreshold = 0.05;
/** An idle dispatcher still sends its demand this often, so that the others know it to be idle rather than unknown. */
const idleHintPeriodMs = 5_000;

/** Drops most hints of idle dispatchers. */
export class SlotMessageFilter {
    /** When the last hint was sent, by service and by index of the dispatcher. */
    readonly #sentAt = new Map<string, Map<number, number>>();

    /**
     * Returns whether to send a message now to the dispatcher of `service` with index `to`; a hint that is to be sent
     * is recorded as sent.
     */
    shouldSend(service: string, to: number, message: PeerMessage, now: number): boolean {
        const sentAt = this.#sentAt.get(service) ?? new Map<number, number>();
        if (message.kind === "loan") {
            // The borrower may not know this demand yet, so the next hint is sent even if idle.
            sentAt.delete(to);
        }
        if (message.kind !== "hint") {
            return true;
        }
        const due = now - (sentAt.get(to) ?? -Infinity) >= idleHintPeriodMs;
        if (message.demand < idleDemandThreshold && !due) {
            return false;
        }
        sentAt.set(to, now);
        this.#sentAt.set(service, sentAt);
        return true;
    }

    /** Removes services that the accepted configuration no longer has. */
    retainServices(services: ReadonlyMap<string, unknown>): void {
        for (const service of this.#sentAt.keys()) {
            if (!services.has(service)) {
                this.#sentAt.delete(service);
            }
        }
    }
}
