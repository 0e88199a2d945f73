/** A request's hold on a slot. */

import type { Slot, SlotResult } from "@bramleymoor/balance/types";
import type { Dispatcher } from "./dispatcher.js";

/** A granted slot, which is settled exactly once, whatever happens to the request. */
export class SlotLease {
    readonly slot: Slot;
    readonly #dispatcher: Pick<Dispatcher, "settle">;
    #settled = false;

    constructor(slot: Slot, dispatcher: Pick<Dispatcher, "settle">) {
        this.slot = slot;
        this.#dispatcher = dispatcher;
    }

    /** Records how the request ended and frees the slot; later calls do nothing. */
    settle(result: SlotResult): void {
        if (!this.#settled) {
            this.#settled = true;
            this.#dispatcher.settle(this.slot, result);
        }
    }

    /** Frees the slot if no result has been recorded, as nothing was sent. */
    release(): void {
        this.settle({ kind: "cancelled" });
    }
}
