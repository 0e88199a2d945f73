/** Runs the gossip protocol of an entry VM's membership on system timers. */

import type { Membership } from "@bramleymoor/membership/membership";
import { delay } from "@bramleymoor/proxy/delay";
import { readPendingInput } from "@bramleymoor/proxy/unreadinput";
import { monotonicMs } from "./clock.js";

/** Runs what is due until the signal aborts; judges replies only after pending ones are read. */
export const runGossip = async (membership: Membership, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
        const now = monotonicMs();
        const dueAt = membership.tick(now);
        await delay(Math.max(minSleepMs, dueAt - now), signal);
        await readPendingInput();
    }
};

/** Keeps a deadline that has just passed from causing a busy loop. */
const minSleepMs = 5;
