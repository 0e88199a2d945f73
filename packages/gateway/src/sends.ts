/** What became of each send of one request, and whether that proves that the request hasn't run. */

import type { SlotResult } from "@bramleymoor/balance/types";

/** One send of a request. */
export class Send {
    readonly #receiver: string;
    readonly #isSent: () => boolean;
    #result: SlotResult | undefined = undefined;
    #evidence = "";

    /**
     * @param receiver the server's or peer's name
     * @param isSent returns whether any byte can have reached the receiver
     */
    constructor(receiver: string, isSent: () => boolean) {
        this.#receiver = receiver;
        this.#isSent = isSent;
    }

    /** Why the request may have run; undefined if it is proved that this send didn't make it run. */
    get doubt(): SlotResult | undefined {
        if (this.#result) {
            return isNotRun(this.#result) ? undefined : this.#result;
        }
        return this.#isSent() ? { kind: "lost" } : undefined;
    }

    /**
     * Records how the send ended; later calls do nothing. One that can't have reached the receiver counts as unreachable.
     *
     * @param evidence what was seen of the receiver, in a few words; empty if nothing was
     */
    end(result: SlotResult, evidence = ""): void {
        if (!this.#result) {
            this.#result = this.#isSent() ? result : { kind: "unreachable" };
            this.#evidence = evidence;
        }
    }

    /** Returns what the send ended with, for the log. */
    describe(): string {
        const state = `${this.#receiver} ${this.#result ? nameOf(this.#result) : "in progress"}`;
        return this.#evidence === "" ? state : `${state}: ${this.#evidence}`;
    }
}

/** The sends of one request; a hedge runs beside the first one. */
export class Sends {
    readonly #sends: Send[] = [];

    /** Records that a send begins; to be called before its first byte is written. */
    begin(receiver: string, isSent: () => boolean): Send {
        const send = new Send(receiver, isSent);
        this.#sends.push(send);
        return send;
    }

    /** Why the request may have run, by the last send that leaves a doubt; undefined if it is proved that it hasn't run. */
    get doubt(): SlotResult | undefined {
        return this.#sends.map(it => it.doubt).findLast(it => it !== undefined);
    }

    /** Returns what each send ended with, for the log. */
    describe(): string {
        return this.#sends.map(it => it.describe()).join("; ");
    }
}

/** Returns whether a send ended in a way that guarantees that the request did not run. */
export const isNotRun = ({ kind }: SlotResult): boolean => kind === "refused" || kind === "unreachable";

const nameOf = (result: SlotResult): string => {
    switch (result.kind) {
        case "answered":
            return `answered ${result.status}`;
        case "refused":
            return `refused (${result.reason})`;
        default:
            return result.kind;
    }
};
